package blamer

import (
	"maps"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/identifier"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// Suspect is a request under which backend servers ended.
type Suspect struct {
	Spec storer.SuspectSpec
	// Revision is that of the last change.
	Revision uint64
}

// List holds the suspects as they were at one revision. It is not changed once made; nil is
// an empty one.
type List struct {
	suspects map[identifier.Identity]Suspect
	// places counts the suspects by their Place.
	places map[uint64]int
}

// Suspect returns what is known of a request.
func (l *List) Suspect(id identifier.Identity) (Suspect, bool) {
	if l == nil {
		return Suspect{}, false
	}
	s, ok := l.suspects[id]
	return s, ok
}

// Suspects returns the number of suspects.
func (l *List) Suspects() int {
	if l == nil {
		return 0
	}
	return len(l.suspects)
}

// SuspectAt reports whether any suspect has the place. It is quick.
func (l *List) SuspectAt(place uint64) bool { return l != nil && l.places[place] > 0 }

// EachSuspect calls f with every suspect.
func (l *List) EachSuspect(f func(identifier.Identity, Suspect)) {
	if l == nil {
		return
	}
	for id, s := range l.suspects {
		f(id, s)
	}
}

// With returns the list after changes of suspects; others are passed over.
func (l *List) With(changes ...storer.Change) (*List, error) {
	next := &List{suspects: make(map[identifier.Identity]Suspect), places: make(map[uint64]int)}
	if l != nil {
		next.suspects, next.places = maps.Clone(l.suspects), maps.Clone(l.places)
	}
	for _, c := range changes {
		if spec, ok := c.Resource.Spec.(storer.SuspectSpec); ok {
			if err := next.take(c, spec); err != nil {
				return nil, err
			}
		}
	}
	return next, nil
}

func (l *List) take(c storer.Change, spec storer.SuspectSpec) error {
	id, err := identifier.ParseIdentity(c.Resource.Metadata.Name)
	if err != nil {
		return errors.Trace(err)
	}
	if old, ok := l.suspects[id]; ok {
		if l.places[old.Spec.Place]--; l.places[old.Spec.Place] == 0 {
			delete(l.places, old.Spec.Place)
		}
	}
	if c.Deleted {
		delete(l.suspects, id)
		return nil
	}
	l.suspects[id] = Suspect{Spec: spec, Revision: c.Resource.Metadata.Revision}
	l.places[spec.Place]++
	return nil
}
