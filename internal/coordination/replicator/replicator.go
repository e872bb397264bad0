package replicator

import (
	"context"
	"io"
	"path/filepath"
	"sync"
	"time"

	"github.com/juju/errors"
)

// inboxSize is the capacity of the loop's queue of events. If it is full, messages are dropped and
// proposals wait.
const inboxSize = 4096

// Replicator is one host of a group. Its methods are safe for concurrent use.
type Replicator struct {
	settings     Settings
	replica      *replica
	applier      *applier
	transport    Transport
	clock        *clock
	pendingCalls *pendingCalls
	queue        *applyQueue
	folderLock   io.Closer

	inbox chan event
	// closing is closed by Close; stopped is closed once the replicator has stopped.
	closing chan struct{}
	stopped chan struct{}
	workers sync.WaitGroup
	// saving counts the goroutines that write a snapshot; the applier waits for them before it
	// stops.
	saving   sync.WaitGroup
	stopOnce sync.Once
	// observeLock serializes the calls of Observe.
	observeLock sync.Mutex

	// reads are the callers that wait for the core, by read ID. Used only by the loop.
	reads  map[uint64]chan ReadState
	readID uint64
	// leadingTerm is the term in which this host led after the last iteration, 0 if none;
	// observedLeader is the leader at that time. Used only by the loop.
	leadingTerm    uint64
	observedLeader HostID
	// quorumLost is set if this host led without a quorum after the last iteration. Used only by
	// the loop.
	quorumLost bool
	// openFailure is the failure of the disk at the start, nil if there was none.
	openFailure error
	// suspension describes the latest suspension. Used only by the loop.
	suspension suspension
	// delayReportedAt is the time of the last LoopDelayed observation, 0 if none. Used only by the
	// loop.
	delayReportedAt time.Duration

	lock sync.Mutex
	// published is the state shown to callers. Guarded by lock.
	published published
	// cause is the error that stopped the replicator. Guarded by lock.
	cause error
}

// NewReplicator opens the data folder, restores the state machine from the latest snapshot and
// starts. Commands after the snapshot are applied once the leader has reported them as committed.
// If the disk fails, for instance because it is full, the replicator starts suspended, and does the
// rest once the disk accepts writes. NewReplicator returns journaler.ErrDamaged if durable data is
// missing from the disk.
func NewReplicator(s Settings, sm StateMachine, t Transport) (*Replicator, error) {
	s = s.withDefaults()
	if err := s.check(); err != nil {
		return nil, errors.Annotate(err, "replicator settings")
	}
	r := &Replicator{
		settings: s, transport: t, clock: newClock(s.Now), pendingCalls: newPendingCalls(), queue: newApplyQueue(),
		inbox: make(chan event, inboxSize), closing: make(chan struct{}), stopped: make(chan struct{}),
		reads: make(map[uint64]chan ReadState),
	}
	r.settings.Observe = r.observe(s.Observe)
	if err := r.open(sm); err != nil {
		return nil, err
	}
	if r.openFailure == nil {
		r.publish()
	}
	r.workers.Add(2)
	go r.loop()
	go r.applyLoop()
	return r, nil
}

// observe serializes the observations of the loop and the applier.
func (r *Replicator) observe(to func(Observation)) func(Observation) {
	return func(o Observation) {
		r.observeLock.Lock()
		defer r.observeLock.Unlock()
		r.logObservation(o)
		to(o)
	}
}

