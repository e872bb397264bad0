package distributor

import (
	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/indexer"
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

// PagedTarget is a Target that takes a whole state in page by page, and goes on
// answering by what it holds until the last. indexer.Index is one.
type PagedTarget interface {
	Target
	Begin() *indexer.Loading
}

// Assembler takes the deltas of one subscription in, in order of arrival.
type Assembler struct {
	// loading holds a reset under way at a PagedTarget; nil where none is.
	loading *indexer.Loading
	// pages collects the state of a reset for any other Target.
	pages []storer.Resource
	// batches counts the deltas taken in.
	batches uint64
}

// ApplyDelta applies one delta to target, which must be the same each time, and
// returns the acknowledgement to send. A delta that is not newer than target is
// acknowledged and changes nothing.
func (a *Assembler) ApplyDelta(target Target, d Delta) (AcknowledgeRevision, error) {
	held := target.Revision()
	switch {
	case d.Reset:
		if err := a.applyPage(target, d); err != nil {
			a.loading, a.pages = nil, nil
			return AcknowledgeRevision{}, errors.Annotatef(err, "taking the whole state at revision %d", d.UpTo)
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

// takePage takes in one page of a whole state. Nothing of it is in force before
// the last page, and nothing at all where the target holds as much: half a state
// is no state, and an older one would take back what is in force.
func (a *Assembler) applyPage(target Target, d Delta) error {
	if d.UpTo <= target.Revision() {
		a.loading, a.pages = nil, nil
		return nil
	}
	paged, ok := target.(PagedTarget)
	if !ok {
		a.pages = append(a.pages, d.Resources...)
		if !d.Last {
			return nil
		}
		pages := a.pages
		a.pages = nil
		return target.Reset(pages, d.UpTo)
	}
	// All pages held as resources would take several times the memory of the
	// replica that is made of them, on every node of a region at once when its
	// control hosts come back.
	if a.loading == nil {
		a.loading = paged.Begin()
	}
	if err := a.loading.Add(d.Resources); err != nil {
		return err
	}
	if !d.Last {
		return nil
	}
	loading := a.loading
	a.loading = nil
	return loading.Finish(d.UpTo)
}
