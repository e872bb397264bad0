package continuer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"marigoldpoint.example/marigoldpoint/internal/state/hasher"
)

const (
	// Copies is the number of replicas at which an origin is recorded.
	Copies = 3
	// maxGlobal limits the number of companions that store origins for other failure domains,
	// and with it the number of connections of an entry.
	maxGlobal = 128
	// maxPreferred is the maximum number of replicas selected from the local companions, and
	// from the global ones.
	maxPreferred = 2
)

// Companion identifies a companion that may store origins.
type Companion struct {
	Name          string
	FailureDomain string

	hash uint64
}

// Directory selects the replicas of attempts, as seen from one failure domain. It is
// immutable.
type Directory struct {
	// local holds the companions in the failure domain of the entry, and global those that
	// store origins for all failure domains.
	local, global []Companion
}

// NewDirectory returns the directory of the given companions for the entries of a failure
// domain. For each attempt, entries of the same domain select the same local replicas, and all
// entries the same global ones. Adding or removing a companion changes at most one replica of
// either group.
func NewDirectory(companions []Companion, domain string) *Directory {
	all := slices.Clone(companions)
	for i := range all {
		all[i].hash = hasher.Mix(xxhash.Sum64String(all[i].Name))
	}
	slices.SortFunc(all, func(a, b Companion) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.Name, b.Name)) })
	d := &Directory{global: all[:min(len(all), maxGlobal)]}
	for _, c := range all {
		if c.FailureDomain == domain {
			d.local = append(d.local, c)
		}
	}
	return d
}

// Replicas returns the replicas of an attempt in descending order of preference. An origin is
// recorded at the first Copies replicas that are reachable, and looked up at all of them. The
// first is in the entry's failure domain, so that other entries there find the origin even if
// other domains are unreachable; the next ones are the same for all entries.
func (d *Directory) Replicas(attempt string) []Companion {
	key := xxhash.Sum64String(attempt)
	local, global := preferred(key, d.local), preferred(key, d.global)
	var replicas []Companion
	for _, c := range slices.Concat(local[:min(len(local), 1)], global, local[min(len(local), 1):]) {
		if !slices.ContainsFunc(replicas, func(r Companion) bool { return r.Name == c.Name }) {
			replicas = append(replicas, c)
		}
	}
	return replicas
}

// preferred returns up to maxPreferred companions with the highest scores for the key.
func preferred(key uint64, companions []Companion) []Companion {
	best := make([]Companion, 0, maxPreferred+1)
	scores := make([]uint64, 0, maxPreferred+1)
	for _, c := range companions {
		score := hasher.Mix(key ^ c.hash)
		i, _ := slices.BinarySearchFunc(scores, score, func(s, score uint64) int { return cmp.Compare(score, s) })
		if i == maxPreferred {
			continue
		}
		best, scores = slices.Insert(best, i, c), slices.Insert(scores, i, score)
		best, scores = best[:min(len(best), maxPreferred)], scores[:min(len(scores), maxPreferred)]
	}
	return best
}
