package relayer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

// errSilent cancels an attempt at an engine whose host is silent.
const errSilent = errors.ConstError("the companion is silent")

// companion is the companion of one engine. It is stored and returned by value: through
// a pointer its connection could be read after the lock is released, while it is being
// replaced.
type companion struct {
	service string
	conn    *messenger.Conn
}

// attempt is one call at one engine.
type attempt struct {
	job    *job
	ctx    context.Context
	cancel context.CancelCauseFunc
	// incarnation is the incarnation of the backend server that the call is meant for.
	incarnation string
	// movable means that the call may move to another engine after it was sent to this
	// one. It is set before sent.
	movable bool
	// sent means that the call was sent to the engine.
	sent atomic.Bool
	// started means that part of the answer was received.
	started atomic.Bool
	// retryReserved means that a further attempt of the call was reserved in the retry
	// budget before this one ended.
	retryReserved atomic.Bool
	// waitingSince is when the attempt began, or when the call was sent, in nanoseconds
	// since 1970.
	waitingSince atomic.Int64
}

// trackAttempt registers an attempt at the chosen engine, so that it is cancelled when
// the engine's host falls silent. It returns the context of the attempt, and a function
// that ends and unregisters it, and hands its reservation of a retry over to the call.
//
// A host that is stalled or partitioned neither answers nor resets connections: without
// this, calls would wait there until their callers leave, some two seconds later,
// although other engines could have served them at once.
func (r *Relayer) trackAttempt(j *job) (a *attempt, ctx context.Context, end func()) {
	ctx, cancel := context.WithCancelCause(j.ctx)
	a = &attempt{job: j, ctx: ctx, cancel: cancel, incarnation: j.choice.Incarnation}
	j.current = a
	a.waitingSince.Store(j.relayer.settings.Now().UnixNano())
	name := j.choice.Name
	if j.service.Engine != nil {
		r.use(j)
		r.useFullPace(name)
	}
	r.attemptsMu.Lock()
	defer r.attemptsMu.Unlock()
	if r.attempts[name] == nil {
		r.attempts[name] = make(map[*attempt]struct{})
	}
	r.attempts[name][a] = struct{}{}
	return a, ctx, func() {
		cancel(nil)
		r.attemptsMu.Lock()
		defer r.attemptsMu.Unlock()
		if delete(r.attempts[name], a); len(r.attempts[name]) == 0 {
			delete(r.attempts, name)
			delete(r.answeredAt, name)
		}
		// No further reservation follows, since cancelWaiting no longer sees the attempt.
		j.retryReserved = j.retryReserved || a.retryReserved.Load()
	}
}

// markStarted records that the answer has started.
func (a *attempt) markStarted() { a.started.Store(true) }

// markSent records that the call is about to be sent to the engine.
func (a *attempt) markSent() {
	j := a.job
	a.movable = j.repeatable() && !j.answer.begun() && j.sent+1 < j.route.MaxAttempts
	a.waitingSince.Store(j.relayer.settings.Now().UnixNano())
	a.sent.Store(true)
}

// watchSilence polls for engines whose host has fallen silent: new calls avoid them,
// and calls that wait there move to other engines. The poll interval is constant, so it
// is read without watchedMu.
func (r *Relayer) watchSilence() {
	ticker := time.NewTicker(r.watcher.Interval())
	defer ticker.Stop()
	for {
		select {
		case <-r.root.Done():
			return
		case <-ticker.C:
		}
		now := r.settings.Now()
		until := now.Add(suspectPolls * r.watcher.Interval())
		r.recordBudget()
		for name, service := range r.pollSilent(now) {
			r.settings.Placer.Suspect(service, name, until)
			r.cancelWaiting(now, name)
		}
		r.suspectUnresponsive(now, until)
	}
}

// suspectPolls is the number of poll intervals for which a silent host is avoided:
// until the next poll, which may be late.
const suspectPolls = 2

// pollSilent returns the engines whose companion is silent, with their services, and
// sets the heartbeat paces.
func (r *Relayer) pollSilent(now time.Time) map[string]string {
	enginesWaiting := r.enginesWaiting()
	r.watchedMu.Lock()
	defer r.watchedMu.Unlock()
	for name, c := range r.watched {
		if silence, ok := c.conn.Silence(); ok {
			r.watcher.RecordContact(now.Add(-silence), name)
		}
	}
	found := make(map[string]string)
	for _, name := range r.watcher.Check(now) {
		found[name] = r.watched[name].service
	}
	r.noteNewlySilent(now, found)
	r.setPaces(now, enginesWaiting)
	return found
}

// cancelWaiting cancels attempts at a silent engine, so that their calls move to
// another: those not sent yet, and those sent that may be repeated and have received no
// part of their answer. A stream that has started stays: if it moved and the host
// recovered, two engines would produce it at the same time.
func (r *Relayer) cancelWaiting(now time.Time, name string) {
	r.attemptsMu.Lock()
	defer r.attemptsMu.Unlock()
	for a := range r.attempts[name] {
		if now.Sub(time.Unix(0, a.waitingSince.Load())) <= r.settings.Silence.SilentAfter {
			continue
		}
		if a.sent.Load() && !a.takeMove() {
			continue
		}
		a.cancel(errSilent)
	}
}

// errIncarnationEnded cancels an attempt at a previous incarnation of a backend server.
const errIncarnationEnded = errors.ConstError("the backend server has started another incarnation")

// cancelPreviousIncarnations cancels the attempts at previous incarnations of backend
// servers.
//
// A backend server that crashes behind a network partition and restarts resets no
// connection until the partition heals: calls of its previous incarnation would wait
// until their callers leave, although it is known to have ended. Those that may be
// repeated are retried elsewhere, as after a broken connection.
func (r *Relayer) cancelPreviousIncarnations(v *tracker.View) {
	r.attemptsMu.Lock()
	defer r.attemptsMu.Unlock()
	for name, attempts := range r.attempts {
		m, ok := v.Member(name)
		if !ok {
			// A backend server that has left finishes its calls in progress.
			continue
		}
		for a := range attempts {
			if a.incarnation != m.Spec.Incarnation {
				a.cancel(errIncarnationEnded)
			}
		}
	}
}

// takeMove reports whether a call that was sent may move to another engine, and if so
// reserves it in the retry budget. A call that may not move stays, since the host may
// recover.
func (a *attempt) takeMove() bool {
	if !a.movable || a.started.Load() || a.retryReserved.Load() {
		return false
	}
	r := a.job.relayer
	if !r.budget.reserve(r.settings.BootNow(), a.job.service.Name) {
		return false
	}
	a.retryReserved.Store(true)
	return true
}

// companionUnreachable ends an attempt at an engine whose host is silent: nothing was
// sent.
func (j *job) companionUnreachable(err error) verdict {
	j.logFailure(err, "companion unreachable")
	j.release(placer.OutcomeUnreachable)
	return verdictNotRun
}

// isSilent reports whether an engine's host is known to be silent.
func (r *Relayer) isSilent(name string) bool {
	r.watchedMu.Lock()
	defer r.watchedMu.Unlock()
	return r.watcher.Silent(r.settings.Now(), name)
}
