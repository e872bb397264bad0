package replicator

import (
	"io"
	"sync"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/snapshotter"
)

// applier applies committed entries to the state machine and takes snapshots of it. It is used by a
// single goroutine, except for save.
type applier struct {
	machine StateMachine
	store   *snapshotter.Store
	observe func(Observation)

	// applied and term are the index and term of the last applied entry.
	applied, term uint64
	// configuration is the committed configuration at applied.
	configuration Configuration
	// snapshot is the index of the last snapshot; bytes is the size of the entries applied since
	// then.
	snapshot uint64
	bytes    int64

	// saving is held while a snapshot is written; only one is written at a time.
	saving sync.Mutex
	// retryAt is the time from which on a failed snapshot is taken again, 0 if the last one did not
	// fail. Guarded by saving.
	retryAt time.Duration
}

// snapshotRetryInterval is the minimum time between a failed snapshot and the next one.
const snapshotRetryInterval = time.Second

// restore loads the latest snapshot into the state machine if it is newer than applied.
func (a *applier) restore() error {
	if latest, _ := a.store.Latest(); latest.Index <= a.applied {
		return nil
	}
	r, err := a.store.OpenLatest()
	if err != nil || r == nil {
		return errors.Annotate(err, "open snapshot")
	}
	defer func() { _ = r.Close() }()
	if r.Metadata.Index <= a.applied {
		return nil
	}
	configuration, err := decodeConfiguration(r.Metadata.Extra)
	if err != nil {
		return errors.Trace(err)
	}
	if err := a.machine.Restore(r, r.Metadata.Index); err != nil {
		return errors.Annotatef(err, "restore snapshot at %d", r.Metadata.Index)
	}
	a.applied, a.term = r.Metadata.Index, r.Metadata.Term
	a.configuration = configuration
	a.snapshot, a.bytes = a.applied, 0
	return nil
}

// apply applies one entry and returns the state machine's result. Entries that the restored
// snapshot already covers are skipped.
func (a *applier) apply(e Entry) (any, error) {
	if e.Index <= a.applied {
		return nil, nil
	}
	if e.Index != a.applied+1 {
		return nil, errors.Errorf("entry %d follows entry %d", e.Index, a.applied)
	}
	var result any
	switch e.Kind {
	case EntryBlank:
	case EntryCommand:
		result = a.machine.Apply(e.Index, e.Data)
	case EntryMembership:
		configuration, err := decodeConfiguration(e.Data)
		if err != nil {
			return nil, errors.Trace(err)
		}
		a.configuration = configuration
		a.observe(MembershipChanged{Index: e.Index, Configuration: configuration})
	}
	a.applied, a.term = e.Index, e.Term
	a.bytes += int64(entrySize(e))
	return result, nil
}

// snapshotDue reports whether enough entries or bytes were applied to take a snapshot, or the last
// one has failed and is to be repeated. The caller holds saving.
func (a *applier) snapshotDue(s Settings, now time.Duration) bool {
	if a.retryAt > 0 {
		return now >= a.retryAt
	}
	return a.applied-a.snapshot >= s.SnapshotEvery || a.bytes >= s.SnapshotBytes
}

// frozenState is the state at some index, to be written as a snapshot.
type frozenState struct {
	metadata snapshotter.Metadata
	write    func(w io.Writer) error
	// concurrent is set if write may run while further entries are applied.
	concurrent bool
}

// freeze captures the current state for a snapshot. The caller holds saving.
func (a *applier) freeze() frozenState {
	f := frozenState{
		metadata: snapshotter.Metadata{Index: a.applied, Term: a.term, Extra: encodeConfiguration(a.configuration)},
		write:    a.machine.Snapshot,
	}
	if m, ok := a.machine.(Freezer); ok {
		f.write, f.concurrent = m.Freeze(), true
	}
	a.snapshot, a.bytes, a.retryAt = a.applied, 0, 0
	return f
}

// save writes a snapshot of a frozen state, and reports whether there is a new one. A failure of the
// disk is not an error: the journal still has the entries, and snapshotDue is set again after
// snapshotRetryInterval. save may run concurrently with apply where f.concurrent is set, since it
// reads nothing that apply changes. The caller holds saving.
func (a *applier) save(f frozenState, now func() time.Time, clock func() time.Duration) (m snapshotter.Metadata, taken bool, err error) {
	start := now()
	m, err = a.store.Create(f.metadata, f.write)
	var outdated snapshotter.ErrOutdated
	switch {
	case err == nil:
		a.observe(SnapshotTaken{Index: m.Index, Bytes: m.Size, Took: now().Sub(start)})
		return m, true, nil
	case errors.As(err, &outdated):
		// The loop has received or read back one that is as new.
		return m, false, nil
	case isDiskError(err):
		a.retryAt = clock() + snapshotRetryInterval
		a.observe(SnapshotFailed{Index: f.metadata.Index, Cause: err})
		return m, false, nil
	default:
		return m, false, errors.Annotate(err, "take snapshot")
	}
}
