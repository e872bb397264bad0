package distributor

import (
	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// ErrGap tells that a delta builds on a revision that the node does not hold:
// the subscription must begin anew.
const ErrGap = errors.ConstError("delta builds on a revision that is not held")

// Target is where a node keeps its configuration. indexer.Index is one. Both
// methods ignore or refuse what would go back.
type Target interface {
	Revision() uint64
	Apply(changes []storer.Change, upTo uint64) error
	Reset(resources []storer.Resource, revision uint64) error
}

// Assembler takes the deltas of one subscription in, in order of arrival.
type Assembler struct {
	// pages collects the state of a reset until its last page.
	pages []storer.Resource
	// batches counts the deltas taken in.
	batches uint64
}

// Take applies one delta to target and returns the acknowledgement to send. A
// delta that is not newer than target is acknowledged and changes nothing.
func (a *Assembler) Take(target Target, d Delta) (AcknowledgeRevision, error) {
	held := target.Revision()
	switch {
	case d.Reset:
		a.pages = append(a.pages, d.Resources...)
		if d.Last {
			pages := a.pages
			a.pages = nil
			if d.UpTo > held {
				if err := target.Reset(pages, d.UpTo); err != nil {
					return AcknowledgeRevision{}, errors.Annotatef(err, "taking the whole state at revision %d", d.UpTo)
				}
			}
		}
	case d.From > held:
		return AcknowledgeRevision{}, errors.Annotatef(ErrGap, "delta from %d to %d at revision %d", d.From, d.UpTo, held)
	case d.UpTo > held:
		if err := target.Apply(d.Changes, d.UpTo); err != nil {
			return AcknowledgeRevision{}, errors.Annotatef(err, "applying changes up to revision %d", d.UpTo)
		}
	}
	a.batches++
	return AcknowledgeRevision{Revision: target.Revision(), Batches: a.batches}, nil
}
