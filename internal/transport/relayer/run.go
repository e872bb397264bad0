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

// verdict is the conclusion from one attempt.
type verdict int

const (
	// verdictAnswered means that the call is finished: the caller has the complete
	// answer or has left, or the answer broke after a part of it was forwarded.
	verdictAnswered verdict = iota
	// verdictNotRun means that the backend server did not run the call.
	verdictNotRun
	// verdictUnknown means that the backend server may have run the call.
	verdictUnknown
	// verdictFailed means that the call ran and failed; the failed answer is kept.
	verdictFailed
	// verdictAborted means that the caller has left or the deadline has passed.
	verdictAborted
	// verdictRejected means that the call may not be sent any more.
	verdictRejected
)

const (
	// maxServersPerCall limits the backend servers tried for one call, including those
	// that refused it unread.
	maxServersPerCall = 6
	// holdPause is the wait before a call that no backend server accepted is offered
	// again, and between two checks for a trusted configuration after a start.
	holdPause = 100 * time.Millisecond
	// busyPause is the wait before a call is offered again when all backend servers are
	// at their limit: a third of a short call.
	busyPause = 10 * time.Millisecond
	// holdShare is the share of a call's time for which it may be held. A caller
	// retries only once: a call refused in the second in which engines or the
	// configuration return would be lost. The rest of the time is left for the run, or
	// for the caller's retry.
	holdShare = 0.4
)

// repeatable reports whether the call may run more than once.
func (j *job) repeatable() bool { return j.route.Repeat == tracker.RepeatFreely || j.route.Resumable }

// run makes attempts until the call is answered.
func (j *job) run() {
	for try := 0; ; try++ {
		if j.ctx.Err() != nil {
			j.answerAborted()
			return
		}
		if j.refuseStopping() {
			return
		}
		if whole, is := j.quarantined(); is {
			j.refuseQuarantined(whole)
			return
		}
		if j.refuseOverloaded() {
			return
		}
		err := j.choose()
		if try >= maxServersPerCall && err == nil {
			j.release(placer.OutcomeCanceled)
			err = errTriedAll
		}
		if err != nil {
			if !j.awaitServer(err) {
				return
			}
			if !errors.Is(err, placer.ErrResting) {
				try = 0
			}
			continue
		}
		if !j.allowAttempt() {
			j.answerExhausted("no attempt or retry budget left")
			return
		}
		v := j.attempt()
		j.trial = j.trial && v == verdictNotRun
		if !j.handleResult(v) {
			return
		}
	}
}

// awaitServer waits after no backend server could be chosen, and reports whether the call is to
// be offered again. If not, the call has been answered.
func (j *job) awaitServer(err error) bool {
	switch {
	case errors.Is(err, placer.ErrLimited):
		j.refuseLimited()
		return false
	case errors.Is(err, placer.ErrResting):
		if !j.awaitRest() {
			j.refuseResting()
			return false
		}
		return true
	case errors.Is(err, errTriedAll) && j.overloadRefusals >= maxOverloadRefusals:
		j.answerOverloaded(overloadRefused, placer.Outlook{})
		return false
	case !j.holdForRetry(err):
		j.answerExhausted(err.Error())
		return false
	}
	return true
}

// handleResult handles the verdict of one attempt, and reports whether another attempt
// is to be made. If not, the call has been answered.
func (j *job) handleResult(v verdict) bool {
	j.ran = j.ran || v != verdictNotRun && v != verdictRejected
	switch v {
	case verdictRejected:
		j.refuseRejected(j.rejection)
		return false
	case verdictAnswered:
		return false
	case verdictAborted:
		j.answerAborted()
		return false
	case verdictNotRun:
		if j.resumeFrom != "" && !j.route.Resumable {
			j.answerExhausted("no copy of the request's memory was left")
			return false
		}
		j.resumeFrom = ""
	case verdictUnknown, verdictFailed:
		j.mayHaveRun = true
		if j.answer.begun() {
			return j.continueStream(v)
		}
		if !j.repeatable() {
			j.answerExhausted("the backend server gave no answer, or failed")
			return false
		}
	}
	j.avoid = append(j.avoid, j.choice.Name)
	return true
}

// errTriedAll means that maxServersPerCall backend servers refused the call.
const errTriedAll = errors.ConstError("tried all that may take it")

