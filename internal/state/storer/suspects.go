package storer

import (
	"cmp"
	"slices"

	"marigoldpoint.example/marigoldpoint/internal/state/identifier"
)

const (
	// QuarantineThreshold is the number of incarnations of backend servers that must end
	// while a request is in progress there, without an answer in between, before the
	// request is quarantined. Most ends have another cause and affect all requests in
	// progress: one end is no evidence, two also affect requests that are retried at a
	// second server during a failure of several servers, and a third without an answer in
	// between is unlikely to be a coincidence.
	QuarantineThreshold = 3
	// endWeight is the weight of an end, and progressWeight that of an end after a part of
	// the answer had arrived: a request that crashes servers does so at its start, and
	// most of the requests in progress started long before.
	endWeight, progressWeight = 2, 1
	// MaxSuspects limits the number of suspects: at about 150 bytes each they need less
	// than a megabyte in every process. Twenty servers with 200 requests each that end add
	// that many.
	MaxSuspects = 4096
	// maxIncarnationEnds limits the ends that are recorded for one suspect. It exceeds the
	// number that the threshold needs.
	maxIncarnationEnds = 2 * QuarantineThreshold
	// MaxEnded limits the requests of one CountEnds.
	MaxEnded = 256
)

// IncarnationEnd is the end of an incarnation of a backend server while the request was in
// progress there.
type IncarnationEnd struct {
	// Life is a hash of the backend server's name and incarnation.
	Life uint64 `cbor:"1,keyasint"`
	// Progressed means that a part of the answer had arrived.
	Progressed bool `cbor:"2,keyasint,omitempty"`
}

// SuspectSpec describes a request during which incarnations of backend servers ended. The
// name of the resource is the request's identity.
type SuspectSpec struct {
	Service string `cbor:"1,keyasint,omitempty"`
	// Place is a hash of the properties of the request that are known without its body.
	Place uint64 `cbor:"2,keyasint,omitempty"`
	// Lives are the ends, at most maxIncarnationEnds, since the last answered run of the
	// request or its last quarantine. The slice is never modified.
	Lives []IncarnationEnd `cbor:"3,keyasint,omitempty"`
	// Quarantined means that the request may not be sent to backend servers.
	Quarantined bool `cbor:"4,keyasint,omitempty"`
	// Times is the number of quarantines so far.
	Times int `cbor:"5,keyasint,omitempty"`
}

func (SuspectSpec) spec() {}

// Ended returns the spec with one more end. Each incarnation counts once, with the
// highest weight that was reported for it.
func (s SuspectSpec) Ended(end IncarnationEnd) SuspectSpec {
	ends := slices.Clone(s.Lives)
	i := slices.IndexFunc(ends, func(o IncarnationEnd) bool { return o.Life == end.Life })
	switch {
	case i >= 0:
		ends[i].Progressed = ends[i].Progressed && end.Progressed
	case len(ends) < maxIncarnationEnds:
		ends = append(ends, end)
	}
	s.Lives = ends
	if !s.Quarantined && s.reachesThreshold() {
		s.Quarantined = true
		s.Times++
	}
	return s
}

// reachesThreshold reports whether the weight of the ends requires a quarantine. A request
// that was quarantined before is quarantined again after one end instead of
// QuarantineThreshold, if no part of the answer had arrived.
func (s SuspectSpec) reachesThreshold() bool {
	weight := 0
	for _, l := range s.Lives {
		if l.Progressed {
			weight += progressWeight
		} else {
			weight += endWeight
		}
	}
	if s.Times > 0 {
		return weight >= endWeight
	}
	return weight >= QuarantineThreshold*endWeight
}

// EndedRequest is a request that was in progress at a backend server when the server ended.
type EndedRequest struct {
	// Name is the request's identity.
	Name       string `cbor:"1,keyasint"`
	Place      uint64 `cbor:"2,keyasint,omitempty"`
	Progressed bool   `cbor:"3,keyasint,omitempty"`
	// Known is the revision of the replicated state that the entry knew when it sent the
	// request to the backend server. 0 means unknown: entries of an earlier version don't
	// report it.
	Known uint64 `cbor:"4,keyasint,omitempty"`
}

// CountEnds reports the end of an incarnation of a backend server and the requests that were
// in progress there, at most MaxEnded of them. Several entries may report the same end, each
// with its own requests.
type CountEnds struct {
	Service  string         `cbor:"1,keyasint,omitempty"`
	Life     uint64         `cbor:"2,keyasint"`
	Requests []EndedRequest `cbor:"3,keyasint,omitempty"`
}

// ClearSuspects removes suspects, whether quarantined or not: those of which a run was
// answered, which proves that they can be run, and those that an operator releases.
type ClearSuspects struct {
	Names []string `cbor:"1,keyasint,omitempty"`
	// Released means that an operator releases the suspects: earlier ends that are
	// reported later don't count.
	Released bool `cbor:"2,keyasint,omitempty"`
}

