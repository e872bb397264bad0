package storer

// putRouting replaces the routing configuration by one of a higher number. A
// lower one is accepted without effect: its sender has been overtaken, and an
// error would have it send the same again.
func (s *Store) putRouting(index uint64, c PutRouting) Result {
	r := Resource{
		Kind:     KindRouting,
		Metadata: Metadata{Name: RoutingName, Revision: index},
		Spec:     RoutingSpec(c),
	}
	return s.putShared(index, r, func(old Spec) bool { return old.(RoutingSpec).Number < c.Number })
}

// nameNewest names a newer version.
func (s *Store) nameNewest(index uint64, c NameNewest) Result {
	r := Resource{
		Kind:     KindNewest,
		Metadata: Metadata{Name: c.Name, Revision: index},
		Spec:     NewestSpec{Version: c.Version},
	}
	return s.putShared(index, r, func(old Spec) bool { return old.(NewestSpec).Version < c.Version })
}

// putShared writes a resource of no workspace where it is newer than the one
// held, and answers with the one that holds then.
func (s *Store) putShared(index uint64, r Resource, newer func(old Spec) bool) Result {
	if err := Validate(r); err != nil {
		return invalid(err)
	}
	h := s.shard("")
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.space("")
	if old, ok := p.get(r.Kind, r.Metadata.Name); ok && !newer(old.Spec) {
		return accepted(old)
	}
	p.put(r)
	s.publish(index, Change{Revision: index, Resource: r})
	return accepted(r)
}
