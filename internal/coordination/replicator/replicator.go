package replicator

import (
	"context"
	"io"
	"path/filepath"
	"sync"
	"time"

	"github.com/juju/errors"
)

// inboxSize is the number of events that wait for the loop. Messages beyond it
// are dropped, proposals wait.
const inboxSize = 4096

// Replicator is a host of a group. Its methods may be called from several
// goroutines.
type Replicator struct {
	settings  Settings
	replica   *replica
	applier   *applier
	transport Transport
	clock     *clock
	ledger    *ledger
	queue     *applyQueue
	locked    io.Closer

	inbox chan event
	// closing is closed by Close, stopped when the replicator no longer works.
	closing chan struct{}
	stopped chan struct{}
	workers sync.WaitGroup
	// saving counts the goroutines that write a snapshot; the applier waits for
	// them at its end.
	saving   sync.WaitGroup
	stopOnce sync.Once
	// observing keeps calls of Observe apart.
	observing sync.Mutex

	// reads are the callers that wait for the core, by the id given to it.
	// Only the loop uses them.
	reads  map[uint64]chan ReadState
	readID uint64
	// led is the term in which this host led after the last turn, 0 for none;
	// followed is the leader after it. Only the loop uses them.
	led      uint64
	followed HostID
	// doubted tells that this host led in doubt after the last turn. Only the loop uses
	// it.
	doubted bool
	// heldUpAt is when this host last told that it was held up, 0 for never. Only the
	// loop uses it.
	heldUpAt time.Duration

	lock sync.Mutex
	// published is what callers see. Guarded by lock.
	published published
	// cause is the error that stopped the replicator. Guarded by lock.
	cause error
}

// NewReplicator opens the data folder, restores the state machine from the
// latest snapshot and starts. Commands after the snapshot are applied once the
// group's leader has said that they are committed. It returns
// journaler.ErrDamaged where the disk has lost what it held.
func NewReplicator(s Settings, sm StateMachine, t Transport) (*Replicator, error) {
	s = s.withDefaults()
	if err := s.check(); err != nil {
		return nil, errors.Annotate(err, "settings of the replicator")
	}
	r := &Replicator{
		settings: s, transport: t, clock: newClock(s.Now), ledger: newLedger(), queue: newApplyQueue(),
		inbox: make(chan event, inboxSize), closing: make(chan struct{}), stopped: make(chan struct{}),
		reads: make(map[uint64]chan ReadState),
	}
	r.settings.Observe = r.observe(s.Observe)
	if err := r.open(sm); err != nil {
		return nil, err
	}
	r.publish()
	r.workers.Add(2)
	go r.loop()
	go r.applyLoop()
	return r, nil
}

// observe keeps calls from the loop and the applier apart.
func (r *Replicator) observe(to func(Observation)) func(Observation) {
	return func(o Observation) {
		r.observing.Lock()
		defer r.observing.Unlock()
		r.logElection(o)
		to(o)
	}
}

// logElection logs what decides whether and when there is a leader. A group without one
// for seconds is explained by these lines alone: who asked whom, what was refused and
// why, and which host was held up by its disk or not run at all.
func (r *Replicator) logElection(o Observation) {
	switch t := o.(type) {
	case ElectionEvent:
		r.settings.Log.Info().Stringer("Step", t.Step).Uint64("Term", t.Term).Uint64("Other", uint64(t.Other)).
			Uint64("LogIndex", t.LogIndex).Uint64("LogTerm", t.LogTerm).Uint64("OwnIndex", t.OwnIndex).Uint64("OwnTerm", t.OwnTerm).
			Stringer("Refusal", t.Refusal).Msg("election")
	case LoopDelayed:
		r.settings.Log.Info().Dur("Late", t.Late).Dur("Disk", t.Disk).Msg("held up")
	}
}

