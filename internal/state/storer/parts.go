package storer

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/juju/errors"
)

const (
	// MaxParts limits the number of parts of prompts during which backend servers ended.
	MaxParts = 4096
	// maxPartEnds limits the ends that are recorded for one part; the oldest are dropped.
	maxPartEnds = 64
	// MaxEndedParts limits the parts of all requests of one CountPartEnds.
	MaxEndedParts = 4096
	// MaxAnswersPerEnd limits the answered requests that are recorded for each end of a part.
	// Further ones add nothing to the evidence, and would hide that a part that used to be
	// answered has begun to crash servers.
	MaxAnswersPerEnd = 16
)

// PartName returns the name of the part of a prompt with the given id, in hexadecimal.
func PartName(id uint64) string { return strconv.FormatUint(id, 16) }

// ParsePartName is the inverse of PartName.
func ParsePartName(name string) (uint64, error) {
	id, err := strconv.ParseUint(name, 16, 64)
	if err != nil || PartName(id) != name {
		return 0, errors.NotValidf("part %.40q", name)
	}
	return id, nil
}

// PartEnd is the end of an incarnation of a backend server while a request with the part was
// in progress there.
type PartEnd struct {
	// Life is a hash of the backend server's name and incarnation.
	Life uint64 `cbor:"1,keyasint"`
	// Request is a hash of the request's identity.
	Request uint64 `cbor:"2,keyasint,omitempty"`
	// Begun means that the answer to the request had begun, without an event.
	Begun bool `cbor:"3,keyasint,omitempty"`
}

//go:generate stringer -type=PartTrial -trimprefix=PartTrial

// PartTrial is the state of the trial of a blocked part: a single request with it that is
// sent to a backend server, to find out whether the part still ends it.
type PartTrial int

// The states of a trial.
const (
	// PartTrialNone means that no request with the part may be sent.
	PartTrialNone PartTrial = iota
	// PartTrialOffered means that one entry may send one request.
	PartTrialOffered
	// PartTrialTaken means that an entry sends the request.
	PartTrialTaken
)

// PartSpec describes a part of prompts during which incarnations of backend servers ended.
// The name of the resource is PartName of its id.
type PartSpec struct {
	// Ends are the latest ends, at most maxPartEnds, one for each incarnation. The slice is never
	// modified.
	Ends []PartEnd `cbor:"1,keyasint,omitempty"`
	// Answered is the number of answered requests with the part that entries reported, including
	// those of some seconds before the first end; at most MaxAnswersPerEnd for each end.
	Answered int `cbor:"2,keyasint,omitempty"`
	// Depth is the largest position of the part in the prompts; the first part has 0.
	Depth int `cbor:"3,keyasint,omitempty"`
	// Blocked means that requests with the part may not be sent to backend servers.
	Blocked bool `cbor:"4,keyasint,omitempty"`
	// Times is the number of times that the part was blocked, or its trial failed.
	Times int       `cbor:"5,keyasint,omitempty"`
	Trial PartTrial `cbor:"6,keyasint,omitempty"`
	// Operator means that an operator has blocked the part; only an operator releases it.
	Operator bool `cbor:"7,keyasint,omitempty"`
}

func (PartSpec) spec() {}

// ended returns the spec with one more end, or with the stronger of two that were reported for
// one incarnation.
func (s PartSpec) ended(end PartEnd) PartSpec {
	ends := slices.Clone(s.Ends)
	i := slices.IndexFunc(ends, func(o PartEnd) bool { return o.Life == end.Life })
	switch {
	case i >= 0 && end.Begun && !ends[i].Begun:
		ends[i] = end
	case i >= 0:
		return s
	default:
		ends = append(ends[max(0, len(ends)-maxPartEnds+1):], end)
		if s.Trial == PartTrialTaken {
			s.Trial = PartTrialNone
			s.Times++
		}
	}
	s.Ends = ends
	return s
}

// answered returns the spec after further requests were answered. An answered trial releases the
// part.
func (s PartSpec) answered(requests int) PartSpec {
	if s.Trial == PartTrialTaken {
		return PartSpec{Depth: s.Depth, Times: s.Times}
	}
	s.Answered = min(s.Answered+requests, MaxAnswersPerEnd*len(s.Ends))
	return s
}

