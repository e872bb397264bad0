package placer

import (
	"cmp"
	"math/rand/v2"
	"reflect"
	"slices"
	"time"

	"github.com/juju/errors"
)

// Explanation tells which backend server Choose would select for a call, and why.
type Explanation struct {
	// Service is the name of the service, and Engines whether its backend servers are engines.
	Service string
	Engines bool
	// Choice is the name of the backend server that Choose would select; empty if Err is
	// not nil, which is then the error that Choose would return.
	Choice string
	Err    error
	// Ties holds the names of the candidates among which a random number decides, sorted. It is
	// empty if no random number decides.
	Ties []string
	// Candidates are the candidates by increasing cost, and Excluded the other backend servers
	// by name.
	Candidates, Excluded []Candidate
}

// Candidate is a backend server in an Explanation.
type Candidate struct {
	Name, Address, Software, FailureDomain string
	// Known reports that the entry follows the state of the backend server, or has subscribed
	// to it for a call.
	Known bool
	// Age is the age of the last report of the state: an engine's by its companion, a plain
	// server's by an answer. It is negative if there is none.
	Age time.Duration
	// Terms are the terms of the cost; zero for excluded backend servers.
	Terms Terms
	// Exclusion is the reason for which the backend server is no candidate.
	Exclusion Exclusion
	// Remaining is the time until a rest or a suspicion that excludes it ends.
	Remaining time.Duration
}

// Term is one term of a cost, by the name of its field in Terms.
type Term struct {
	Name string
	Time time.Duration
}

// Named returns the terms other than 0 in the order of their fields.
func (t Terms) Named() []Term {
	var all []Term
	fields := reflect.ValueOf(t)
	for i := range fields.NumField() {
		if d := time.Duration(fields.Field(i).Int()); d != 0 {
			all = append(all, Term{Name: fields.Type().Field(i).Name, Time: d})
		}
	}
	return all
}

// Explain returns what Choose would select for the call at this moment, and why. It changes
// nothing: it runs the choice on a copy of the service's state, with a copy of the state of
// its random numbers.
func (p *Placer) Explain(now time.Time, c *Call) Explanation {
	e := Explanation{Service: c.Service}
	p.mu.RLock()
	known := p.pools[c.Service]
	p.mu.RUnlock()
	if known == nil {
		e.Err = ErrNoBackend
		return e
	}
	known.mu.Lock()
	defer known.mu.Unlock()
	o := known.copy()
	o.updateSeparation(now, c.Service, &p.settings)
	e.Engines = o.engine != nil
	chosen, err := o.choose(now, c, &p.settings)
	if e.Err = errors.Cause(err); chosen != nil {
		e.Choice = chosen.member.Name
	}
	for _, b := range o.backends {
		d := o.candidate(now, c, b, &p.settings)
		if d.Exclusion == ExclusionNone {
			e.Candidates = append(e.Candidates, d)
		} else {
			e.Excluded = append(e.Excluded, d)
		}
	}
	slices.SortStableFunc(e.Candidates, func(x, y Candidate) int { return cmp.Compare(x.Terms.Cost(), y.Terms.Cost()) })
	e.Ties = o.ties(c, e.Candidates, chosen, &p.settings)
	return e
}

// copy returns a copy of the pool on which a choice leaves no trace. It shares maps and
// throttles with the original, which a choice only reads. The caller holds mu.
func (o *pool) copy() *pool {
	copies := make(map[*backend]*backend, len(o.backends))
	for _, b := range o.backends {
		twin := *b
		copies[b] = &twin
	}
	copyList := func(list []*backend) []*backend {
		out := make([]*backend, len(list))
		for i, b := range list {
			out[i] = copies[b]
		}
		return out
	}
	source := *o.source
	return &pool{
		backends: copyList(o.backends), order: copyList(o.order), used: copyList(o.used), local: o.local,
		engine: o.engine, random: rand.New(&source), source: &source, attached: o.attached, notices: o.notices,
		learntRate: o.learntRate, slowdownReported: o.slowdownReported, separation: o.separation.copy(),
		compared: make(map[*backend]Terms, len(o.backends)),
	}
}

// candidate describes a backend server after a choice on a copy. The caller holds the lock of
// the original.
func (o *pool) candidate(now time.Time, c *Call, b *backend, s *Settings) Candidate {
	spec := &b.member.Spec
	d := Candidate{
		Name: b.member.Name, Address: spec.Address, Software: spec.SoftwareID(), FailureDomain: spec.FailureDomain,
		Known: o.knows(b, s), Age: -1,
	}
	switch {
	case b.reported():
		d.Age = now.Sub(b.reportedAt)
	case o.engine == nil && !b.loadAt.IsZero():
		d.Age = now.Sub(b.loadAt)
	}
	terms, compared := o.compared[b]
	if compared {
		d.Terms = terms
		return d
	}
	d.Exclusion = o.exclusion(now, c, b, s)
	switch suspect := now.Before(b.suspectUntil); {
	case d.Exclusion == ExclusionResting:
		d.Remaining = o.restsUntil(b).Sub(now)
	case d.Exclusion != ExclusionNone:
	case suspect:
		d.Exclusion, d.Remaining = ExclusionSuspect, b.suspectUntil.Sub(now)
	case b.limits.apply():
		// Of an engine that the entry does not follow it does not know the turn.
		d.Exclusion = ExclusionLimited
	default:
		d.Terms = o.unknownTerms(c, b, &o.lastSurvey, s)
	}
	return d
}

// ties returns the names of the candidates among which a random number decides: those of a
// plain service whose costs differ by less than the random times, or the engines whose state
// the entry does not follow, for a call without an adapter.
func (o *pool) ties(c *Call, candidates []Candidate, chosen *backend, s *Settings) []string {
	if chosen == nil {
		return nil
	}
	if o.engine != nil && (c.Adapter != "" || o.knows(chosen, s)) {
		return nil
	}
	least := time.Duration(0)
	for i := range candidates {
		if t := &candidates[i].Terms; i == 0 || t.Cost()-t.Tie < least {
			least = t.Cost() - t.Tie
		}
	}
	var names []string
	for i := range candidates {
		d := &candidates[i]
		if o.engine != nil && !d.Known || o.engine == nil && d.Terms.Cost()-d.Terms.Tie < least+maxTie {
			names = append(names, d.Name)
		}
	}
	if len(names) < 2 {
		return nil
	}
	slices.Sort(names)
	return names
}
