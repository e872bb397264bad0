package storer

import (
	"cmp"
	"slices"

	"marigoldpoint.example/marigoldpoint/internal/state/identifier"
)

const (
	// SuspectLives is the number of lives of backend servers that must have ended under a
	// request, none of its runs answered in between, until it is kept from all of them.
	// Most ends have another cause, and all that was in progress there shares them: one
	// end says nothing, two befall whatever is sent on to a second server in a failure
	// that goes round, and a third that no run was answered before hardly happens by
	// chance.
	QuarantineThreshold = 3
	// endWeight is what one end counts, and progressWeight what it counts where a part of
	// the answer had come: a request that ends servers does so when it begins, and what
	// has long begun is most of what is in progress.
	endWeight, progressWeight = 2, 1
	// MaxSuspects bounds the requests that are remembered: at some 150 bytes each under
	// a megabyte in every process. It is what twenty ends of servers with 200 requests
	// each bring.
	MaxSuspects = 4096
	// maxSuspectLives bounds the lives that are remembered of one: more than are needed.
	maxSuspectLives = 2 * QuarantineThreshold
	// MaxEnded bounds the requests of one CountEnds.
	MaxEnded = 256
)

// SuspectLife is one life of a backend server that ended while the request was in progress
// there.
type IncarnationEnd struct {
	// Life is a hash of the backend server's name and incarnation.
	Life uint64 `cbor:"1,keyasint"`
	// Progressed means that a part of the answer had come.
	Progressed bool `cbor:"2,keyasint,omitempty"`
}

// SuspectSpec tells of a request under which lives of backend servers ended. The
// resource's name is the request's identity.
type SuspectSpec struct {
	Service string `cbor:"1,keyasint,omitempty"`
	// Place is a hash of what can be told of the request without its body.
	Place uint64 `cbor:"2,keyasint,omitempty"`
	// Lives are the lives, at most maxSuspectLives of them, since its last run that was
	// answered or its last quarantine. The slice is never changed.
	Lives []IncarnationEnd `cbor:"3,keyasint,omitempty"`
	// Quarantined means that no backend server is to get it.
	Quarantined bool `cbor:"4,keyasint,omitempty"`
	// Times counts its quarantines.
	Times int `cbor:"5,keyasint,omitempty"`
}

func (SuspectSpec) spec() {}

// Ended returns the spec with one more end. A life counts once, as it was seen worst.
func (s SuspectSpec) Ended(l IncarnationEnd) SuspectSpec {
	lives := slices.Clone(s.Lives)
	i := slices.IndexFunc(lives, func(o IncarnationEnd) bool { return o.Life == l.Life })
	switch {
	case i >= 0:
		lives[i].Progressed = lives[i].Progressed && l.Progressed
	case len(lives) < maxSuspectLives:
		lives = append(lives, l)
	}
	s.Lives = lives
	if !s.Quarantined && s.over() {
		s.Quarantined = true
		s.Times++
	}
	return s
}

