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

// errSilent ends an attempt at an engine whose host has fallen silent.
const errSilent = errors.ConstError("the companion has fallen silent")

// companion is the companion beside one engine, as it was at one moment. It is kept and
// handed out by value: a pointer would let its connection be read after the lock is given
// back, while another is put in its place.
type companion struct {
	service string
	conn    *messenger.Conn
}

// attempt is one call at one engine.
type attempt struct {
	job    *job
	ctx    context.Context
	cancel context.CancelCauseFunc
	// incarnation is the incarnation of the backend server that the call is for.
	incarnation string
	// movable tells that the call may go to another engine after it was handed to this
	// one; it is set before sent.
	movable bool
	// sent tells that the call was handed to the engine.
	sent atomic.Bool
	// began tells that part of the answer has come.
	began atomic.Bool
	// paid tells that another attempt of the call was counted, before this one ended.
	paid atomic.Bool
	// handed is when the attempt began, or the call was handed over, in nanoseconds
	// since 1970.
	handed atomic.Int64
}

// follows counts an attempt at the engine chosen, so that it ends when the engine's
// host falls silent. Its context is the attempt's, and end ends it.
//
// A host that stands still or is cut off answers nothing and resets nothing: what
// waits there waits until the callers leave, some two seconds later, although other
// engines could have taken it at once.
func (r *Relayer) follows(j *job) (a *attempt, ctx context.Context, end func()) {
	ctx, cancel := context.WithCancelCause(j.ctx)
	a = &attempt{job: j, ctx: ctx, cancel: cancel, incarnation: j.choice.Incarnation}
	j.followed = a
	a.handed.Store(j.relayer.settings.Now().UnixNano())
	name := j.choice.Name
	if j.service.Engine != nil {
		r.attend(name)
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
		}
	}
}

// begins notes that the answer begins.
func (a *attempt) begins() { a.began.Store(true) }

// handOver notes that the call is handed to the engine.
func (a *attempt) handOver() {
	j := a.job
	a.movable = j.repeatable() && !j.began && j.sent+1 < j.route.MaxAttempts
	a.handed.Store(j.relayer.settings.Now().UnixNano())
	a.sent.Store(true)
}

// watchSilence looks for engines whose host has fallen silent: new calls pass them
// over, and what waits there goes elsewhere.
// The interval of the polls stays the same, and is read without watchedMu.
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
		for name, service := range r.silent(now) {
			r.settings.Placer.Suspect(service, name, now.Add(suspectPolls*r.watcher.Interval()))
			r.abandon(now, name)
		}
	}
}

// suspectPolls is for how many polls a silent host is passed over: until the next one,
// and that may be late.
const suspectPolls = 2

// silent returns the engines whose companion has fallen silent, with their services.
func (r *Relayer) silent(now time.Time) map[string]string {
	waiting := r.waiting()
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
	r.doubtAll(now, found)
	r.attendThose(now, waiting)
	return found
}

// abandon ends the attempts at an engine that go on nowhere, so that their calls go to
// another: those not handed over yet, and of the others those that may be repeated and
// have had no part of their answer. A stream that has begun stays: its engine would go
// on with it when the host wakes, beside the one that has taken it over.
func (r *Relayer) abandon(now time.Time, name string) {
	r.attemptsMu.Lock()
	defer r.attemptsMu.Unlock()
	for a := range r.attempts[name] {
		if now.Sub(time.Unix(0, a.handed.Load())) <= r.settings.Silence.SilentAfter {
			continue
		}
		if a.sent.Load() && !a.mayMove(now) {
			continue
		}
		a.cancel(errSilent)
	}
}

// errEnded ends an attempt at a backend server that has begun another incarnation.
const errEnded = errors.ConstError("the backend server has begun another life")

// endFormer ends the attempts at previous incarnations of backend servers.
//
// One that crashes behind a cut and starts again resets nothing until the cut heals:
// calls of its previous incarnation would wait until their callers leave, though it is known to
// have ended. Those that may be repeated go on elsewhere, as after a broken connection.
func (r *Relayer) endFormer(v *tracker.View) {
	r.attemptsMu.Lock()
	defer r.attemptsMu.Unlock()
	for name, attempts := range r.attempts {
		m, ok := v.Member(name)
		if !ok {
			// One that has left goes on with what it runs.
			continue
		}
		for a := range attempts {
			if a.incarnation != m.Spec.Incarnation {
				a.cancel(errEnded)
			}
		}
	}
}

// mayMove reports whether a call that was handed over may go to another engine, and
// draws on the retry budget for it. One that may not is better left where it is, since
// the host may wake.
func (a *attempt) mayMove(now time.Time) bool {
	if !a.movable || a.began.Load() || a.paid.Load() || !a.job.relayer.budget.take(now, a.job.service.Name) {
		return false
	}
	a.paid.Store(true)
	return true
}

// unreached ends an attempt at an engine whose host is silent: nothing was sent.
func (j *job) unreached(err error) verdict {
	j.note(err, "companion unreached")
	j.release(placer.OutcomeUnreachable)
	return verdictNotRun
}

// isSilent reports whether the host of an engine is known to be silent.
func (r *Relayer) isSilent(name string) bool {
	r.watchedMu.Lock()
	defer r.watchedMu.Unlock()
	return r.watcher.Silent(r.settings.Now(), name)
}
