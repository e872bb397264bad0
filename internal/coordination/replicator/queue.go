package replicator

import (
	"sync"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/snapshotter"
)

// metadata shortens a name.
type metadata = snapshotter.Metadata

// applyQueue passes committed entries from the loop to the applier.
type applyQueue struct {
	lock sync.Mutex
	wake *sync.Cond
	// entries wait to be applied, bytes is their size. Guarded by lock.
	entries []Entry
	bytes   int
	// installs says that a newer snapshot is to be restored first. Guarded by
	// lock.
	installs bool
	// closed ends the applier. Guarded by lock.
	closed bool

	// failed is closed, after cause is set, when the applier has failed or a
	// snapshot could not be written.
	failed chan struct{}
	cause  error
	// failing has the first failure count.
	failing sync.Once
	// ended is closed when the applier has ended.
	ended chan struct{}
}

func newApplyQueue() *applyQueue {
	q := &applyQueue{failed: make(chan struct{}), ended: make(chan struct{})}
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
	q.installs = true
	q.wake.Signal()
}

// pop waits for work. It returns false after close.
func (q *applyQueue) pop() (es []Entry, install, ok bool) {
	q.lock.Lock()
	defer q.lock.Unlock()
	for len(q.entries) == 0 && !q.installs && !q.closed {
		q.wake.Wait()
	}
	if q.closed {
		return nil, false, false
	}
	es, install = q.entries, q.installs
	q.entries, q.installs = nil, false
	return es, install, true
}

// done tells that popped entries are applied.
func (q *applyQueue) done(es []Entry) {
	q.lock.Lock()
	defer q.lock.Unlock()
	for _, e := range es {
		q.bytes -= entrySize(e)
	}
}

// size returns the bytes not yet applied.
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

// fail tells the loop to stop the replicator.
func (q *applyQueue) fail(cause error) {
	q.failing.Do(func() {
		q.cause = cause
		close(q.failed)
	})
}

func (q *applyQueue) wait() { <-q.ended }

// applyLoop is the goroutine that owns the applier and the state machine.
func (r *Replicator) applyLoop() {
	defer r.workers.Done()
	defer close(r.queue.ended)
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

// applyBatch restores, applies, and takes a snapshot when it is time. Entries
// that were committed before a snapshot was installed are skipped by it.
func (r *Replicator) applyBatch(es []Entry, install bool) error {
	if install {
		if err := r.applier.restore(); err != nil {
			return errors.Trace(err)
		}
		r.ledger.reached(r.applier.applied)
	}
	for _, e := range es {
		result, err := r.applier.apply(e)
		if err != nil {
			return errors.Annotate(err, "apply")
		}
		r.ledger.reached(r.applier.applied)
		r.ledger.applyDone(e, result)
	}
	r.queue.done(es)
	if !r.applier.due(r.settings) || !r.applier.saving.TryLock() {
		return nil
	}
	f := r.applier.freeze()
	if !f.apart {
		return r.saveSnapshot(f)
	}
	// At the planned size a snapshot takes the better part of a second to write.
	// Written here, it would hold up all accepted changes for as long, on all
	// hosts at about the same position of the log.
	r.saving.Go(func() {
		if err := r.saveSnapshot(f); err != nil {
			r.queue.fail(err)
		}
	})
	return nil
}

// saveSnapshot writes a snapshot and tells the loop of it. It releases the
// applier's saving.
func (r *Replicator) saveSnapshot(f frozen) error {
	defer r.applier.saving.Unlock()
	m, err := r.applier.save(f, r.settings.Now)
	var outdated snapshotter.ErrOutdated
	if errors.As(err, &outdated) {
		// The loop has received a newer one, which the next batch restores.
		return nil
	}
	if err != nil {
		return errors.Trace(err)
	}
	select {
	case r.inbox <- snapshotTaken{metadata: m}:
	case <-r.stopped:
	}
	return nil
}