// over reports whether as many lives have ended as may. One that was in quarantine before
// has proved itself: it gets one more life, not three.
func (s SuspectSpec) over() bool {
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

// EndedRequest is a request that was in progress at a backend server when it ended.
type EndedRequest struct {
	// Name is the request's identity.
	Name       string `cbor:"1,keyasint"`
	Place      uint64 `cbor:"2,keyasint,omitempty"`
	Progressed bool   `cbor:"3,keyasint,omitempty"`
}

// CountEnds tells that a life of a backend server has ended, and which requests were in
// progress there, at most MaxEnded of them. Several entries tell of the same life, each of
// its own requests.
type CountEnds struct {
	Service  string         `cbor:"1,keyasint,omitempty"`
	Life     uint64         `cbor:"2,keyasint"`
	Requests []EndedRequest `cbor:"3,keyasint,omitempty"`
}

// ClearSuspects forgets requests, in quarantine or not: those that a run has answered,
// which proves that they can be run, and those that an operator lets go.
type ClearSuspects struct {
	Names []string `cbor:"1,keyasint,omitempty"`
}

// SuspectRevision names a suspect as it was.
type SuspectRevision struct {
	Name     string `cbor:"1,keyasint"`
	Revision uint64 `cbor:"2,keyasint"`
}

// ReviewSuspects ends the quarantines, and forgets the other suspects, whose time is over
// and of which nothing new was told.
type ReviewSuspects struct {
	Suspects []SuspectRevision `cbor:"1,keyasint,omitempty"`
}

func (CountEnds) command()      {}
func (ClearSuspects) command()  {}
func (ReviewSuspects) command() {}

// countEnds takes an end in.
func (s *Store) countEnds(index uint64, c CountEnds) Result {
	return s.changeSuspects(index, func(p *space) []Change {
		var changes []Change
		for _, request := range c.Requests[:min(len(c.Requests), MaxEnded)] {
			if _, err := identifier.ParseIdentity(request.Name); err != nil {
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
				changes = append(changes, p.makeRoom(index)...)
			}
			changes = append(changes, p.putSuspect(index, request.Name, next))
		}
		return changes
	})
}

// makeRoom forgets the suspect that was told of longest ago where there are too many, one
// that is not in quarantine before one that is.
func (p *space) makeRoom(index uint64) []Change {
	suspects := p.resources[KindSuspect]
	if len(suspects) < MaxSuspects {
		return nil
	}
	var oldest Resource
	for _, r := range suspects {
		if oldest.Kind == KindNone || compareSuspects(r, oldest) < 0 {
			oldest = r
		}
	}
	p.remove(KindSuspect, oldest.Metadata.Name)
	return []Change{{Revision: index, Resource: oldest, Deleted: true}}
}

func compareSuspects(a, b Resource) int {
	held := func(r Resource) int {
		if r.Spec.(SuspectSpec).Quarantined {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(held(a), held(b)), cmp.Compare(a.Metadata.Revision, b.Metadata.Revision), cmp.Compare(a.Metadata.Name, b.Metadata.Name))
}

// clearSuspects forgets requests.
func (s *Store) clearSuspects(index uint64, c ClearSuspects) Result {
	return s.changeSuspects(index, func(p *space) []Change {
		var changes []Change
		for _, name := range c.Names {
			if old, ok := p.get(KindSuspect, name); ok {
				p.remove(KindSuspect, name)
				changes = append(changes, Change{Revision: index, Resource: old, Deleted: true})
			}
		}
		return changes
	})
}

// reviewSuspects lets suspects go whose time is over.
func (s *Store) reviewSuspects(index uint64, c ReviewSuspects) Result {
	return s.changeSuspects(index, func(p *space) []Change {
		var changes []Change
		for _, of := range c.Suspects {
			old, ok := p.get(KindSuspect, of.Name)
			if !ok || old.Metadata.Revision != of.Revision {
				continue
			}
			spec := old.Spec.(SuspectSpec)
			if !spec.Quarantined {
				p.remove(KindSuspect, of.Name)
				changes = append(changes, Change{Revision: index, Resource: old, Deleted: true})
				continue
			}
			spec.Quarantined, spec.Lives = false, nil
			changes = append(changes, p.putSuspect(index, of.Name, spec))
		}
		return changes
	})
}

func (p *space) putSuspect(index uint64, name string, spec SuspectSpec) Change {
	r := Resource{Kind: KindSuspect, Metadata: Metadata{Name: name, Revision: index}, Spec: spec}
	p.put(r)
	return Change{Revision: index, Resource: r}
}

// changeSuspects publishes what change does.
func (s *Store) changeSuspects(index uint64, change func(p *space) []Change) Result {
	h := s.shard("")
	h.mu.Lock()
	defer h.mu.Unlock()
	changes := change(h.space(""))
	if len(changes) == 0 {
		return Result{Verdict: VerdictStale, Reason: "nothing new of these requests"}
	}
	s.publish(index, changes...)
	return Result{Revision: index}
}
