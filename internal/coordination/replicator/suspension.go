package replicator

import (
	"path/filepath"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/journaler"
)

const (
	// reopenInterval is the time between two attempts to open the files after a failure of the disk.
	reopenInterval = 200 * time.Millisecond
	// A failure within stableTime of a resumption doubles the time until the files are opened again,
	// up to maxReopenDelay, unless the probe fails too: an attempt reads the whole journal, and an
	// election may follow.
	stableTime     = time.Second
	maxReopenDelay = 5 * time.Second
	// failureLogInterval is the minimum time between two error lines on failures of the disk.
	failureLogInterval = 10 * time.Second
	// probeName is the file that is written to test the disk, and probeBytes its size: enough for
	// some hundred commands.
	probeName  = "probe"
	probeBytes = 256 << 10
)

// suspension is the state of a host whose files have to be opened again. Such a host takes no part
// in the group: it neither acknowledges nor votes, and refuses all calls. Its state machine and its
// connections remain, so that it continues as soon as the disk does.
type suspension struct {
	// since is the time of the failure, and resumedAt that of the last resumption.
	since, resumedAt time.Duration
	// delay is the minimum time between the failure and the next attempt to open the files.
	delay time.Duration
	// leaderAt is the time of the last message from the leader, which is shown to callers.
	leaderAt time.Duration
	// failures counts the suspensions since the last error line, and loggedAt is the time of that
	// line, 0 if there was none.
	failures int
	loggedAt time.Duration
	// reported is set if an error line has been logged since the last line on a resumption.
	reported bool
}

// suspend ends the host's role in the group after a failure of the disk. The outcome of the
// proposals in its log is unknown, since other hosts may commit them.
func (r *Replicator) suspend(cause error) {
	now := r.clock.read()
	s := &r.suspension
	if s.delay == 0 || now-s.resumedAt >= stableTime {
		s.delay = reopenInterval
	} else {
		s.delay = min(2*s.delay, maxReopenDelay)
	}
	s.since, s.leaderAt = now, now
	s.failures++
	r.logFailure(cause, "disk has failed; the replicated log is suspended until it accepts writes")
	r.settings.Observe(Suspended{Cause: cause})
	r.publishSuspended()
	r.replica.suspend()
	r.pendingCalls.failAfter(r.replica.emitted, "the disk of this host has failed")
	for id := range r.reads {
		r.completeRead(ReadState{ID: id, Failed: true})
	}
	if r.leadingTerm != 0 {
		r.settings.Observe(SteppedDown{Term: r.leadingTerm})
	}
	r.leadingTerm, r.quorumLost = 0, false
}

// publishSuspended publishes that the host is suspended. It is called before any call fails, so that
// whoever repeats one knows.
func (r *Replicator) publishSuspended() {
	r.lock.Lock()
	defer r.lock.Unlock()
	p := &r.published
	if p.status.Role == Leader {
		p.status.Leader = 0
	}
	p.leaseUntil, p.caughtUp = 0, nil
	p.status.Group, p.status.Self = r.settings.Group, r.settings.Self.ID
	p.status.Role, p.status.Silent, p.status.Suspended = Follower, nil, true
}

// logFailure logs an error line, or one of level debug if the last error line is more recent than
// failureLogInterval.
func (r *Replicator) logFailure(cause error, message string) {
	s, now := &r.suspension, r.clock.read()
	if s.loggedAt > 0 && now-s.loggedAt < failureLogInterval {
		r.settings.Log.Debug().Err(cause).Msg(message)
		return
	}
	r.settings.Log.Error().Err(cause).Int("Failures", s.failures).Msg(message)
	s.failures, s.loggedAt, s.reported = 0, now, true
}

// reopen refuses calls and drops messages until the files are open again or the replicator is
// closed. It returns a failure that is not one of the disk.
func (r *Replicator) reopen() error {
	ticker := time.NewTicker(reopenInterval)
	defer ticker.Stop()
	for {
		select {
		case e := <-r.inbox:
			r.refuse(e)
		case <-r.closing:
			return nil
		case <-r.queue.failed:
			return r.queue.cause
		case <-ticker.C:
			r.expireLeader()
			if r.clock.read()-r.suspension.since < r.suspension.delay {
				continue
			}
			reopened, err := r.tryReopen()
			if reopened {
				return nil
			}
			if err != nil && !isDiskError(err) {
				return err
			}
			if err != nil {
				r.logFailure(err, "disk still fails; the replicated log remains suspended")
			}
		}
	}
}

// tryReopen opens the files again if the disk accepts writes and no snapshot is being written.
func (r *Replicator) tryReopen() (bool, error) {
	if !r.applier.saving.TryLock() {
		return false, nil
	}
	defer r.applier.saving.Unlock()
	if err := r.lockFolder(); err != nil {
		return false, err
	}
	if err := probe(r.settings.FileSystem, r.settings.DataFolder); err != nil {
		r.suspension.delay = reopenInterval
		return false, err
	}
	if err := r.replica.reopen(r.clock.read()); err != nil {
		return false, err
	}
	return true, nil
}

// probe writes, syncs and removes a file.
func probe(files journaler.FileSystem, folder string) error {
	path := filepath.Join(folder, probeName)
	f, err := files.Create(path)
	if err != nil {
		return errors.Annotate(err, "create probe")
	}
	_, err = f.Write(make([]byte, probeBytes))
	if err == nil {
		err = f.Sync()
	}
	if closed := f.Close(); err == nil {
		err = closed
	}
	// A partially written file is removed too, to free its space.
	if removed := files.Remove(path); err == nil {
		err = removed
	}
	return errors.Annotate(err, "probe disk")
}

// refuse handles an event while the host is suspended.
func (r *Replicator) refuse(e event) {
	switch t := e.(type) {
	case delivered:
		r.noteLeader(t.message)
	case proposal:
		t.done <- outcome{err: ErrNotAccepted{Reason: "the disk of this host does not accept writes"}}
	case readRequest:
		t.done <- ReadState{Failed: true}
	case transferRequest:
		t.done <- ErrNotLeader{}
	case snapshotTaken:
		// The files are read again, with this snapshot.
	}
}

// noteLeader records the sender of a leader's message, so that calls can be forwarded to it.
func (r *Replicator) noteLeader(m Message) {
	if m.Kind != AppendRequest && m.Kind != SnapshotRequest {
		return
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	s := &r.published.status
	if m.Group != s.Group || m.To != s.Self || m.Formation != s.Formation || m.Term < s.Term {
		return
	}
	s.Term, s.Leader = m.Term, m.From
	r.suspension.leaderAt = r.clock.read()
}

// expireLeader forgets the leader if it has been silent for SilentTimeouts election timeouts.
func (r *Replicator) expireLeader() {
	if r.clock.read()-r.suspension.leaderAt <= SilentTimeouts*r.settings.ElectionTimeout {
		return
	}
	r.lock.Lock()
	defer r.lock.Unlock()
	r.published.status.Leader = 0
}

// resume makes the host a follower again.
func (r *Replicator) resume() {
	s := &r.suspension
	s.resumedAt = r.clock.read()
	after := s.resumedAt - s.since
	log := r.settings.Log.Debug()
	if s.reported {
		log = r.settings.Log.Info()
	}
	s.reported = false
	log.Dur("After", after).Msg("disk accepts writes; the replicated log has resumed")
	r.settings.Observe(Resumed{After: after})
	r.publish()
}

// isClosing reports whether Close was called.
func (r *Replicator) isClosing() bool {
	select {
	case <-r.closing:
		return true
	default:
		return false
	}
}
