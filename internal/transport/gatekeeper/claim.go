package gatekeeper

import (
	"context"
	"crypto/sha256"
	"net/http"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/claimer"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/protocol/translator"
	"marigoldpoint.example/marigoldpoint/internal/state/pauser"
	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// claim is the claim of a call that may run only once.
type claim struct {
	machine *claimer.Machine
}

// claimKey has the request run only under a claim of the key.
func (q *request) claimKey(key string, body []byte) {
	h := sha256.New()
	for _, part := range []string{q.dispatch.Method, q.dispatch.Path, q.dispatch.Kind.String(), q.dispatch.Version} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(body)
	q.claim = &claim{machine: claimer.NewMachine(
		claimer.Settings{MaxLife: time.Duration(q.entry.settings.Entry.RequestTimeout) + settleLimit},
		claimer.Identity{Workspace: q.dispatch.Workspace, Key: key, Digest: h.Sum(nil), Holder: q.id},
		q.claimDeadline(),
	)}
}

// claimDeadline is the time until which the claim is tried for. A caller is
// better told to come back than kept waiting for control hosts that are lost.
func (q *request) claimDeadline() time.Time {
	latest := q.entry.settings.Now().Add(claimPatience)
	if q.deadline.Before(latest) {
		return q.deadline
	}
	return latest
}

// acquire has Control commit the claim. It returns true with the fault, or nil
// for an answer given, where the call is not to be run.
func (c *claim) acquire(ctx context.Context, q *request) (*translator.Fault, bool) {
	e := q.entry
	whole := ctx
	ctx, cancel := context.WithTimeout(ctx, claimPatience)
	defer cancel()
	for {
		step := c.propose(ctx, q)
		switch s := step.(type) {
		case claimer.Dispatch:
			q.decided = true
			e.metrics.claims.WithLabelValues("Held").Inc()
			e.settings.Recorder.Record(q.event(recorder.KindClaimed, c.machine.Identity().Key))
			return nil, false
		case claimer.ProposeAgain:
			if !pauser.Pause(ctx, s.Wait) {
				return c.refused(ctx, q, c.machine.Abandon()), true
			}
		case claimer.FetchRetained:
			e.metrics.claims.WithLabelValues("Kept").Inc()
			return q.fetch(whole, s), true
		case claimer.Refuse:
			return c.refused(ctx, q, s), true
		}
	}
}

func (c *claim) propose(ctx context.Context, q *request) claimer.Step {
	e := q.entry
	r, err := e.settings.Control.Propose(ctx, storer.Envelope{
		Time: storer.InstantOf(e.settings.Now()), Command: c.machine.Identity().Command(),
	})
	if err != nil {
		e.settings.Log.Debug().Err(err).Str("Request", q.id).Msg("claim not answered")
		return c.machine.ProposalFailed(e.settings.Now(), certain(err))
	}
	return c.machine.ProposalAnswered(e.settings.Now(), r)
}

// refused returns the truthful answer to a call whose claim was not had.
func (c *claim) refused(ctx context.Context, q *request, s claimer.Refuse) *translator.Fault {
	q.entry.metrics.claims.WithLabelValues(s.Reason.String()).Inc()
	if s.Release {
		q.settle(ctx, c.machine.ReleaseCommand())
	}
	var f *translator.Fault
	switch s.Reason {
	case claimer.ReasonInProgress:
		f = translator.NewFault(http.StatusConflict, translator.CodeKeyInProgress, "a request with this idempotency key is in progress")
		f.Outcome = messenger.OutcomeUnknown
		f.RetryAfter = q.entry.random.jitter(2 * time.Second)
	case claimer.ReasonOutcomeUnknown:
		f = translator.NewFault(http.StatusConflict, translator.CodeKeyUnknown, "a request with this idempotency key may have run; its outcome is not known")
		f.Outcome = messenger.OutcomeUnknown
	case claimer.ReasonKeyReused:
		q.decided = true
		f = translator.NewFault(http.StatusUnprocessableEntity, translator.CodeKeyReused, "the idempotency key belongs to another request")
		f.Param = translator.HeaderIdempotencyKey
	case claimer.ReasonInvalid:
		f = translator.NewFault(http.StatusBadRequest, translator.CodeInvalidRequest, "the idempotency key can't be recorded")
		f.Param = translator.HeaderIdempotencyKey
	default:
		f = translator.NewFault(http.StatusServiceUnavailable, translator.CodeClaimUnavailable, "the request's single run could not be reserved")
		f.RetryAfter = q.entry.random.jitter(2 * time.Second)
	}
	return f
}

// settle records how the call ended.
func (c *claim) settle(ctx context.Context, q *request, fault *translator.Fault) {
	completed := fault == nil
	// A caller that left before the end of a whole answer leaves it kept; what
	// the attempt saw decides, not what the caller got.
	notRun := !completed && fault.Outcome == messenger.OutcomeNotRun
	kept := claimer.RetainedAnswer{Request: q.id, Attempt: q.attempts}
	q.settle(ctx, c.machine.SettleCommand(notRun, completed, q.decision.Backend, kept))
}

// settle proposes the command beside the request until it is accepted. Callers
// don't wait for it: a refusal held back would tell them nothing more. A claim
// that is never settled stays as it was, which is truthful: in progress, and
// unknown after a while.
func (q *request) settle(ctx context.Context, command storer.SettleClaim) {
	e, event := q.entry, q.event(recorder.KindClaimSettled, command.State.String())
	e.beside(ctx, settleLimit, func(ctx context.Context) {
		wait := resumeInitial
		for {
			r, err := e.settings.Control.Propose(ctx, storer.Envelope{Time: storer.InstantOf(e.settings.Now()), Command: command})
			if err == nil {
				event.Detail += ": " + r.Verdict.String()
				e.settings.Recorder.Record(event)
				e.metrics.settles.WithLabelValues(command.State.String()).Inc()
				return
			}
			if !pauser.Pause(ctx, e.random.jitter(wait)) {
				e.settings.Log.Warn().Err(err).Str("Request", q.id).Stringer("State", command.State).Msg("claim not settled")
				e.metrics.settles.WithLabelValues("Lost").Inc()
				return
			}
			wait = min(2*wait, resumeMax)
		}
	})
}

// fetch gives the kept answer of the first run, from the companion that keeps
// it.
func (q *request) fetch(ctx context.Context, s claimer.FetchRetained) *translator.Fault {
	q.entry.members()
	address, life, ok := q.entry.router.Address(s.Backend)
	if !ok {
		return notKept("the backend server that ran it has left")
	}
	a := q.newAttempt(attemptID{s.RetainedAnswer.Request, s.RetainedAnswer.Attempt}, s.Backend, address, life)
	defer a.close()
	a.lostAt = q.entry.settings.Now()
	q.answer = a.answer
	res := a.follow(ctx)
	if res.outcome == messenger.OutcomeCompleted {
		res = a.finish()
	}
	switch {
	case res.outcome == messenger.OutcomeCompleted:
		return nil
	case q.answer.begun:
		return q.fault(res)
	default:
		return notKept(told(res))
	}
}

// notKept is the truthful answer where the first run completed and its answer is
// gone.
func notKept(detail string) *translator.Fault {
	f := translator.NewFault(http.StatusConflict, translator.CodeAnswerNotKept,
		"the request with this idempotency key was completed; its answer is no longer kept: %s", detail)
	f.Outcome = messenger.OutcomeCompleted
	return f
}