// open opens the files and connects the parts.
func (r *Replicator) open(sm StateMachine) error {
	files := r.settings.FileSystem
	if err := files.MakeFolder(r.settings.DataFolder); err != nil {
		return errors.Annotate(err, "make data folder")
	}
	locked, err := files.Lock(filepath.Join(r.settings.DataFolder, lockName))
	if err != nil {
		return errors.Annotate(err, "lock data folder")
	}
	if r.replica, err = openReplica(r.settings); err != nil {
		_ = locked.Close()
		return errors.Annotate(err, "open replica")
	}
	r.locked = locked
	r.applier = &applier{machine: sm, store: r.replica.store, observe: r.settings.Observe}
	if err := r.applier.restore(); err != nil {
		_ = r.replica.close()
		_ = locked.Close()
		return err
	}
	r.ledger.applied = r.applier.applied
	r.replica.send = r.send
	r.replica.commit = func(es []Entry) {
		r.publish()
		r.queue.pushEntries(es)
	}
	r.replica.install = func(m metadata) { r.queue.pushInstall() }
	r.replica.answer = r.answerRead
	return nil
}

// send groups messages by receiver.
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

// Deliver takes in a message from the network. It never blocks: messages that
// find the inbox full are dropped, as the network might.
func (r *Replicator) Deliver(m Message) {
	select {
	case r.inbox <- delivered{message: m}:
	default:
	}
}

// Propose puts a command into the log and returns its index and the state
// machine's result once it is synced on a majority of hosts and applied on this
// one. data must not be changed afterwards. Errors are ErrNotLeader,
// ErrNotAccepted and ErrStopped, which prove that the command has no effect
// (see CertainlyNotAccepted), and ErrOutcomeUnknown, which doesn't.
func (r *Replicator) Propose(ctx context.Context, data []byte) (index uint64, result any, err error) {
	if len(data) > r.settings.EntryBytes {
		return 0, nil, errors.Trace(ErrNotAccepted{Reason: "the command is too large"})
	}
	o := r.submit(ctx, proposal{data: data, done: make(chan outcome, 1)})
	return o.index, o.result, errors.Trace(o.err)
}

// submit hands a proposal to the loop and waits for its outcome.
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
		return r.lateOutcome(p)
	}
}

// lateOutcome looks for an outcome that came together with the stop.
func (r *Replicator) lateOutcome(p proposal) outcome {
	select {
	case o := <-p.done:
		return o
	default:
		return outcome{err: ErrOutcomeUnknown{Reason: r.Err().Error()}}
	}
}

// ReadBarrier returns once this host's state machine holds all commands that
// were accepted before the call, so that a read from it is linearizable. It
// needs no message while the leader's lease holds, else a round of heartbeats.
// On any other host it returns ErrNotLeader.
func (r *Replicator) ReadBarrier(ctx context.Context) error {
	if p := r.shown(); r.clock.read() < p.leaseUntil {
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
	case <-r.ledger.when(index):
		return nil
	case <-ctx.Done():
		return errors.Trace(ctx.Err())
	case <-r.stopped:
		return r.Err()
	}
}

// Done returns a channel that is closed when the replicator has stopped, by
// Close or by a failure after which its process has to stop.
func (r *Replicator) Done() <-chan struct{} { return r.stopped }

// Err returns nil while the replicator works, else ErrStopped.
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

// stop records the first cause and ends all waiting.
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
		r.ledger.failAfter(0, "the replicator has stopped")
		if cause != nil {
			r.settings.Log.Error().Err(cause).Msg("replicator has stopped for good")
			r.settings.Observe(Stopped{Cause: cause})
		}
	})
}

// Close stops the replicator and waits for its goroutines and files. Proposals
// in progress end with ErrOutcomeUnknown; TransferLeadership before it leaves
// none. It returns the failure that stopped the replicator before, if any.
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

// pause waits for a while, and reports false when ctx or the replicator ended.
func (r *Replicator) pause(ctx context.Context, d time.Duration) bool {
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
