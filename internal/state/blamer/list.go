package blamer

import (
	"maps"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/identifier"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// Suspect is a request during which backend servers ended.
type Suspect struct {
	Spec storer.SuspectSpec
	// Revision is the revision of the suspect's last change.
	Revision uint64
}

// List contains the suspects at one revision. It is immutable. A nil *List is an empty list.
type List struct {
	suspects map[identifier.Identity]Suspect
	// placeHashes counts the suspects by their Spec.Place.
	placeHashes map[uint64]int
}

// Suspect returns the suspect with the given identity, or false if the request is not one.
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

// SuspectAt reports whether any suspect has the given place hash, in constant time.
func (l *List) SuspectAt(placeHash uint64) bool { return l != nil && l.placeHashes[placeHash] > 0 }

// EachSuspect calls f for every suspect.
func (l *List) EachSuspect(f func(identifier.Identity, Suspect)) {
	if l == nil {
		return
	}
	for id, s := range l.suspects {
		f(id, s)
	}
}

// With returns the list after the given changes. Changes of other kinds of resources are
// ignored. It returns an error if the name of a suspect is not a valid identity.
func (l *List) With(changes ...storer.Change) (*List, error) {
	next := &List{suspects: make(map[identifier.Identity]Suspect), placeHashes: make(map[uint64]int)}
	if l != nil {
		next.suspects, next.placeHashes = maps.Clone(l.suspects), maps.Clone(l.placeHashes)
	}
	for _, c := range changes {
		if spec, ok := c.Resource.Spec.(storer.SuspectSpec); ok {
			if err := next.apply(c, spec); err != nil {
				return nil, err
			}
		}
	}
	return next, nil
}

func (l *List) apply(c storer.Change, spec storer.SuspectSpec) error {
	id, err := identifier.ParseIdentity(c.Resource.Metadata.Name)
	if err != nil {
		return errors.Trace(err)
	}
	if old, ok := l.suspects[id]; ok {
		if l.placeHashes[old.Spec.Place]--; l.placeHashes[old.Spec.Place] == 0 {
			delete(l.placeHashes, old.Spec.Place)
		}
	}
	if c.Deleted {
		delete(l.suspects, id)
		return nil
	}
	l.suspects[id] = Suspect{Spec: spec, Revision: c.Resource.Metadata.Revision}
	l.placeHashes[spec.Place]++
	return nil
}
