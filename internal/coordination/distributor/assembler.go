package distributor

import (
	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/indexer"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// ErrGap means that a delta builds on a revision that the node does not hold. A new
// subscription is required.
const ErrGap = errors.ConstError("delta builds on a revision that is not held")

// Target stores the configuration of a node; indexer.Index implements it. Both methods
// ignore or reject changes that would decrease the revision.
type Target interface {
	Revision() uint64
	Apply(changes []storer.Change, upTo uint64) error
	Reset(resources []storer.Resource, revision uint64) error
}

// PagedTarget is a Target that takes a whole state page by page and keeps answering
// from its current state until the last page. indexer.Index implements it.
type PagedTarget interface {
	Target
	BeginLoad() *indexer.StateLoad
}

// Assembler applies the deltas of one subscription in order of arrival.
type Assembler struct {
	// loading is the reset in progress at a PagedTarget, or nil.
	loading *indexer.StateLoad
	// pages collects the state of a reset for a Target that is not paged.
	pages []storer.Resource
	// batches is the number of deltas applied.
	batches uint64
}

// ApplyDelta applies one delta to target, which must be the same in each call, and
// returns the acknowledgement to send. A delta that is not newer than target is
// acknowledged without effect. The error is ErrGap if the delta builds on a revision
// that target does not hold.
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

// applyPage applies one page of a whole state. The state takes effect with the last
// page only, since part of a state is not valid, and it is ignored if target is at
// least as new, since an older state would revert what is in force.
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
	// Holding all pages as resources would take several times the memory of the replica
	// built from them, on every node of a region at once when its control hosts
	// recover.
	if a.loading == nil {
		a.loading = paged.BeginLoad()
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
