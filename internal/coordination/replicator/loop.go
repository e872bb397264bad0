package replicator

import (
	"time"

	"github.com/juju/errors"
)

// maxEventBatch bounds the events handled in one iteration of the loop, which share one sync of the
// journal.
const maxEventBatch = 1024

// loop is the goroutine that owns the replica. It also writes to the disk, so that a leader whose
// disk hangs sends no heartbeats and is replaced.
func (r *Replicator) loop() {
	defer r.workers.Done()
	r.stop(r.serve())
	r.queue.waitStopped()
	if err := r.replica.close(); err != nil {
		r.settings.Log.Warn().Err(err).Msg("failed to close files")
	}
	if err := r.releaseFolder(); err != nil {
		r.settings.Log.Warn().Err(err).Msg("failed to release data folder")
	}
}

// serve handles events until Close, or a failure that is not one of the disk, which it returns.
func (r *Replicator) serve() error {
	failure := r.openFailure
	for {
		if failure == nil {
			failure = r.run()
		}
		if !isDiskError(failure) || r.queue.hasFailed() {
			return failure
		}
		r.suspend(failure)
		if failure = r.reopen(); failure != nil || r.isClosing() {
			return failure
		}
		r.resume()
	}
}

// run handles events until Close or a failure, which it returns.
func (r *Replicator) run() error {
	ticker := time.NewTicker(r.settings.TickInterval)
	defer ticker.Stop()
	last := r.clock.read()
	events := make([]event, 0, maxEventBatch)
	for {
		events = events[:0]
		select {
		case e := <-r.inbox:
			events = r.drainInbox(append(events, e))
		case <-ticker.C:
			events = r.drainInbox(events)
		case <-r.closing:
			return nil
		case <-r.queue.failed:
			return r.queue.cause
		}
		began := r.clock.read()
		if err := r.processEvents(events); err != nil {
			return err
		}
		ended := r.clock.read()
		r.reportDelay(LoopDelayed{Late: max(0, began-last-r.settings.TickInterval), Disk: ended - began}, ended)
		last = ended
	}
}

// delayReportInterval is the minimum time between two LoopDelayed observations.
const delayReportInterval = time.Second

// reportDelay reports an iteration that was delayed by more than a third of the election timeout:
// three such delays in a row cause an election.
func (r *Replicator) reportDelay(d LoopDelayed, now time.Duration) {
	if d.Late+d.Disk <= r.settings.ElectionTimeout/3 || r.delayReportedAt > 0 && now-r.delayReportedAt < delayReportInterval {
		return
	}
	r.delayReportedAt = now
	r.settings.Observe(d)
}

// drainInbox adds the events that are already waiting. The clock is read after it, so that no
// message is taken for older than it is: the leader's lease depends on the time at which followers
// record its messages.
func (r *Replicator) drainInbox(events []event) []event {
	for len(events) < maxEventBatch {
		select {
		case e := <-r.inbox:
			events = append(events, e)
		default:
			return events
		}
	}
	return events
}

// processEvents handles a batch of events and carries out the output of the core.
func (r *Replicator) processEvents(events []event) error {
	now := r.clock.read()
	r.replica.core.SetClock(now)
	for _, e := range events {
		if d, ok := e.(delivered); ok {
			if err := r.replica.step(d.message); err != nil {
				return errors.Trace(err)
			}
		}
	}
	r.replica.core.Tick(now)
	if f := r.replica.bootstrapper; f != nil {
		r.replica.emit(f.tick(now, r.settings.HeartbeatInterval))
		if err := r.replica.tryFormGroup(); err != nil {
			return err
		}
	}
	for _, e := range events {
		if err := r.handle(e); err != nil {
			return err
		}
	}
	r.updateRole()
	if err := r.replica.advance(); err != nil {
		return err
	}
	r.updateRole()
	r.publish()
	return nil
}

// handle handles an event other than a message. Messages are handled first, so that a proposal is
// checked against the current role.
func (r *Replicator) handle(e event) error {
	switch t := e.(type) {
	case delivered:
	case proposal:
		r.propose(t)
	case readRequest:
		r.readID++
		r.reads[r.readID] = t.done
		r.replica.core.Read(r.readID)
	case transferRequest:
		t.done <- r.replica.core.Transfer()
	case snapshotTaken:
		return r.replica.compact(t.metadata)
	}
	return nil
}

// propose appends a proposal to the log, or refuses it.
func (r *Replicator) propose(p proposal) {
	var index, term uint64
	var err error
	switch {
	case p.change != nil:
		index, term, err = r.replica.core.ProposeChange(p.change)
	case r.replica.journal.Bytes() > r.settings.JournalBytes/4*3:
		// The last quarter is reserved for entries that followers and leaders must write.
		err = ErrNotAccepted{Reason: "the journal is nearly full"}
	case r.queue.size() > r.settings.PendingBytes:
		err = ErrNotAccepted{Reason: "too many bytes wait to be applied"}
	default:
		index, term, err = r.replica.core.Propose(p.data)
	}
	if err != nil {
		p.done <- outcome{err: err}
		return
	}
	r.pendingCalls.add(index, proposalWaiter{term: term, done: p.done})
}

// completeRead passes the core's answer to the caller of a read.
func (r *Replicator) completeRead(s ReadState) {
	if done, ok := r.reads[s.ID]; ok {
		delete(r.reads, s.ID)
		done <- s
	}
}

// updateQuorumLost fails the proposals that wait for a majority which does not answer: callers
// learn in time that the outcome is unknown, as if the leader had stepped down.
func (r *Replicator) updateQuorumLost(lost bool) {
	if lost == r.quorumLost {
		return
	}
	r.quorumLost = lost
	if lost {
		r.pendingCalls.failAfter(r.replica.core.commit, "no majority answers this leader")
	}
	if r.leadingTerm != 0 {
		r.settings.Log.Info().Uint64("Term", r.leadingTerm).Bool("Doubt", lost).Msg("leader quorum changed")
	}
}

// updateRole reports a change of role or leader. Proposals of a leader that has stepped down may
// still be committed by the next one, so that their outcome is unknown.
func (r *Replicator) updateRole() {
	c := r.replica.core
	leadingTerm := uint64(0)
	if c.role == Leader {
		leadingTerm = c.hard.Term
	}
	if r.leadingTerm != 0 && r.leadingTerm != leadingTerm {
		r.pendingCalls.failAfter(c.commit, "this host no longer leads")
		r.settings.Observe(SteppedDown{Term: r.leadingTerm})
		r.settings.Log.Info().Uint64("Term", r.leadingTerm).Msg("stepped down")
	}
	if leadingTerm != 0 && r.leadingTerm != leadingTerm {
		r.settings.Observe(Elected{Term: leadingTerm})
		r.settings.Log.Info().Uint64("Term", leadingTerm).Msg("elected")
	}
	r.leadingTerm = leadingTerm
	r.updateQuorumLost(leadingTerm != 0 && c.quorumLost)
	if c.leader != r.observedLeader {
		r.observedLeader = c.leader
		r.settings.Observe(LeaderChanged{Term: c.hard.Term, Leader: c.leader})
	}
}
