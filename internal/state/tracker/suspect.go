package tracker

import (
	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/identifier"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// suspect takes a request in under which backend servers ended.
func (d *draft) suspect(r storer.Resource, spec storer.SuspectSpec, deleted bool) error {
	id, err := identifier.ParseIdentity(r.Metadata.Name)
	if err != nil {
		return errors.Trace(err)
	}
	if !d.ownedSuspects {
		d.view.suspects, d.view.places, d.ownedSuspects = cloned(d.view.suspects), cloned(d.view.places), true
	}
	if old, ok := d.view.suspects[id]; ok {
		if d.view.places[old.Spec.Place]--; d.view.places[old.Spec.Place] == 0 {
			delete(d.view.places, old.Spec.Place)
		}
	}
	if deleted {
		delete(d.view.suspects, id)
		return nil
	}
	d.view.suspects[id] = Suspect{Spec: spec, Revision: r.Metadata.Revision}
	d.view.places[spec.Place]++
	return nil
}
