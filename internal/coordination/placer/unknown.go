package placer

import (
	"time"

	"marigoldpoint.example/marigoldpoint/internal/state/hasher"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

// unknownStateCost is the cost of an engine whose state the entry does not follow: a call
// there may have to wait for a slot or for other prompts.
const unknownStateCost = 150 * time.Millisecond

// unknownTerms returns the terms of the cost of a call at an engine whose state the entry does
// not follow. The caller holds o.mu.
func (o *pool) unknownTerms(c *Call, b *backend, engines *survey, s *Settings) Terms {
	t := Terms{Read: ReadTime(c.Tokens, c.Tokens, o.prefillRate(s)), Unknown: unknownStateCost}
	if b.tier > 0 {
		t.Distance = s.PromptDistance
	}
	if engines.adapter != "" {
		t.Wait, t.Store = s.ColdLoad, engines.storeCost(c, b)
	}
	return t
}

// bestUnknown returns an engine whose state the entry does not follow if a call is expected
// to be served sooner there than at the best known one, or if there is none; else nil. Of
// those engines it is the adapter's home, the one with the highest affinity, so that entries
// that choose independently choose the same. The caller holds o.mu, and the last survey is
// that of the call.
func (o *pool) bestUnknown(c *Call, s *Settings, known *backend, cost time.Duration, eligible func(*backend) bool) *backend {
	others := o.order[len(o.followed(s)):]
	if len(others) == 0 {
		return nil
	}
	engines := &o.lastSurvey
	if known != nil {
		if t := o.unknownTerms(c, others[len(others)-1], engines, s); cost <= t.Cost() {
			return nil
		}
	}
	hash := affinityHash(engines.adapter)
	if engines.adapter == "" {
		hash = o.random.Uint64()
	}
	var best *backend
	var highest uint64
	for _, b := range others {
		if b.member.Spec.State != storer.MemberStateServing || o.knows(b, s) || !eligible(b) || b.limits.apply() {
			continue
		}
		if affinity := hasher.Mix(hash ^ b.hash); best == nil || affinity > highest {
			best, highest = b, affinity
		}
	}
	return best
}

// EachKnown calls f for the serving engines that the entry knows, in the sense of Knows. F
// must not call the placer.
func (p *Placer) EachKnown(f func(tracker.Member)) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, o := range p.pools {
		o.eachKnown(&p.settings, f)
	}
}

func (o *pool) eachKnown(s *Settings, f func(tracker.Member)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.engine == nil {
		return
	}
	for _, b := range o.candidates(nil, s) {
		if b.member.Spec.State == storer.MemberStateServing {
			f(b.member)
		}
	}
}

// Knows reports whether the entry follows the state of an engine or has subscribed to it for
// its calls.
func (p *Placer) Knows(service, name string) bool {
	o := p.pool(service)
	o.mu.Lock()
	defer o.mu.Unlock()
	b := o.find(name)
	return b != nil && o.knows(b, &p.settings)
}

// Use records that the entry subscribes to the state of an engine because it has a call
// there. It reports whether that is new: the engine is not followed anyway.
func (p *Placer) Use(service, name string) bool {
	o := p.pool(service)
	o.mu.Lock()
	defer o.mu.Unlock()
	b := o.find(name)
	if b == nil || o.engine == nil || o.knows(b, &p.settings) {
		return false
	}
	if b.reported() {
		// What was reported while the entry followed the engine may be old.
		b.forget()
	}
	o.used = append(o.used, b)
	o.separation.membersChanged = true
	return true
}

// Unuse ends the subscription that Use began. What was reported is dropped.
func (p *Placer) Unuse(service, name string) {
	o := p.pool(service)
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, b := range o.used {
		if b.member.Name != name {
			continue
		}
		o.used = append(o.used[:i], o.used[i+1:]...)
		o.separation.membersChanged = true
		if !o.follows(b, &p.settings) {
			b.forget()
		}
		return
	}
}