// choose selects a backend server: for a resumed call, the one that holds its KV cache.
func (j *job) choose() error {
	r := j.relayer
	c := j.placerCall()
	if j.resumeFrom != "" {
		return r.settings.Placer.ChooseNamed(r.settings.Now(), c, j.resumeAt, &j.choice)
	}
	return r.settings.Placer.Choose(r.settings.Now(), c, &j.choice)
}

// holdForRetry waits, and reports whether a call that no backend server accepted is to
// be offered again. Unless all servers were busy, servers that were tried before are
// included again.
func (j *job) holdForRetry(cause error) bool {
	if j.answer.begun() || !j.mayHold() {
		return false
	}
	if j.software != "" && !j.relayer.settings.Placer.ServesSoftware(j.service.Name, j.software) {
		return false
	}
	if errors.Is(cause, placer.ErrBusy) {
		return j.awaitBusy()
	}
	if j.sent > 0 || j.mayHaveRun || !pauser.Pause(j.ctx, holdPause) {
		return false
	}
	j.avoid = nil
	if j.returns > 0 {
		// There is no other backend server that could be faster.
		j.returns = maxReturns
	}
	return true
}

// mayHold reports whether the call is still within the share of its time for which it
// may be held.
func (j *job) mayHold() bool {
	return float64(j.relayer.settings.Now().Sub(j.arrived)) < holdShare*float64(j.deadline.Sub(j.arrived))
}

