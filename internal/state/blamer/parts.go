package blamer

import (
	"maps"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// Part is a part of prompts during which backend servers ended.
type Part struct {
	Spec storer.PartSpec
	// Revision is the revision of the part's last change.
	Revision uint64
}

// Parts contains the parts of prompts during which backend servers ended, at one revision. It is
// immutable. A nil *Parts is empty.
type Parts struct {
	parts map[uint64]Part
	// blocked is the number of parts that are blocked.
	blocked int
}

// AnyBlocked reports whether any part is blocked, in constant time.
func (p *Parts) AnyBlocked() bool { return p != nil && p.blocked > 0 }

// Blocked returns the first of the given parts that is blocked, or false if there is none.
func (p *Parts) Blocked(ids []uint64) (id uint64, part Part, blocked bool) {
	if !p.AnyBlocked() {
		return 0, Part{}, false
	}
	for _, id := range ids {
		if part, ok := p.parts[id]; ok && part.Spec.Blocked {
			return id, part, true
		}
	}
	return 0, Part{}, false
}

// Get returns the part with the given id, or false if it is not recorded.
func (p *Parts) Get(id uint64) (Part, bool) {
	if p == nil {
		return Part{}, false
	}
	part, ok := p.parts[id]
	return part, ok
}

// Each calls f for every part.
func (p *Parts) Each(f func(id uint64, part Part)) {
	if p == nil {
		return
	}
	for id, part := range p.parts {
		f(id, part)
	}
}

// With returns the parts after the given changes. Changes of other kinds of resources are
// ignored. It returns an error if the name of a part is invalid.
func (p *Parts) With(changes ...storer.Change) (*Parts, error) {
	next := &Parts{parts: make(map[uint64]Part)}
	if p != nil {
		next.parts, next.blocked = maps.Clone(p.parts), p.blocked
	}
	for _, c := range changes {
		spec, ok := c.Resource.Spec.(storer.PartSpec)
		if !ok {
			continue
		}
		id, err := storer.ParsePartName(c.Resource.Metadata.Name)
		if err != nil {
			return nil, errors.Trace(err)
		}
		if next.parts[id].Spec.Blocked {
			next.blocked--
		}
		if c.Deleted {
			delete(next.parts, id)
			continue
		}
		if next.parts[id] = (Part{Spec: spec, Revision: c.Resource.Metadata.Revision}); spec.Blocked {
			next.blocked++
		}
	}
	return next, nil
}
