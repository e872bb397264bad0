package relayer

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/pauser"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

// verdict tells what became of one attempt.
type verdict int

const (
	// verdictAnswered means that the caller has its answer, whole.
	verdictAnswered verdict = iota
	// verdictNotRun means that the backend server did not run the call.
	verdictNotRun
	// verdictUnknown means that it may have.
	verdictUnknown
	// verdictFailed means that it ran and failed; the answer is kept.
	verdictFailed
	// verdictEnded means that the caller or the time is gone.
	verdictEnded
	// verdictBarred means that the call may not be handed over any more.
	verdictBarred
)

const (
	// maxTries bounds the backend servers that are asked for one call, those
	// included that refused it unread.
	maxTries = 6
	// holdPause is the wait before a call that nobody could take is offered again,
	// and before what a process that has just started knows is read again.
	holdPause = 100 * time.Millisecond
	// busyPause is the wait before a call is offered again to backend servers that have
	// as many as they are to have: a third of a short call.
	busyPause = 10 * time.Millisecond
	// holdShare is the part of a call's time for which it is held so. A caller comes
	// back once only: refused in the second in which engines or configuration
	// return, it would be lost. The rest is for its run, or for its coming back.
	holdShare = 0.4
)

// repeatable reports whether the call may run again.
func (j *job) repeatable() bool { return j.route.Repeat == tracker.RepeatFreely || j.route.Resumable }

// run tries backend servers until the call is answered.
func (j *job) run() {
	for try := 0; ; try++ {
		if j.ctx.Err() != nil {
			j.giveUp()
			return
		}
		if whole, is := j.quarantined(); is {
			j.refuseQuarantined(whole)
			return
		}
		err := j.choose()
		if try >= maxTries && err == nil {
			j.release(placer.EndingGivenUp)
			err = errTriedAll
		}
		if err != nil {
			if !j.hold(err) {
				j.exhausted(err.Error())
				return
			}
			try = 0
			continue
		}
		if !j.allowAttempt() {
			j.exhausted("no attempt or retry budget left")
			return
		}
		if !j.handleResult(j.attempt()) {
			return
		}
	}
}

// handleResult draws the conclusion from one attempt, and reports whether there is to be
// another. If not, the call is answered.
func (j *job) handleResult(v verdict) bool {
	j.ran = j.ran || v != verdictNotRun && v != verdictBarred
	switch v {
	case verdictBarred:
		j.refuseBarred(j.bar)
		return false
	case verdictAnswered:
		return false
	case verdictEnded:
		j.giveUp()
		return false
	case verdictNotRun:
		if j.from != "" && !j.repeatable() {
			j.exhausted("no copy of the request's memory was left")
			return false
		}
		j.from = ""
	case verdictUnknown, verdictFailed:
		if j.mayHaveRun = true; v == verdictUnknown && j.resume() {
			return true
		}
		if !j.repeatable() {
			j.exhausted("the backend server gave no answer, or failed")
			return false
		}
	}
	j.avoid = append(j.avoid, j.choice.Name)
	return true
}

// allowAttempt reports whether the call may be handed to one more backend server.
func (j *job) allowAttempt() bool {
	if j.arrivals == 0 {
		return true
	}
	paid := j.paid
	j.paid = false
	if j.from == "" && j.sent >= max(1, j.route.MaxAttempts) || !paid && !j.relayer.budget.take(j.relayer.settings.Now(), j.service.Name) {
		j.release(placer.EndingGivenUp)
		return false
	}
	return true
}

// errTriedAll tells that as many backend servers refused the call as may be asked.
const errTriedAll = errors.ConstError("tried all that may take it")

// choose picks a backend server.
func (j *job) choose() error {
	r := j.relayer
	c := j.wanted()
	if j.from != "" {
		return r.settings.Placer.Take(r.settings.Now(), c, j.backup.Name, &j.choice)
	}
	return r.settings.Placer.Choose(r.settings.Now(), c, &j.choice)
}

// hold waits a moment and reports whether a call that nobody has taken is to be
// offered once more: to all again, but for one that only waits its turn.
func (j *job) hold(cause error) bool {
	if j.began || !j.mayHold() {
		return false
	}
	if errors.Is(cause, placer.ErrBusy) {
		return pauser.Pause(j.ctx, busyPause)
	}
	if j.sent > 0 || j.mayHaveRun || !pauser.Pause(j.ctx, holdPause) {
		return false
	}
	j.avoid = nil
	return true
}

