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

// claimKey makes the request run only under a claim of the key.
func (q *request) claimKey(key string, body []byte) {
	h := sha256.New()
	for _, part := range []string{q.dispatch.Method, q.dispatch.Path, q.dispatch.Kind.String(), q.dispatch.Version} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(body)
	q.claim = &claim{machine: claimer.NewMachine(
		claimer.Settings{MaxLife: time.Duration(q.entry.settings.Entry.RequestTimeout) + settleTimeout},
		claimer.Identity{Workspace: q.dispatch.Workspace, Key: key, Digest: h.Sum(nil), Holder: q.id},
		q.claimDeadline(),
	)}
}

// claimDeadline returns when to stop trying to claim. A caller is better refused with a
// time to retry after than kept waiting for control hosts that are lost.
func (q *request) claimDeadline() time.Time {
	latest := q.entry.settings.Now().Add(claimTimeout)
	if q.deadline.Before(latest) {
		return q.deadline
	}
	return latest
}

// acquire proposes the claim to control. It returns true if the call is not to be run:
// with the fault, or with nil if the call was answered.
func (c *claim) acquire(ctx context.Context, q *request) (*translator.Fault, bool) {
	e := q.entry
	whole := ctx
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	for {
		step := c.propose(ctx, q)
		switch s := step.(type) {
		case claimer.Dispatch:
			q.keyDecided = true
			e.metrics.claims.WithLabelValues("Held").Inc()
			e.settings.Recorder.Record(q.event(recorder.KindClaimed, c.machine.Identity().Key))
			return nil, false
		case claimer.ProposeAgain:
			if !pauser.Pause(ctx, s.Wait) {
				return c.refusal(ctx, q, c.machine.Abandon()), true
			}
		case claimer.FetchRetained:
			e.metrics.claims.WithLabelValues("Kept").Inc()
			return q.fetchRetained(whole, s), true
		case claimer.Refuse:
			return c.refusal(ctx, q, s), true
		}
	}
}

func (c *claim) propose(ctx context.Context, q *request) claimer.Step {
	e := q.entry
	r, err := e.settings.Control.Propose(ctx, storer.Envelope{
		Time: storer.InstantOf(e.settings.Now()), Command: c.machine.Identity().Command(),
	})
	if err != nil {
		e.settings.Log.Debug().Err(err).Str("Request", q.id).Msg("claim proposal failed")
		return c.machine.ProposalFailed(e.settings.Now(), certain(err))
	}
	return c.machine.ProposalAnswered(e.settings.Now(), r)
}

// refusal returns the fault for a call whose claim was not obtained.
func (c *claim) refusal(ctx context.Context, q *request, s claimer.Refuse) *translator.Fault {
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
		q.keyDecided = true
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
	// The outcome of the attempt decides, not what the caller received: the complete
	// answer to a caller that left early is retained.
	notRun := !completed && fault.Outcome == messenger.OutcomeNotRun
	retained := claimer.RetainedAnswer{Request: q.id, Attempt: q.attempts}
	q.settle(ctx, c.machine.SettleCommand(notRun, completed, q.decision.Backend, retained))
}

// settle proposes the command in the background until it is accepted. The caller does
// not wait for it, since the result would not change its answer. A claim that is never
// settled stays in progress, and becomes unknown after some time, which is correct.
func (q *request) settle(ctx context.Context, command storer.SettleClaim) {
	e, event := q.entry, q.event(recorder.KindClaimSettled, command.State.String())
	e.runDetached(ctx, settleTimeout, func(ctx context.Context) {
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

// fetchRetained forwards the retained answer of the first run from the companion that
// holds it.
func (q *request) fetchRetained(ctx context.Context, s claimer.FetchRetained) *translator.Fault {
	q.entry.syncMembers()
	address, incarnation, ok := q.entry.router.Address(s.Backend)
	if !ok {
		return notRetained("the backend server that ran it has left")
	}
	a := q.newAttempt(attemptID{s.RetainedAnswer.Request, s.RetainedAnswer.Attempt}, s.Backend, address, incarnation)
	defer a.close()
	a.lostAt = q.entry.settings.Now()
	q.answer = a.answer
	res := a.receiveAll(ctx)
	if res.outcome == messenger.OutcomeCompleted {
		res = a.finish()
	}
	switch {
	case res.outcome == messenger.OutcomeCompleted:
		return nil
	case q.answer.headerSent:
		return q.fault(res)
	default:
		return notRetained(describe(res))
	}
}

// notRetained returns the fault for a call whose first run completed, and whose answer
// is no longer retained.
func notRetained(detail string) *translator.Fault {
	f := translator.NewFault(http.StatusConflict, translator.CodeAnswerNotKept,
		"the request with this idempotency key was completed; its answer is no longer kept: %s", detail)
	f.Outcome = messenger.OutcomeCompleted
	return f
}