// EndedRun is a request that was in progress at a backend server when the server ended, and of
// whose answer no event had arrived.
type EndedRun struct {
	// Request is a hash of the request's identity.
	Request uint64 `cbor:"1,keyasint,omitempty"`
	// Begun means that the answer had begun, without an event.
	Begun bool `cbor:"2,keyasint,omitempty"`
	// Parts are the parts of the prompt in order, except the last, which belongs to the
	// request alone.
	Parts []uint64 `cbor:"3,keyasint,omitempty"`
}

// CountPartEnds reports the end of an incarnation of a backend server and the prompts that were
// in progress there. Several entries may report the same end, each with its own requests.
type CountPartEnds struct {
	Life uint64     `cbor:"1,keyasint"`
	Runs []EndedRun `cbor:"2,keyasint,omitempty"`
}

// PartAnswers is a number of requests with a part that backend servers answered.
type PartAnswers struct {
	Part     uint64 `cbor:"1,keyasint"`
	Requests int    `cbor:"2,keyasint,omitempty"`
}

// CountPartAnswers reports requests that were answered. Parts during which no backend server
// ended are ignored.
type CountPartAnswers struct {
	Answers []PartAnswers `cbor:"1,keyasint,omitempty"`
}

//go:generate stringer -type=PartAction -trimprefix=PartAction

// PartAction is a change of a part.
type PartAction int

// The actions. The numbers are part of the log format.
const (
	// PartActionBlock blocks the part until its review.
	PartActionBlock PartAction = 1
	// PartActionRelease releases the part; its evidence stays.
	PartActionRelease PartAction = 2
	// PartActionOfferTrial offers the trial of a blocked part.
	PartActionOfferTrial PartAction = 3
	// PartActionTakeTrial takes the offered trial.
	PartActionTakeTrial PartAction = 4
	// PartActionForget removes the part.
	PartActionForget PartAction = 5
	// PartActionOperatorBlock blocks the part until an operator releases it.
	PartActionOperatorBlock PartAction = 6
)

// PartReview is a change of one part.
type PartReview struct {
	Part   uint64     `cbor:"1,keyasint"`
	Action PartAction `cbor:"2,keyasint"`
	// Revision is the revision that the decision is based on; the change is ignored if the
	// part has changed since. 0 means any.
	Revision uint64 `cbor:"3,keyasint,omitempty"`
}

// ReviewParts changes parts.
type ReviewParts struct {
	Reviews []PartReview `cbor:"1,keyasint,omitempty"`
}

func (CountPartEnds) command()    {}
func (CountPartAnswers) command() {}
func (ReviewParts) command()      {}

// countPartEnds records an end for the parts of the reported requests.
func (s *Store) countPartEnds(index uint64, c CountPartEnds) Result {
	return s.changeSuspects(index, func(p *space) []Change {
		var changes []Change
		ended := make(map[uint64]PartSpec)
		var order []uint64
		left := MaxEndedParts
		for _, run := range c.Runs {
			for depth, id := range run.Parts[:min(len(run.Parts), left)] {
				left--
				spec, seen := ended[id]
				if !seen {
					order = append(order, id)
					spec = p.part(id)
				}
				spec.Depth = max(spec.Depth, depth)
				ended[id] = spec.ended(PartEnd{Life: c.Life, Request: run.Request, Begun: run.Begun})
			}
		}
		for _, id := range order {
			old, exists := p.get(KindPart, PartName(id))
			if exists && equalSpecs(old.Spec, ended[id]) {
				continue
			}
			if !exists {
				changes = append(changes, p.evictPart(index)...)
			}
			changes = append(changes, p.putPart(index, id, ended[id]))
		}
		return changes
	})
}

// part returns the spec of a part; the zero value if it is not recorded.
func (p *space) part(id uint64) PartSpec {
	r, ok := p.get(KindPart, PartName(id))
	if !ok {
		return PartSpec{}
	}
	return r.Spec.(PartSpec)
}

func (p *space) putPart(index, id uint64, spec PartSpec) Change {
	return p.putShared(index, KindPart, PartName(id), spec)
}

// evictPart removes the part with the fewest ends, the least recently changed of several, if the
// limit is reached. It removes blocked parts last.
func (p *space) evictPart(index uint64) []Change {
	return p.evictFirst(index, KindPart, MaxParts, compareParts)
}

