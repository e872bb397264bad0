package storer

import "slices"

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
	old, exists := p.get(KindMember, c.Name)
	if slices.Contains(p.superseded[c.Name], c.Member.Incarnation) {
		return Result{Verdict: VerdictStale, Reason: "the incarnation has ended"}
	}
	c.Member.Epoch = index
	if exists {
		was := old.Spec.(MemberSpec)
		if was.Incarnation == c.Member.Incarnation {
			c.Member.Epoch = was.Epoch
			c.Member.State = max(c.Member.State, was.State)
		} else {
			p.supersede(c.Name, was.Incarnation)
		}
		if equalSpecs(was, c.Member) {
			return accepted(old)
		}
	}
	r.Spec = c.Member
	p.put(r)
	s.publish(index, Change{Revision: index, Resource: r})
	return accepted(r)
}

// retireMember ends an incarnation and remembers it, so that none of its late
// announcements begins a membership again.
func (s *Store) retireMember(index uint64, c RetireMember) Result {
	h := s.shard("")
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.space("")
	if !slices.Contains(p.superseded[c.Name], c.Incarnation) {
		p.supersede(c.Name, c.Incarnation)
	}
	old, ok := p.get(KindMember, c.Name)
	if !ok || old.Spec.(MemberSpec).Incarnation != c.Incarnation {
		return Result{Verdict: VerdictStale, Reason: "the membership has ended"}
	}
	remembered := p.superseded[c.Name]
	change := p.endMember(index, old)
	p.superseded[c.Name] = remembered
	s.publish(index, change)
	return Result{Revision: index, Resource: &old}
}