// mayHold reports whether the part of the call's time is left for which it may be
// held.
func (j *job) mayHold() bool {
	return float64(j.relayer.settings.Now().Sub(j.arrived)) < holdShare*float64(j.deadline.Sub(j.arrived))
}

// wanted returns the call as the placer sees it.
func (j *job) wanted() *placer.Call {
	c := &placer.Call{Service: j.service.Name, Avoid: j.avoid}
	if j.service.Engine == nil {
		c.Late = j.route.Target > 0 && j.relayer.settings.Now().Sub(j.arrived) > j.route.Target/2
		return c
	}
	c.Model, c.Adapter, c.Tokens = j.call.Model, j.call.Adapter, j.call.PromptTokens
	if c.Adapter != "" {
		c.Version = j.relayer.settings.View().Newest(c.Model + "/" + c.Adapter)
	}
	before := uint32(0)
	for _, p := range j.call.Parts {
		before = placer.PartHash(c.Model, c.Adapter, c.Version, before, p.ID)
		c.Parts = append(c.Parts, before)
		c.PartTokens = append(c.PartTokens, p.Tokens)
	}
	return c
}

// attempt has the call admitted, and hands it to the backend server chosen.
func (j *job) attempt() verdict {
	r := j.relayer
	a := Attempt{Workspace: j.workspaceName(), Incarnation: j.choice.Incarnation, Urgency: -1, LastEvent: j.lastEvent, ResumeFrom: j.from}
	followed, ctx, end := r.follows(j)
	defer end()
	if j.service.Engine != nil {
		admitted, release, err := j.admit(ctx)
		switch {
		case errors.Is(err, errSilent):
			return j.unreached(err)
		case err != nil:
			j.release(placer.EndingRefused)
			return verdictNotRun
		}
		defer release()
		if !j.stillServes() {
			// The wait was long enough for the backend server to begin to leave: it
			// must get nothing new, although it would still take it.
			j.release(placer.EndingRefused)
			return verdictNotRun
		}
		if a.Version = admitted.Version; j.call.Adapter == "" {
			a.Version = 0
		}
		a.Urgency = placer.Urgency(j.priority(), j.slack())
	}
	if _, is := j.quarantined(); is {
		// It ended another backend server while it waited here.
		j.release(placer.EndingGivenUp)
		return verdictNotRun
	}
	if j.bar = j.barred(); j.bar != nil {
		j.release(placer.EndingGivenUp)
		return verdictBarred
	}
	a.Backup = j.chooseBackup()
	a.TimeLeft = j.deadline.Sub(r.settings.Now())
	followed.handOver()
	v := j.send(ctx, a, followed)
	j.paid = followed.paid.Load()
	return v
}

// slack returns the time left of the call's target beyond the reading of its prompt.
func (j *job) slack() time.Duration {
	return j.route.Target - j.relayer.settings.Now().Sub(j.arrived) - j.choice.Read
}

// stillServes reports whether the backend server chosen takes new calls.
func (j *job) stillServes() bool {
	m, ok := j.relayer.settings.View().Member(j.choice.Name)
	return ok && m.Spec.Incarnation == j.choice.Incarnation && m.Spec.State == storer.MemberStateServing
}

// release ends the choice.
func (j *job) release(e placer.Ending) {
	j.relayer.settings.Placer.Finish(j.relayer.settings.Now(), &j.choice, e)
}

