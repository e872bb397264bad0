package storer

import (
	"slices"
	"time"
)

const (
	// releaseAge is the minimum time for which a release is kept, unless there are too many. It
	// is as long as an end counts. Most reports come within five seconds of the end, but a run
	// that began before the release may end later.
	releaseAge = 10 * time.Minute
	// MaxReleases limits the releases that are kept; an operator releases requests one by one.
	// Beyond the limit, the oldest are dropped.
	MaxReleases = 1024
	// maxReleasedLives limits the incarnations of a release, which may be of several releases
	// of one request. Beyond the limit, the oldest are dropped.
	maxReleasedLives = 4 * maxIncarnationEnds
)

// release records that an operator has released a suspect. Entries report ends with a delay,
// each on its own, so that reports of earlier ends may be applied after the release. Without the
// record they would make the request a suspect again.
type release struct {
	// Name is the request's identity.
	Name string `cbor:"1,keyasint"`
	// Lives are the incarnations whose ends were counted. The slice is never modified.
	Lives []uint64 `cbor:"2,keyasint,omitempty"`
	// Index and Time are those of the latest release.
	Index uint64  `cbor:"3,keyasint"`
	Time  Instant `cbor:"4,keyasint"`
}

// excludes reports whether the end of an incarnation does not count since the release: it was
// counted before, or the entry sent the request before it knew of the release.
func (r release) excludes(life uint64, request EndedRequest) bool {
	return slices.Contains(r.Lives, life) || request.Known != 0 && request.Known < r.Index
}

// recordRelease records that an operator has released a suspect. The caller holds the lock of p's
// shard; p is the space of the empty workspace name.
func (s *Store) recordRelease(index uint64, p *space, suspect Resource) {
	name := suspect.Metadata.Name
	old, known := p.releases[name]
	lives := slices.Clone(old.Lives)
	for _, l := range suspect.Spec.(SuspectSpec).Lives {
		lives = append(lives, l.Life)
	}
	if !known && s.releases.count >= MaxReleases {
		s.releases.removeOldest(func(e expiryEntry) bool {
			// The suspect was released again at a later index, or the release has expired.
			if p.releases[e.key].Index != e.index {
				return false
			}
			delete(p.releases, e.key)
			return true
		})
	}
	p.releases[name] = release{Name: name, Lives: lives[max(0, len(lives)-maxReleasedLives):], Index: index, Time: s.now}
	s.releases.push(expiryEntry{key: name, index: index, time: s.now})
	if !known {
		s.releases.count++
	}
}

func (s *Store) removeExpiredRelease(e expiryEntry) bool {
	return removeIfUnchanged(s.shard(e.workspace), e, func(p *space) (map[string]release, uint64) {
		return p.releases, p.releases[e.key].Index
	})
}
