package storer

import (
	"slices"
)

// joinMember begins a membership, or renews it for the same incarnation and the
// same companion. A renewed membership keeps its epoch, so that fencing by the
// epoch and the known resident adapters stay valid.
func (s *Store) joinMember(index uint64, c JoinMember) Result {
	r := Resource{Kind: KindMember, Metadata: Metadata{Name: c.Name}, Spec: c.Member}
	if err := Validate(r); err != nil {
		return invalid(err)
	}
	h := s.shard("")
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.space("")
	c.Member.Epoch = index
	old, exists := p.get(KindMember, c.Name)
	if exists {
		previous := old.Spec.(MemberSpec)
		switch {
		case previous.Incarnation == c.Member.Incarnation && previous.Address == c.Member.Address:
			c.Member.Epoch = previous.Epoch
			if equalSpecs(previous, c.Member) {
				return accepted(old)
			}
		case slices.Contains(p.superseded[c.Name], c.Member.Incarnation):
			return refused(VerdictStale, "a later incarnation has joined", old)
		case previous.Incarnation != c.Member.Incarnation:
			p.supersede(c.Name, previous.Incarnation)
		}
	}
	r.Spec = c.Member
	r.Metadata.Revision = index
	p.put(r)
	s.publish(index, Change{Revision: index, Resource: r})
	return accepted(r)
}

// supersede records a replaced incarnation of a member name. It keeps the latest
// maxSupersededPerMember incarnations.
func (p *space) supersede(name, incarnation string) {
	known := append(slices.Clone(p.superseded[name]), incarnation)
	p.superseded[name] = known[max(0, len(known)-maxSupersededPerMember):]
}

// leaveMember marks a membership as leaving, or ends it.
func (s *Store) leaveMember(index uint64, c LeaveMember) Result {
	h := s.shard("")
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.space("")
	old, ok := p.get(KindMember, c.Name)
	if !ok {
		return Result{Verdict: VerdictStale, Reason: "the membership has ended"}
	}
	m := old.Spec.(MemberSpec)
	if m.Epoch != c.Epoch {
		return refused(VerdictStale, "a later membership has begun", old)
	}
	if c.Ended {
		delete(p.superseded, c.Name)
		s.publish(index, p.endMember(index, old))
		return Result{Revision: index, Resource: &old}
	}
	if m.State == MemberStateLeaving {
		return accepted(old)
	}
	m.State = MemberStateLeaving
	r := old
	r.Spec = m
	r.Metadata.Revision = index
	p.put(r)
	s.publish(index, Change{Revision: index, Resource: r})
	return accepted(r)
}

// endMember removes a member and returns the change for the history.
func (p *space) endMember(index uint64, r Resource) Change {
	p.remove(KindMember, r.Metadata.Name)
	return Change{Revision: index, Resource: r, Deleted: true}
}

// expireMembers ends those of the given memberships that still exist.
func (s *Store) expireMembers(index uint64, c ExpireMembers) Result {
	h := s.shard("")
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.space("")
	var changes []Change
	for _, e := range c.Members {
		old, ok := p.get(KindMember, e.Name)
		if ok && old.Spec.(MemberSpec).Epoch == e.Epoch {
			delete(p.superseded, e.Name)
			s.recordExpiry(index, p, old.Spec.(MemberSpec))
			changes = append(changes, p.endMember(index, old))
		}
	}
	if len(changes) == 0 {
		return Result{Verdict: VerdictStale, Reason: "the memberships have ended"}
	}
	s.publish(index, changes...)
	return Result{Revision: index}
}
