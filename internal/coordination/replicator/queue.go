package replicator

import (
	"context"
	"sync"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/snapshotter"
)

// metadata is short for snapshotter.Metadata.
type metadata = snapshotter.Metadata

// applyQueue passes committed entries from the loop to the applier.
type applyQueue struct {
	lock sync.Mutex
	wake *sync.Cond
	// entries wait to be applied; bytes is their total size, until done is called for them. Guarded
	// by lock.
	entries []Entry
	bytes   int
	// restoreDue is set if a newer snapshot must be restored first. Guarded by lock.
	restoreDue bool
	// closed stops the applier. Guarded by lock.
	closed bool

	// failed is closed, after cause is set, when the applier has failed or a snapshot could not be
	// written.
	failed chan struct{}
	cause  error
	// failOnce keeps only the first failure.
	failOnce sync.Once
	// stopped is closed when the applier has stopped.
	stopped chan struct{}
}

func newApplyQueue() *applyQueue {
	q := &applyQueue{failed: make(chan struct{}), stopped: make(chan struct{})}
	q.wake = sync.NewCond(&q.lock)
	return q
}

func (q *applyQueue) pushEntries(es []Entry) {
	q.lock.Lock()
	defer q.lock.Unlock()
	q.entries = append(q.entries, es...)
	for _, e := range es {
		q.bytes += entrySize(e)
	}
	q.wake.Signal()
}

func (q *applyQueue) pushInstall() {
	q.lock.Lock()
	defer q.lock.Unlock()
	q.restoreDue = true
	q.wake.Signal()
}

// pop waits for work. It returns false after close.
func (q *applyQueue) pop() (es []Entry, install, ok bool) {
	q.lock.Lock()
	defer q.lock.Unlock()
	for len(q.entries) == 0 && !q.restoreDue && !q.closed {
		q.wake.Wait()
	}
	if q.closed {
		return nil, false, false
	}
	es, install = q.entries, q.restoreDue
	q.entries, q.restoreDue = nil, false
	return es, install, true
}

// done records that popped entries are applied.
func (q *applyQueue) done(es []Entry) {
	q.lock.Lock()
	defer q.lock.Unlock()
	for _, e := range es {
		q.bytes -= entrySize(e)
	}
}

// size returns the size in bytes of the entries that are not yet applied.
func (q *applyQueue) size() int {
	q.lock.Lock()
	defer q.lock.Unlock()
	return q.bytes
}

func (q *applyQueue) close() {
	q.lock.Lock()
	defer q.lock.Unlock()
	q.closed = true
	q.wake.Broadcast()
}

// fail makes the loop stop the replicator. Only the first cause is kept.
func (q *applyQueue) fail(cause error) {
	q.failOnce.Do(func() {
		q.cause = cause
		close(q.failed)
	})
}

// hasFailed reports whether the applier has stopped because of a failure.
func (q *applyQueue) hasFailed() bool {
	select {
	case <-q.failed:
		return true
	default:
		return false
	}
}

func (q *applyQueue) waitStopped() { <-q.stopped }

// applyLoop is the goroutine that owns the applier and the state machine.
func (r *Replicator) applyLoop() {
	defer r.workers.Done()
	defer close(r.queue.stopped)
	defer r.saving.Wait()
	for {
		es, install, ok := r.queue.pop()
		if !ok {
			return
		}
		if err := r.applyBatch(es, install); err != nil {
			r.queue.fail(err)
			return
		}
	}
}

// applyBatch restores a newer snapshot, applies entries, and takes a snapshot when one is due.
// Entries that the restored snapshot covers are skipped.
func (r *Replicator) applyBatch(es []Entry, install bool) error {
	if install {
		if err := r.restoreSnapshot(); err != nil {
			return err
		}
		r.pendingCalls.advanceApplied(r.applier.applied)
	}
	for _, e := range es {
		result, err := r.applier.apply(e)
		if err != nil {
			return errors.Annotate(err, "apply")
		}
		r.pendingCalls.advanceApplied(r.applier.applied)
		r.pendingCalls.complete(e, result)
	}
	r.queue.done(es)
	if !r.applier.saving.TryLock() {
		return nil
	}
	if !r.applier.snapshotDue(r.settings, r.clock.read()) {
		r.applier.saving.Unlock()
		return nil
	}
	f := r.applier.freeze()
	if !f.concurrent {
		return r.saveSnapshot(f)
	}
	// At the planned size a snapshot takes most of a second to write. Writing it in this goroutine
	// would delay all accepted changes for that time, on all hosts at about the same index.
	r.saving.Go(func() {
		if err := r.saveSnapshot(f); err != nil {
			r.queue.fail(err)
		}
	})
	return nil
}

// restoreSnapshot restores the latest snapshot. While the disk fails it tries again, until the
// replicator stops.
func (r *Replicator) restoreSnapshot() error {
	for {
		err := r.applier.restore()
		if !isDiskError(err) {
			return errors.Trace(err)
		}
		r.settings.Log.Warn().Err(err).Msg("failed to read a snapshot; trying again")
		if !r.sleep(context.Background(), snapshotRetryInterval) {
			return errors.Trace(err)
		}
	}
}

// saveSnapshot writes a snapshot and passes its metadata to the loop. It unlocks applier.saving.
func (r *Replicator) saveSnapshot(f frozenState) error {
	defer r.applier.saving.Unlock()
	m, taken, err := r.applier.save(f, r.settings.Now, r.clock.read)
	if err != nil || !taken {
		return err
	}
	select {
	case r.inbox <- snapshotTaken{metadata: m}:
	case <-r.stopped:
	}
	return nil
}
