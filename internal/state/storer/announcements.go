package storer

import (
	"cmp"
	"slices"
)

// announceMember begins or updates a membership. A message of an incarnation that
// was replaced or has ended is stale, and a message of a leaving incarnation does
// not make it serve again: after a partition, the network delivers such messages
// seconds late, and requests would be sent to a backend server that no longer exists.
func (s *Store) announceMember(index uint64, c AnnounceMember) Result {
	r := Resource{Kind: KindMember, Metadata: Metadata{Name: c.Name, Revision: index}, Spec: c.Member}
	if err := Validate(r); err != nil {
		return invalid(err)
	}
	h := s.shard("")
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.space("")
	reason := cmp.Or(p.staleReason(c), s.instanceEndReason(p, c.Member))
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
		previous := old.Spec.(MemberSpec)
		if previous.Incarnation == c.Member.Incarnation {
			c.Member.Epoch = previous.Epoch
			c.Member.State = max(c.Member.State, previous.State)
			c.Member.Sequence = max(c.Member.Sequence, previous.Sequence)
			c.Member.Software = cmp.Or(c.Member.Software, previous.Software)
		} else {
			p.supersede(c.Name, previous.Incarnation)
		}
		if _, recorded := p.get(KindSoftware, c.Member.Service); recorded && previous.Equivalent(c.Member) {
			return accepted(old)
		}
	}
	changes := append(p.recordSoftware(index, c.Member), p.endPreviousMemberships(index, c)...)
	r.Spec = c.Member
	p.put(r)
	s.publish(index, append(changes, Change{Revision: index, Resource: r})...)
	return accepted(r)
}

// ServerID returns the identifier of the backend server: Instance, which is the same for all
// its incarnations, or Incarnation if Instance is empty.
func (s MemberSpec) ServerID() string { return cmp.Or(s.Instance, s.Incarnation) }

// SoftwareID identifies the version of the backend server's software. An unknown version is
// considered different from that of every other incarnation.
func (s MemberSpec) SoftwareID() string {
	if s.Software == "" {
		return "incarnation " + s.Incarnation
	}
	return "version " + s.Software
}

// Equivalent reports whether two memberships are equal except for Sequence.
func (s MemberSpec) Equivalent(other MemberSpec) bool {
	s.Sequence, other.Sequence = 0, 0
	return s == other
}

// staleReason returns the reason why an announcement is stale, or an empty string.
func (p *space) staleReason(c AnnounceMember) string {
	d, departed := p.departures[c.Member.Incarnation]
	departed = departed && !d.Expired
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

// recordSoftware adds the software version of a backend server to the record of its service. A
// record that begins while the service has members of other versions, as in a state from before
// there were records, contains several.
//
// An engine without a model announces itself as a plain service, so that the kind of a backend
// server says nothing about its version. A service of engines stays one.
func (p *space) recordSoftware(index uint64, m MemberSpec) []Change {
	spec := SoftwareSpec{Software: m.SoftwareID(), Engine: m.Kind == MemberKindEngine}
	if old, exists := p.get(KindSoftware, m.Service); exists {
		before := old.Spec.(SoftwareSpec)
		spec.Several = before.Several || before.Software != spec.Software
		spec.Software, spec.Engine = before.Software, before.Engine || spec.Engine
		if spec == before {
			return nil
		}
	} else {
		for _, r := range p.resources[KindMember] {
			other := r.Spec.(MemberSpec)
			spec.Several = spec.Several || other.Service == m.Service && other.SoftwareID() != spec.Software
		}
	}
	r := Resource{Kind: KindSoftware, Metadata: Metadata{Name: m.Service, Revision: index}, Spec: spec}
	p.put(r)
	return []Change{{Revision: index, Resource: r}}
}

// endPreviousMemberships ends the memberships of earlier incarnations of a backend server at
// other addresses.
//
// If a backend server restarts at another address, its previous membership would otherwise
// exist until its lease expires: calls would be sent to the old address, or to another
// process that uses this address.
func (p *space) endPreviousMemberships(index uint64, c AnnounceMember) []Change {
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
