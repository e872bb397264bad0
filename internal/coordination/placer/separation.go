package placer

import (
	"math"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/separator"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

const (
	// separationCost is the cost of a call in the other group if a stream is certain to have a
	// long event gap because of it. It outweighs a load from the store, the affinity steps to the
	// first engine of the own group and the distance to another failure domain, and bounds the time
	// by which a call may wait longer in its own group.
	separationCost = 500 * time.Millisecond
	// certainShare is the share of the limit of event gaps from which a prefill is certain to exceed
	// it. Between two events an engine prefills up to eight chunks of 46 ms at the usual speed, and
	// its machine's speed changes within the age of a report. The harm grows with the square of a
	// shorter prefill, so that one of 150 ms doesn't cause a load from the store.
	certainShare = 0.75
	// expectedStreams is the number of streams that begin at an engine, on average, between the
	// report by which it is chosen and the prefill.
	expectedStreams = 0.5
	// ownGroupCost is the cost of a long call at a designated engine with many streams, which it
	// interrupts as well. It is below the time of a load from the store, since those streams meet other
	// long prefills, too.
	ownGroupCost = 200 * time.Millisecond
	// ownGroupStreams is the number of streams at which half of ownGroupCost applies.
	ownGroupStreams = 2.0
	// longHarmShare is the share of time spent on long prefills at which a stream of a few seconds
	// is interrupted by at least one of them in two of three cases.
	longHarmShare = 0.1
	// targetMargin is the time before its target at which a call is expected to have its first byte.
	// It covers the age of an engine's state.
	targetMargin = 100 * time.Millisecond
)

// LongPromptState is a companion's report on the share of time that its engine spends on long
// prefills. It is a message of its own, since hosts of earlier versions must be able to read the
// others.
type LongPromptState struct {
	_ struct{} `cbor:",toarray"`
	// Name and Incarnation identify the engine.
	Name        string
	Incarnation string
	// SharePercent is the share in percent.
	SharePercent int
}

// ReportLongPrompts applies a companion's report on long prefills.
func (p *Placer) ReportLongPrompts(now time.Time, service string, s LongPromptState) {
	o := p.pool(service)
	o.mu.Lock()
	defer o.mu.Unlock()
	if b := o.find(s.Name); b != nil && b.member.Spec.Incarnation == s.Incarnation {
		o.separation.set.Report(now, s.Name, s.Incarnation, float64(s.SharePercent)/100)
	}
}

// separation is what a pool knows of the engines that are designated for long prompts.
type separation struct {
	set separator.Set
	// routing is the configuration that limits were derived from.
	routing *tracker.Routing
	limits  separator.Limits
	// membersChanged means that the set does not have the current engines.
	membersChanged bool
}

func (x *separation) copy() separation {
	c := *x
	c.set = x.set.Clone()
	return c
}

// configureSeparation derives the limits from a configuration, if it is a new one. The caller holds o.mu.
func (o *pool) configureSeparation(service string, routing *tracker.Routing) {
	if x := &o.separation; x.routing != routing {
		x.routing, x.limits = routing, separator.NewLimits(routing, service)
	}
}

// separates reports whether calls to the service are separated. The caller holds o.mu.
func (o *pool) separates(s *Settings) bool {
	return o.engine != nil && o.separation.limits.Long > 0 && s.LongPrompts == separator.ModeSeparate
}

// updateSeparation brings the designated engines up to date. The caller holds o.mu.
func (o *pool) updateSeparation(now time.Time, service string, s *Settings) {
	if !o.separates(s) {
		return
	}
	x := &o.separation
	if x.membersChanged {
		x.membersChanged = false
		var engines []separator.Engine
		for _, b := range o.candidates(nil, s) {
			if spec := &b.member.Spec; spec.State == storer.MemberStateServing {
				engines = append(engines, separator.Engine{Name: b.member.Name, Incarnation: spec.Incarnation, FailureDomain: spec.FailureDomain})
			}
		}
		x.set.SetEngines(service, engines)
	}
	if !x.set.Update(now) {
		return
	}
	for _, b := range o.backends {
		if b.designated = x.set.Has(b.member.Name); b.designated {
			b.longHarm = interruption(x.set.Share(b.member.Name))
		}
	}
}

// interruption returns the certainty with which a stream is interrupted by long prefills at an engine
// that spends the given share of its time on them.
func interruption(share float64) float64 { return 1 - math.Exp(-share/longHarmShare) }

// SeparationState returns the state of the engines that are designated for long prompts, and whether
// calls to the service are separated.
func (p *Placer) SeparationState(now time.Time, service string) (state separator.State, separates bool) {
	o := p.pool(service)
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.separates(&p.settings) {
		return separator.State{}, false
	}
	o.updateSeparation(now, service, &p.settings)
	return o.separation.set.State(), true
}

// grouping is the group of the call that is being placed.
type grouping struct {
	// active means that the call has a group: long or, otherwise, short.
	active, long bool
	limits       separator.Limits
	// waived means that the call may go to either group, since it would else miss its target.
	waived bool
}

// group determines the group of a call after its prompt has been planned. The caller holds o.mu.
func (o *pool) group(c *Call, engines *survey, s *Settings) grouping {
	x := &o.separation
	if c.Mixed || x.set.State().Designated == 0 || !o.separates(s) {
		return grouping{}
	}
	rate := o.prefillRate(s)
	g := grouping{active: true, limits: x.limits, long: x.limits.IsLong(ReadTime(c.Tokens, c.Tokens, rate))}
	if !g.long {
		return g
	}
	fewest := c.Tokens
	for _, b := range engines.candidates {
		fewest = min(fewest, b.uncached(c))
	}
	g.long = x.limits.IsLong(ReadTime(fewest, c.Tokens, rate))
	return g
}

// cost returns the cost of the call at an engine for event gaps of streams. Usual is the time to prefill
// its prompt there at the usual speed, and expected at the current one. A short call whose prompt is
// long at an engine that has not cached it costs the same there as a long one.
func (g *grouping) cost(b *backend, usual, expected time.Duration) time.Duration {
	switch {
	case !g.active, g.waived:
		return 0
	case b.designated && !g.long:
		return time.Duration(b.longHarm * float64(separationCost))
	case !g.limits.IsLong(usual):
		return 0
	}
	prefill, streams := min(1, math.Pow(float64(expected)/(certainShare*float64(g.limits.Gap)), 2)), float64(b.runningCalls())
	if b.designated {
		return time.Duration(prefill * streams / (streams + ownGroupStreams) * float64(ownGroupCost))
	}
	streams += expectedStreams
	return time.Duration(prefill * streams / (streams + expectedStreams) * float64(separationCost))
}

// own reports whether an engine belongs to the call's group.
func (g *grouping) own(b *backend) bool { return b.designated == g.long }

// inTime reports whether a call is expected to meet its target at an engine.
func (c *Call) inTime(t *Terms) bool {
	return c.Slack <= 0 || t.Turn+t.Wait+t.Read+targetMargin <= c.Slack
}

// GroupChoice is the group of a call and whether it went there.
type GroupChoice struct {
	// Separated means that the call had a group, and Long that it was the one of long prompts.
	Separated, Long bool
	// Own means that the chosen engine belongs to the call's group, and Waived that the call
	// would otherwise have missed its target.
	Own, Waived bool
	// Designated is the number of engines designated for long prompts.
	Designated int
}

// groupChoice describes the choice of an engine. The caller holds o.mu, and the last survey is that of
// the call.
func (o *pool) groupChoice(b *backend) GroupChoice {
	g := &o.lastSurvey.group
	if !g.active {
		return GroupChoice{}
	}
	return GroupChoice{Separated: true, Long: g.long, Own: g.own(b), Waived: g.waived, Designated: o.separation.set.State().Designated}
}

// timelyChoice is the cheapest engine, regardless of separation, at which a call is expected to meet
// its target.
type timelyChoice struct {
	backend *backend
	cost    time.Duration
}

func (t *timelyChoice) add(b *backend, cost time.Duration) {
	if t.backend == nil || cost < t.cost {
		t.backend, t.cost = b, cost
	}
}

// waiveSeparation removes the penalty for the engines at which a call meets its target, since it would
// otherwise go to one where it does not. The caller holds o.mu.
func (o *pool) waiveSeparation(c *Call) {
	o.lastSurvey.group.waived = true
	for b, t := range o.compared {
		if c.inTime(&t) {
			t.Separation = 0
			o.compared[b] = t
		}
	}
}
