package replicator

import (
	"time"

	"github.com/juju/errors"
)

// maximumTurn bounds the events handled in one turn of the loop, which share
// one sync of the journal.
const maximumTurn = 1024

// loop is the goroutine that owns the replica. The disk is written to here, so
// that a leader whose disk hangs sends no heartbeats and is replaced.
func (r *Replicator) loop() {
	defer r.workers.Done()
	err := r.turns()
	r.stop(err)
	r.queue.wait()
	if err := r.replica.close(); err != nil {
		r.settings.Log.Warn().Err(err).Msg("close files")
	}
	if err := r.locked.Close(); err != nil {
		r.settings.Log.Warn().Err(err).Msg("release data folder")
	}
}

// turns runs until Close or a failure.
func (r *Replicator) turns() error {
	ticker := time.NewTicker(r.settings.TickInterval)
	defer ticker.Stop()
	last := r.clock.read()
	events := make([]event, 0, maximumTurn)
	for {
		events = events[:0]
		select {
		case e := <-r.inbox:
			events = r.drain(append(events, e))
		case <-ticker.C:
			events = r.drain(events)
		case <-r.closing:
			return nil
		case <-r.queue.failed:
			return r.queue.cause
		}
		began := r.clock.read()
		if err := r.turn(events); err != nil {
			return err
		}
		ended := r.clock.read()
		r.noteHeldUp(LoopDelayed{Late: max(0, began-last-r.settings.TickInterval), Disk: ended - began}, ended)
		last = ended
	}
}

// heldUpPause is the least time between two observations of a host that is held up.
const heldUpPause = time.Second

// noteHeldUp has a host tell that it was held up for a third of the election timeout or
// more: three such waits in a row cost an election.
func (r *Replicator) noteHeldUp(h LoopDelayed, now time.Duration) {
	if h.Late+h.Disk <= r.settings.ElectionTimeout/3 || r.heldUpAt > 0 && now-r.heldUpAt < heldUpPause {
		return
	}
	r.heldUpAt = now
	r.settings.Observe(h)
}

// drain takes the events that wait already. The clock is read after it, so
// that no message is taken for older than it is: a leader's lease rests on
// what its followers believe they heard when.
func (r *Replicator) drain(events []event) []event {
	for len(events) < maximumTurn {
		select {
		case e := <-r.inbox:
			events = append(events, e)
		default:
			return events
		}
	}
	return events
}

// turn handles some events and carries out what follows from them.
func (r *Replicator) turn(events []event) error {
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
	if f := r.replica.founder; f != nil {
		r.replica.emit(f.tick(now, r.settings.HeartbeatInterval))
		if err := r.replica.tryFound(); err != nil {
			return err
		}
	}
	for _, e := range events {
		if err := r.handle(e); err != nil {
			return err
		}
	}
	r.noteRole()
	if err := r.replica.advance(); err != nil {
		return err
	}
	r.noteRole()
	r.publish()
	return nil
}

// handle takes in one event other than a message. Messages come first, so that
// a proposal meets a host that knows whether it still leads.
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

// propose puts a proposal into the log, or refuses it.
func (r *Replicator) propose(p proposal) {
	var index, term uint64
	var err error
	switch {
	case p.change != nil:
		index, term, err = r.replica.core.ProposeChange(p.change)
	case r.replica.journal.Bytes() > r.settings.JournalBytes/4*3:
		// The last quarter is for what followers and leaders must write.
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
	r.ledger.add(index, waiter{term: term, done: p.done})
}

// answerRead passes an answer of the core to its caller.
func (r *Replicator) answerRead(s ReadState) {
	if done, ok := r.reads[s.ID]; ok {
		delete(r.reads, s.ID)
		done <- s
	}
}

// noteDoubt ends what waits for a majority that does not answer: callers are told in time
// that the outcome is unknown, as of a leader that has stepped down.
func (r *Replicator) noteDoubt(doubt bool) {
	if doubt == r.doubted {
		return
	}
	r.doubted = doubt
	if doubt {
		r.ledger.failAfter(r.replica.core.commit, "no majority answers this leader")
	}
	if r.led != 0 {
		r.settings.Log.Info().Uint64("Term", r.led).Bool("Doubt", doubt).Msg("leader in doubt")
	}
}

// noteRole tells of a change of role. Proposals of a leader that no longer
// leads may still be committed by the next one.
func (r *Replicator) noteRole() {
	c := r.replica.core
	led := uint64(0)
	if c.role == Leader {
		led = c.hard.Term
	}
	if r.led != 0 && r.led != led {
		r.ledger.failAfter(c.commit, "this host no longer leads")
		r.settings.Observe(SteppedDown{Term: r.led})
		r.settings.Log.Info().Uint64("Term", r.led).Msg("stepped down")
	}
	if led != 0 && r.led != led {
		r.settings.Observe(Elected{Term: led})
		r.settings.Log.Info().Uint64("Term", led).Msg("elected")
	}
	r.led = led
	r.noteDoubt(led != 0 && c.doubt)
	if c.leader != r.followed {
		r.followed = c.leader
		r.settings.Observe(LeaderChanged{Term: c.hard.Term, Leader: c.leader})
	}
}
