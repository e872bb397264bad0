package storer

// putRouting replaces the routing configuration by one with a higher number. An
// equal or lower number is accepted without effect: a newer configuration exists,
// and an error would make the sender retry.
func (s *Store) putRouting(index uint64, c PutRouting) Result {
	r := Resource{
		Kind:     KindRouting,
		Metadata: Metadata{Name: RoutingName, Revision: index},
		Spec:     RoutingSpec(c),
	}
	return s.putShared(index, r, func(old Spec) bool { return old.(RoutingSpec).Number < c.Number })
}

// nameNewest sets the newest version of an adapter or model, if it is higher than
// the stored one.
func (s *Store) nameNewest(index uint64, c NameNewest) Result {
	r := Resource{
		Kind:     KindNewest,
		Metadata: Metadata{Name: c.Name, Revision: index},
		Spec:     NewestSpec{Version: c.Version},
	}
	return s.putShared(index, r, func(old Spec) bool { return old.(NewestSpec).Version < c.Version })
}

// putShared writes a resource that belongs to no workspace, if it is newer than the
// stored one. The result contains the resource that is stored afterwards.
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