// SuspectRevision identifies a suspect at one revision.
type SuspectRevision struct {
	Name     string `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
}

// ReviewSuspects ends the quarantines of suspects whose time has expired and that have not
// changed since, and removes those of them that are not quarantined.
type ReviewSuspects struct {
	Suspects []SuspectRevision `cbor:"1,keyasint,omitempty"`
}

func (CountEnds) command()      {}
func (ClearSuspects) command()  {}
func (ReviewSuspects) command() {}

// countEnds records an end for the reported requests. It skips requests without a valid
// identity, and those whose end an operator's release excludes.
func (s *Store) countEnds(index uint64, c CountEnds) Result {
	return s.changeSuspects(index, func(p *space) []Change {
		var changes []Change
		for _, request := range c.Requests[:min(len(c.Requests), MaxEnded)] {
			if _, err := identifier.ParseIdentity(request.Name); err != nil {
				continue
			}
			if r, ok := p.releases[request.Name]; ok && r.excludes(c.Life, request) {
				continue
			}
			old, exists := p.get(KindSuspect, request.Name)
			spec := SuspectSpec{Service: c.Service, Place: request.Place}
			if exists {
				spec = old.Spec.(SuspectSpec)
			}
			next := spec.Ended(IncarnationEnd{Life: c.Life, Progressed: request.Progressed})
			if exists && equalSpecs(spec, next) {
				continue
			}
			if !exists {
				changes = append(changes, p.evictSuspect(index)...)
			}
			changes = append(changes, p.putSuspect(index, request.Name, next))
		}
		return changes
	})
}

// evictSuspect removes the least recently reported suspect if the limit is reached. It
// removes suspects that are not quarantined before quarantined ones.
func (p *space) evictSuspect(index uint64) []Change {
	return p.evictFirst(index, KindSuspect, MaxSuspects, compareSuspects)
}

// evictFirst removes the first resource of a kind, in the order of compare, if there are limit of
// them.
func (p *space) evictFirst(index uint64, kind Kind, limit int, compare func(a, b Resource) int) []Change {
	if len(p.resources[kind]) < limit {
		return nil
	}
	var first Resource
	for _, r := range p.resources[kind] {
		if first.Kind == KindNone || compare(r, first) < 0 {
			first = r
		}
	}
	p.remove(kind, first.Metadata.Name)
	return []Change{{Revision: index, Resource: first, Deleted: true}}
}

func compareSuspects(a, b Resource) int {
	rank := func(r Resource) int {
		if r.Spec.(SuspectSpec).Quarantined {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Metadata.Revision, b.Metadata.Revision), cmp.Compare(a.Metadata.Name, b.Metadata.Name))
}

// clearSuspects removes the named suspects.
func (s *Store) clearSuspects(index uint64, c ClearSuspects) Result {
	return s.changeSuspects(index, func(p *space) []Change {
		var changes []Change
		for _, name := range c.Names {
			if old, ok := p.get(KindSuspect, name); ok {
				if c.Released {
					s.recordRelease(index, p, old)
				}
				p.remove(KindSuspect, name)
				changes = append(changes, Change{Revision: index, Resource: old, Deleted: true})
			}
		}
		return changes
	})
}

// reviewSuspects ends the quarantines of unchanged suspects, or removes them if they are not
// quarantined.
func (s *Store) reviewSuspects(index uint64, c ReviewSuspects) Result {
	return s.changeSuspects(index, func(p *space) []Change {
		var changes []Change
		for _, reviewed := range c.Suspects {
			old, ok := p.get(KindSuspect, reviewed.Name)
			if !ok || old.Metadata.Revision != reviewed.Revision {
				continue
			}
			spec := old.Spec.(SuspectSpec)
			if !spec.Quarantined {
				p.remove(KindSuspect, reviewed.Name)
				changes = append(changes, Change{Revision: index, Resource: old, Deleted: true})
				continue
			}
			spec.Quarantined, spec.Lives = false, nil
			changes = append(changes, p.putSuspect(index, reviewed.Name, spec))
		}
		return changes
	})
}

func (p *space) putSuspect(index uint64, name string, spec SuspectSpec) Change {
	return p.putShared(index, KindSuspect, name, spec)
}

// putShared writes a resource of a kind that belongs to no workspace.
func (p *space) putShared(index uint64, kind Kind, name string, spec Spec) Change {
	r := Resource{Kind: kind, Metadata: Metadata{Name: name, Revision: index}, Spec: spec}
	p.put(r)
	return Change{Revision: index, Resource: r}
}

// changeSuspects applies change to the space of the suspects and publishes the changes that
// it returns. A view at the revision of the result, whatever its verdict, shows the effect of the
// command and of all before it.
func (s *Store) changeSuspects(index uint64, change func(p *space) []Change) Result {
	h := s.shard("")
	h.mu.Lock()
	defer h.mu.Unlock()
	changes := change(h.space(""))
	if len(changes) == 0 {
		return Result{Verdict: VerdictStale, Reason: "nothing new of these requests", Revision: s.revision.Load()}
	}
	s.publish(index, changes...)
	return Result{Revision: index}
}