// logObservation logs snapshots that fail and the events that decide whether and when there is a
// leader. These lines alone must explain a group without a leader for seconds: which host asked
// which, what was refused and why, and which host was delayed by its disk or not scheduled.
func (r *Replicator) logObservation(o Observation) {
	switch t := o.(type) {
	case ElectionEvent:
		r.settings.Log.Info().Stringer("Step", t.Step).Uint64("Term", t.Term).Uint64("Other", uint64(t.Other)).
			Uint64("LogIndex", t.LogIndex).Uint64("LogTerm", t.LogTerm).Uint64("OwnIndex", t.OwnIndex).Uint64("OwnTerm", t.OwnTerm).
			Stringer("Refusal", t.Refusal).Msg("election")
	case LoopDelayed:
		r.settings.Log.Info().Dur("Late", t.Late).Dur("Disk", t.Disk).Msg("replication loop delayed")
	case SnapshotFailed:
		r.settings.Log.Warn().Err(t.Cause).Uint64("Index", t.Index).Msg("failed to write a snapshot; it is taken again")
	}
}

// open locks the data folder, opens the files and connects the parts. A failure of the disk is not
// an error; it becomes openFailure.
func (r *Replicator) open(sm StateMachine) error {
	r.connect(sm)
	err := r.lockFolder()
	if err == nil {
		err = r.replica.open()
	}
	if err == nil {
		err = r.applier.restore()
	}
	if isDiskError(err) {
		r.openFailure = err
		return nil
	}
	if err != nil {
		_ = r.replica.close()
		_ = r.releaseFolder()
		return errors.Annotate(err, "open replica")
	}
	r.pendingCalls.applied = r.applier.applied
	return nil
}

// lockFolder locks the data folder, if that has not succeeded yet.
func (r *Replicator) lockFolder() error {
	if r.folderLock != nil {
		return nil
	}
	files := r.settings.FileSystem
	if err := files.MakeFolder(r.settings.DataFolder); err != nil {
		return errors.Annotate(err, "create data folder")
	}
	folderLock, err := files.Lock(filepath.Join(r.settings.DataFolder, lockName))
	if err != nil {
		return errors.Annotate(err, "lock data folder")
	}
	r.folderLock = folderLock
	return nil
}

// releaseFolder releases the lock of the data folder, if it is held.
func (r *Replicator) releaseFolder() error {
	if r.folderLock == nil {
		return nil
	}
	return errors.Trace(r.folderLock.Close())
}

// connect connects the replica with the applier, the transport and the callers.
func (r *Replicator) connect(sm StateMachine) {
	r.replica = newReplica(r.settings)
	r.applier = &applier{machine: sm, store: r.replica.store, observe: r.settings.Observe}
	r.replica.send = r.send
	r.replica.onCommit = func(es []Entry) {
		r.publish()
		r.queue.pushEntries(es)
	}
	r.replica.onInstall = func(metadata) { r.queue.pushInstall() }
	r.replica.onRead = r.completeRead
}

// send passes messages to the transport, grouped by receiver.
func (r *Replicator) send(ms []Message) {
	for len(ms) > 0 {
		n := 1
		for n < len(ms) && ms[n].To == ms[0].To {
			n++
		}
		r.transport.Send(ms[0].To, ms[:n:n])
		ms = ms[n:]
	}
}

// Deliver passes a message from the network to the loop. It never blocks: if the inbox is full, the
// message is dropped, as it could be on the network.
func (r *Replicator) Deliver(m Message) {
	select {
	case r.inbox <- delivered{message: m}:
	default:
	}
}

// Propose appends a command to the log. Once the command is synced on a majority of hosts and
// applied on this one, it returns the index and the state machine's result. data must not be
// changed afterwards. The errors ErrNotLeader, ErrNotAccepted and ErrStopped prove that the command
// has no effect (see CertainlyNotAccepted); ErrOutcomeUnknown does not.
func (r *Replicator) Propose(ctx context.Context, data []byte) (index uint64, result any, err error) {
	if len(data) > r.settings.EntryBytes {
		return 0, nil, errors.Trace(ErrNotAccepted{Reason: "the command is too large"})
	}
	o := r.submit(ctx, proposal{data: data, done: make(chan outcome, 1)})
	return o.index, o.result, errors.Trace(o.err)
}