func compareParts(a, b Resource) int {
	rank := func(r Resource) int {
		spec := r.Spec.(PartSpec)
		if spec.Blocked {
			return maxPartEnds + 1
		}
		return len(spec.Ends)
	}
	return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Metadata.Revision, b.Metadata.Revision), cmp.Compare(a.Metadata.Name, b.Metadata.Name))
}

// countPartAnswers records answered requests.
func (s *Store) countPartAnswers(index uint64, c CountPartAnswers) Result {
	return s.changeSuspects(index, func(p *space) []Change {
		var changes []Change
		for _, a := range c.Answers {
			old, ok := p.get(KindPart, PartName(a.Part))
			if !ok {
				continue
			}
			if next := old.Spec.(PartSpec).answered(max(0, a.Requests)); !equalSpecs(old.Spec, next) {
				changes = append(changes, p.putPart(index, a.Part, next))
			}
		}
		return changes
	})
}

// reviewParts changes the reviewed parts, and releases the requests whose ends a newly blocked
// part explains.
func (s *Store) reviewParts(index uint64, c ReviewParts) Result {
	return s.changeSuspects(index, func(p *space) []Change {
		var changes []Change
		for _, review := range c.Reviews {
			old, exists := p.get(KindPart, PartName(review.Part))
			if review.Revision != 0 && old.Metadata.Revision != review.Revision {
				continue
			}
			if review.Action == PartActionForget {
				if exists {
					p.remove(KindPart, old.Metadata.Name)
					changes = append(changes, Change{Revision: index, Resource: old, Deleted: true})
				}
				continue
			}
			next, ok := p.part(review.Part).reviewed(review.Action)
			if !ok || !exists && review.Action != PartActionOperatorBlock {
				continue
			}
			if !exists {
				changes = append(changes, p.evictPart(index)...)
			}
			changes = append(changes, p.putPart(index, review.Part, next))
			if review.Action == PartActionBlock {
				changes = append(changes, p.explainSuspects(index, next)...)
			}
		}
		return changes
	})
}

// reviewed returns the spec after an action, or false if the action does not apply.
func (s PartSpec) reviewed(action PartAction) (PartSpec, bool) {
	switch action {
	case PartActionBlock:
		if s.Blocked || len(s.Ends) == 0 {
			return s, false
		}
		s.Blocked, s.Trial = true, PartTrialNone
		s.Times++
	case PartActionRelease:
		if !s.Blocked {
			return s, false
		}
		s.Blocked, s.Operator, s.Trial, s.Times = false, false, PartTrialNone, 0
	case PartActionOfferTrial:
		if !s.Blocked || s.Operator || s.Trial == PartTrialOffered {
			return s, false
		}
		s.Trial = PartTrialOffered
	case PartActionTakeTrial:
		if s.Trial != PartTrialOffered {
			return s, false
		}
		s.Trial = PartTrialTaken
	case PartActionOperatorBlock:
		if s.Operator {
			return s, false
		}
		s.Blocked, s.Operator, s.Trial = true, true, PartTrialNone
	default:
		return s, false
	}
	return s, true
}

// explainSuspects removes the ends that a blocked part explains from all suspects, and the
// suspects that have no others.
func (p *space) explainSuspects(index uint64, blocked PartSpec) []Change {
	explained := make(map[uint64]struct{}, len(blocked.Ends))
	for _, e := range blocked.Ends {
		explained[e.Life] = struct{}{}
	}
	var changes []Change
	for _, r := range p.appendResources(nil, KindSuspect) {
		spec := r.Spec.(SuspectSpec)
		others := slices.DeleteFunc(slices.Clone(spec.Lives), func(l IncarnationEnd) bool {
			_, is := explained[l.Life]
			return is
		})
		switch {
		case len(others) == len(spec.Lives):
		case len(others) == 0:
			p.remove(KindSuspect, r.Metadata.Name)
			changes = append(changes, Change{Revision: index, Resource: r, Deleted: true})
		default:
			spec.Lives = others
			if spec.Quarantined && !spec.reachesThreshold() {
				spec.Quarantined = false
				spec.Times--
			}
			changes = append(changes, p.putSuspect(index, r.Metadata.Name, spec))
		}
	}
	return changes
}
