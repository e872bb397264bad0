package storer

import (
	"cmp"
	"slices"
)

// announceMember begins a membership, or brings it up to date. A message of an
// incarnation that was replaced or has ended is stale, and one of an incarnation
// that leaves doesn't make it serve again: a network that was cut delivers such
// messages seconds later, and requests would be sent to what is gone.
func (s *Store) announceMember(index uint64, c AnnounceMember) Result {
	r := Resource{Kind: KindMember, Metadata: Metadata{Name: c.Name, Revision: index}, Spec: c.Member}
	if err := Validate(r); err != nil {
		return invalid(err)
	}
	h := s.shard("")
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.space("")
	reason := p.overtaken(c)
	if c.Member.State == MemberStateLeaving {
		// A stale leave is recorded too: the membership that superseded this incarnation may
		// end before a delayed heartbeat of this incarnation arrives.
		s.recordDeparture(index, p, c.Member.Incarnation, true)
	}
	if reason != "" {
		return Result{Verdict: VerdictStale, Reason: reason}
	}
	old, exists := p.get(KindMember, c.Name)
	c.Member.Epoch = index
	if exists {
		was := old.Spec.(MemberSpec)
		if was.Incarnation == c.Member.Incarnation {
			c.Member.Epoch = was.Epoch
			c.Member.State = max(c.Member.State, was.State)
			c.Member.Sequence = max(c.Member.Sequence, was.Sequence)
		} else {
			p.supersede(c.Name, was.Incarnation)
		}
		if was.Equivalent(c.Member) {
			return accepted(old)
		}
	}
	changes := p.endFormer(index, c)
	r.Spec = c.Member
	p.put(r)
	s.publish(index, append(changes, Change{Revision: index, Resource: r})...)
	return accepted(r)
}

// Of returns what the backend server keeps over its lives.
func (s MemberSpec) ServerID() string { return cmp.Or(s.Instance, s.Incarnation) }

// SameBut reports whether two memberships differ in nothing but the messages that they
// come from.
func (s MemberSpec) Equivalent(other MemberSpec) bool {
	s.Sequence, other.Sequence = 0, 0
	return s == other
}

// overtaken tells why an announcement is a late one, or nothing.
func (p *space) overtaken(c AnnounceMember) string {
	d, departed := p.departures[c.Member.Incarnation]
	held, exists := p.get(KindMember, c.Name)
	current := exists && held.Spec.(MemberSpec).Incarnation == c.Member.Incarnation
	switch {
	case departed && !d.Leaving, slices.Contains(p.superseded[c.Name], c.Member.Incarnation):
		return "the incarnation has ended"
	case departed && !current && (exists || c.Member.State == MemberStateServing):
		return "the incarnation leaves"
	}
	for _, r := range p.resources[KindMember] {
		m := r.Spec.(MemberSpec)
		switch {
		case c.Member.Instance == "" || m.Instance != c.Member.Instance:
		case m.Born > c.Member.Born:
			return "a later life has begun"
		case c.Member.State == MemberStateLeaving:
			// A leave is irrevocable, so it takes effect even if a later message was accepted.
		case m.Incarnation == c.Member.Incarnation && c.Member.Sequence > 0 && c.Member.Sequence < m.Sequence:
			return "a later message has come"
		}
	}
	return ""
}

// endFormer ends the earlier lives of a backend server at other addresses.
//
// A backend server that starts again under its name at another address leaves a
// membership behind which nothing ends until its lease runs out: calls would be sent
// there meanwhile, or to whoever has the address next.
func (p *space) endFormer(index uint64, c AnnounceMember) []Change {
	if c.Member.Instance == "" {
		return nil
	}
	var changes []Change
	for _, r := range p.resources[KindMember] {
		m := r.Spec.(MemberSpec)
		if r.Metadata.Name == c.Name || m.Instance != c.Member.Instance || m.Born >= c.Member.Born {
			continue
		}
		p.supersede(r.Metadata.Name, m.Incarnation)
		changes = append(changes, p.endMember(index, r))
	}
	sortChanges(changes)
	return changes
}