// submit passes a proposal to the loop and waits for its outcome.
func (r *Replicator) submit(ctx context.Context, p proposal) outcome {
	if err := r.Err(); err != nil {
		return outcome{err: err}
	}
	select {
	case r.inbox <- p:
	case <-ctx.Done():
		return outcome{err: ErrNotAccepted{Reason: ctx.Err().Error()}}
	case <-r.stopped:
		return outcome{err: r.Err()}
	}
	select {
	case o := <-p.done:
		return o
	case <-ctx.Done():
		return outcome{err: ErrOutcomeUnknown{Reason: ctx.Err().Error()}}
	case <-r.stopped:
		return r.outcomeAtStop(p)
	}
}

// outcomeAtStop returns the outcome if it arrived together with the stop.
func (r *Replicator) outcomeAtStop(p proposal) outcome {
	select {
	case o := <-p.done:
		return o
	default:
		return outcome{err: ErrOutcomeUnknown{Reason: r.Err().Error()}}
	}
}

// ReadBarrier returns once this host's state machine holds all commands that were accepted before
// the call, so that a read from it is linearizable. It needs no messages while the leader's lease
// holds, and a round of heartbeats otherwise. On a host that does not lead it returns ErrNotLeader.
func (r *Replicator) ReadBarrier(ctx context.Context) error {
	if p := r.lastPublished(); r.clock.read() < p.leaseUntil {
		return r.waitApplied(ctx, p.status.Commit)
	}
	request := readRequest{done: make(chan ReadState, 1)}
	select {
	case r.inbox <- request:
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	case <-r.stopped:
		return r.Err()
	}
	select {
	case s := <-request.done:
		if s.Failed {
			leader, _ := r.Leader()
			return errors.Trace(ErrNotLeader{Leader: leader})
		}
		return r.waitApplied(ctx, s.Index)
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	case <-r.stopped:
		return r.Err()
	}
}

func (r *Replicator) waitApplied(ctx context.Context, index uint64) error {
	select {
	case <-r.pendingCalls.whenApplied(index):
		return nil
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	case <-r.stopped:
		return r.Err()
	}
}

// Done returns a channel that is closed once the replicator has stopped, by Close or by a failure
// that can't be resolved by opening the files again. After a failure the process must stop.
func (r *Replicator) Done() <-chan struct{} { return r.stopped }

// Err returns nil while the replicator runs, and ErrStopped afterwards.
func (r *Replicator) Err() error {
	select {
	case <-r.stopped:
		r.lock.Lock()
		defer r.lock.Unlock()
		return ErrStopped{Cause: r.cause}
	default:
		return nil
	}
}

// stop records the first cause and fails all pending calls.
func (r *Replicator) stop(cause error) {
	r.stopOnce.Do(func() {
		r.lock.Lock()
		r.cause = cause
		r.published.leaseUntil = 0
		r.published.status.Role = Follower
		r.published.status.Leader = 0
		r.lock.Unlock()
		close(r.stopped)
		r.queue.close()
		r.pendingCalls.failAfter(0, "the replicator has stopped")
		if cause != nil {
			r.settings.Log.Error().Err(cause).Msg("replicator has failed")
			r.settings.Observe(Stopped{Cause: cause})
		}
	})
}

// Close stops the replicator and waits until its goroutines have ended and its files are closed.
// Pending proposals fail with ErrOutcomeUnknown; a call of TransferLeadership before Close avoids
// that. It returns the failure that stopped the replicator before, if any.
func (r *Replicator) Close() error {
	r.lock.Lock()
	select {
	case <-r.closing:
	default:
		close(r.closing)
	}
	r.lock.Unlock()
	r.workers.Wait()
	r.lock.Lock()
	defer r.lock.Unlock()
	return errors.Trace(r.cause)
}

// sleep waits for d. It returns false if ctx ended or the replicator stopped before that.
func (r *Replicator) sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	case <-r.stopped:
		return false
	}
}