// placerCall returns the properties of the call by which the placer chooses.
func (j *job) placerCall() *placer.Call {
	c := &placer.Call{Service: j.service.Name, Avoid: j.avoided(), Slack: j.untilTarget(), MaxWait: j.maxWait(), Software: j.software, AvoidLimited: j.limitRefusals >= maxLimitRefusals}
	if j.service.Engine == nil {
		c.Late = j.route.Target > 0 && j.relayer.settings.Now().Sub(j.arrived) > j.route.Target/2
		return c
	}
	c.Mixed = j.mixed()
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

// attempt has the call admitted, and sends it to the chosen backend server.
func (j *job) attempt() verdict {
	r := j.relayer
	a := Attempt{Workspace: j.workspaceName(), Incarnation: j.choice.Incarnation, Urgency: -1, LastEvent: j.lastEvent, ResumeFrom: j.resumeFrom}
	current, ctx, end := r.trackAttempt(j)
	defer end()
	j.counted = false
	j.recordPromptChoice()
	j.recordGroup()
	if j.service.Engine != nil {
		admitted, release, err := j.admit(ctx)
		switch {
		case errors.Is(err, errSilent):
			return j.companionUnreachable(err)
		case err != nil:
			j.release(placer.OutcomeNotRun)
			return verdictNotRun
		}
		defer release()
		if !j.stillServes() {
			// The backend server may have started to leave during the wait. It must not
			// receive new calls then, although it would still accept them.
			j.release(placer.OutcomeNotRun)
			return verdictNotRun
		}
		if !j.recordAdapter(admitted.Version) {
			j.release(placer.OutcomeNotRun)
			return verdictNotRun
		}
		a.Version = admitted.Version
		switch {
		case j.call.Adapter != "":
		case j.resumeFrom != "":
			a.Version = j.weights
		default:
			a.Version = 0
		}
		a.Urgency = placer.Urgency(j.priority(), j.slack())
	}
	if j.choice.Limit.Named && !j.counted {
		if v, ok := j.awaitTurn(ctx); !ok {
			return v
		}
	}
	if _, quarantined := j.quarantined(); quarantined || j.outlastsStop() {
		// Either may have begun while the request waited for admission.
		j.release(placer.OutcomeCanceled)
		return verdictNotRun
	}
	if j.rejection = j.checkKey(); j.rejection != nil {
		j.release(placer.OutcomeCanceled)
		return verdictRejected
	}
	a.Backup = j.chooseBackup()
	a.FetchFrom = j.fetchFrom()
	if !r.settings.Placer.Accepts(r.settings.Now(), &j.choice) || !j.commitRetry() {
		// The backend server may have asked for rest, or begun to leave, while the request
		// waited.
		j.release(placer.OutcomeCanceled)
		return verdictNotRun
	}
	current.markSent()
	return j.send(ctx, a, current)
}

// slack returns the time left until the route's target time, minus the expected time to
// read the prompt.
func (j *job) slack() time.Duration {
	return j.route.Target - j.relayer.settings.Now().Sub(j.arrived) - j.choice.Read
}

// stillServes reports whether the chosen backend server still accepts new calls.
func (j *job) stillServes() bool {
	m, ok := j.relayer.settings.View().Member(j.choice.Name)
	return ok && m.Spec.Incarnation == j.choice.Incarnation && m.Spec.State == storer.MemberStateServing
}

// release finishes the choice at the placer.
func (j *job) release(e placer.Outcome) {
	j.relayer.settings.Placer.Finish(j.relayer.settings.Now(), &j.choice, e)
}

// admit asks the companion to make the adapter ready, and returns a function that
// releases the admission. If no companion runs on the engine's host, the call is sent
// to the engine without admission, since the engine refuses adapters that it does not
// hold. If the host does not answer, the error is errSilent.
func (j *job) admit(attempt context.Context) (messenger.Admitted, func(), error) {
	r := j.relayer
	began := r.settings.Now()
	m, ok := r.settings.View().Member(j.choice.Name)
	if !ok {
		return messenger.Admitted{}, nil, errors.New("the backend server has left")
	}
	wait := min(r.settings.AdmitTimeout, j.timeLeft(began))
	params := j.admission(wait)
	ctx, cancel := context.WithTimeout(attempt, wait+admitMargin)
	defer cancel()
	conn, err := r.settings.Companions.Conn(ctx, r.settings.CompanionAddress(m))
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		r.metrics.unattended.Inc()
		return messenger.Admitted{Version: params.Version}, func() {}, nil
	case err != nil:
		return messenger.Admitted{}, nil, errors.WithType(err, errSilent)
	}
	var admitted messenger.Admitted
	err = conn.Call(ctx, messenger.MethodAdmit, params, &admitted)
	j.waited += r.settings.Now().Sub(began)
	release := func() {
		// A companion that has ended no longer holds the admission.
		_ = conn.Notify(r.root, messenger.MethodRelease, messenger.Release{Request: params.Request})
	}
	var refusal *messenger.Refusal
	switch {
	case err == nil:
		j.counted = true
		return admitted, release, nil
	case errors.As(err, &refusal) && refusal.Reason == messenger.ReasonMisled:
		j.recordReturn(refusal)
		r.settings.Placer.CorrectWait(r.settings.Now(), &j.choice, refusal.RetryAfter())
		return messenger.Admitted{}, nil, err
	case errors.As(err, &refusal):
		if refusal.Reason == messenger.ReasonLimited {
			j.limitRefusals++
			r.settings.Placer.PostponeTurn(r.settings.Now(), &j.choice, refusal.RetryAfter())
		}
		j.recordOverload(refusal)
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
	return messenger.Admitted{Version: params.Version}, func() {}, nil
}

// admitMargin is the time for a companion's refusal at the end of the wait to arrive.
const admitMargin = 100 * time.Millisecond

// answerAborted answers a call whose deadline has passed or that a planned stop has ended, or logs that
// its caller has left.
func (j *job) answerAborted() {
	switch {
	case j.request.Context().Err() != nil:
		j.logLeft()
	case errors.Is(context.Cause(j.ctx), errStopping) && j.sent == 0:
		_ = j.refuse(http.StatusServiceUnavailable, reasonStopping, retryElsewhereDelay)
	case j.failed != nil && !j.answer.begun():
		j.answerFailed()
	case j.sent > 0:
		_ = j.refuse(http.StatusGatewayTimeout, "no answer in time", 0)
	default:
		_ = j.refuse(http.StatusServiceUnavailable, "not run in time", j.relayer.settings.RetryAfter)
	}
}

// answerExhausted answers a call that no further backend server may try.
func (j *job) answerExhausted(reason string) {
	switch {
	case j.failed != nil && !j.answer.begun():
		j.answerFailed()
	case j.mayHaveRun || j.answer.begun():
		_ = j.refuse(http.StatusBadGateway, reason, 0)
	default:
		_ = j.refuse(http.StatusServiceUnavailable, reason, j.relayer.settings.RetryAfter)
	}
}

// answerFailed forwards the answer of a backend server that failed.
func (j *job) answerFailed() {
	j.sendWhole(outcomeAnswered, *j.failed, "the backend server's failure")
}