// admit asks the companion to have the adapter ready. Where there is no companion on
// the engine's host, the call goes to the engine all the same, which refuses what it
// does not hold; where the host does not answer, the error is errSilent.
func (j *job) admit(attempt context.Context) (messenger.Admitted, func(), error) {
	r := j.relayer
	began := r.settings.Now()
	m, ok := r.settings.View().Member(j.choice.Name)
	if !ok {
		return messenger.Admitted{}, nil, errors.New("the backend server has left")
	}
	wait := min(r.settings.AdmitTimeout, j.deadline.Sub(began))
	ask := j.admission(wait)
	ctx, cancel := context.WithTimeout(attempt, wait+admitMargin)
	defer cancel()
	conn, err := r.settings.Companions.Conn(ctx, r.settings.CompanionAddress(m))
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		r.metrics.unattended.Inc()
		return messenger.Admitted{Version: ask.Version}, func() {}, nil
	case err != nil:
		return messenger.Admitted{}, nil, errors.WithType(err, errSilent)
	}
	var admitted messenger.Admitted
	err = conn.Call(ctx, messenger.MethodAdmit, ask, &admitted)
	j.waited += r.settings.Now().Sub(began)
	release := func() {
		// A companion that is gone has forgotten the admission by itself.
		_ = conn.Notify(r.root, messenger.MethodRelease, messenger.Release{Request: ask.Request})
	}
	var refusal *messenger.Refusal
	switch {
	case err == nil:
		return admitted, release, nil
	case errors.As(err, &refusal) && refusal.Reason == messenger.ReasonMisled:
		j.sentBack = true
		r.settings.Placer.Corrected(r.settings.Now(), &j.choice, refusal.RetryAfter())
		return messenger.Admitted{}, nil, err
	case errors.As(err, &refusal):
		r.settings.Log.Info().Str("Request", j.call.ID).Str("Backend", j.choice.Name).Str("Reason", refusal.Detail).
			Dur("Waited", r.settings.Now().Sub(began)).Msg("not admitted")
		return messenger.Admitted{}, nil, err
	}
	release()
	switch {
	case errors.Is(context.Cause(attempt), errSilent), r.isSilent(m.Name):
		return messenger.Admitted{}, nil, errSilent
	case j.ctx.Err() != nil, errors.Is(context.Cause(attempt), errQuarantined):
		return messenger.Admitted{}, nil, err
	}
	r.settings.Log.Info().Err(err).Str("Request", j.call.ID).Str("Backend", j.choice.Name).Msg("companion lost")
	return messenger.Admitted{Version: ask.Version}, func() {}, nil
}

// admission returns what the companion is asked.
func (j *job) admission(wait time.Duration) messenger.Admit {
	ask := messenger.Admit{
		Request: j.call.ID, Incarnation: j.choice.Incarnation,
		Model: j.call.Model, Adapter: j.call.Adapter,
		Parts: j.call.Parts, Tokens: j.call.PromptTokens, WaitMillis: wait.Milliseconds(),
		SlackMillis: max(0, j.slack().Milliseconds()),
		Movable:     !j.sentBack && j.from == "", ExpectedMillis: (j.choice.Load + j.choice.Backlog).Milliseconds(),
	}
	if ask.Adapter != "" {
		ask.Version = j.relayer.settings.View().Newest(ask.Model + "/" + ask.Adapter)
	}
	return ask
}

// admitMargin is the time that a companion's own refusal at the end of the wait
// needs on its way.
const admitMargin = 100 * time.Millisecond

// giveUp answers a call whose time is over, or whose caller has left.
func (j *job) giveUp() {
	switch {
	case j.request.Context().Err() != nil:
		j.log("left", 0, "the caller has left")
	case j.failed != nil:
		j.giveKept()
	case j.sent > 0:
		_ = j.refuse(http.StatusGatewayTimeout, "no answer in time", 0)
	default:
		_ = j.refuse(http.StatusServiceUnavailable, "not run in time", j.relayer.settings.RetryAfter)
	}
}

// exhausted answers a call that no backend server is left for.
func (j *job) exhausted(reason string) {
	switch {
	case j.failed != nil && !j.began:
		j.giveKept()
	case j.mayHaveRun || j.began:
		_ = j.refuse(http.StatusBadGateway, reason, 0)
	default:
		_ = j.refuse(http.StatusServiceUnavailable, reason, j.relayer.settings.RetryAfter)
	}
}

// giveKept passes a backend server's own failure on.
func (j *job) giveKept() {
	j.began = true
	h := j.writer.Header()
	for k, v := range j.failed.header {
		h[k] = v
	}
	j.writer.WriteHeader(j.failed.status)
	// A caller that has gone needs no answer.
	_, _ = j.writer.Write(j.failed.body)
	j.log(outcomeAnswered, j.failed.status, "the backend server's failure")
}
