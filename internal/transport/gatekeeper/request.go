package gatekeeper

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/limiter"
	"marigoldpoint.example/marigoldpoint/internal/coordination/retrier"
	"marigoldpoint.example/marigoldpoint/internal/coordination/router"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/protocol/translator"
	"marigoldpoint.example/marigoldpoint/internal/state/pauser"
	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
)

// request is one caller's request on its way through attempts. Its caller's
// goroutine owns it.
type request struct {
	*exchange
	deadline   time.Time
	idempotent bool
	stream     bool
	call       router.Call
	// dispatch is the template of every attempt's.
	dispatch messenger.Dispatch
	// claim is nil for a call that may be run again.
	claim *claim

	// answer is the latest attempt's. It has begun only if it is the last one.
	answer *answer
	// decision is the latest choice.
	decision *router.Decision
	attempts int
	// ran tells that an attempt may have run. It never goes back to false.
	ran bool
	// paidFor is what the call was charged, in tokens of its workspace's quota.
	paidFor float64
	// wait is the queue wait that the last answer told; negative for none.
	wait time.Duration
}

// serve takes the request through the limits, the claim and the attempts.
func (q *request) serve() *translator.Fault {
	e := q.entry
	q.wait = -1
	if fault := q.quarantined(); fault != nil {
		return fault
	}
	workspace, _ := e.settings.Index.Workspace(q.dispatch.Workspace)
	q.dispatch.Share = workspace.Share
	admission := limiter.Call{
		Workspace: q.dispatch.Workspace, Share: workspace.Share,
		MaxInFlight: workspace.MaxInFlight, Tokens: q.dispatch.Tokens,
	}
	if fault := q.charge(workspace); fault != nil {
		return fault
	}
	defer q.giveBack()
	if a := e.limiter.Admit(e.settings.Now(), admission); a.Verdict != limiter.VerdictAdmitted {
		return limited(a)
	}
	defer func() { e.limiter.Done(e.settings.Now(), admission, q.wait) }()

	ctx, cancel := q.context()
	defer cancel()
	q.answer, q.decision = newAnswer(q), &router.Decision{}
	if q.claim != nil {
		if fault, done := q.claim.acquire(ctx, q); done {
			return q.ended(fault)
		}
	}
	fault := q.run(ctx)
	if q.claim != nil {
		q.claim.settle(ctx, q, fault)
	}
	return q.ended(fault)
}

// context returns a context that ends at the deadline, and with the caller's
// connection unless the call is claimed: cancelled half-way, a call that may run
// only once could never be answered. It goes on, and its caller finds the answer
// kept when it comes back with the key.
func (q *request) context() (context.Context, context.CancelFunc) {
	ctx := q.r.Context()
	if q.claim != nil {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithTimeout(ctx, q.deadline.Sub(q.entry.settings.Now()))
}

// limited is the refusal of a call over the limits. It is given at once.
func limited(a limiter.Answer) *translator.Fault {
	var f *translator.Fault
	switch a.Verdict {
	case limiter.VerdictWorkspaceLimit:
		f = translator.NewFault(http.StatusTooManyRequests, translator.CodeWorkspaceLimit, "the workspace has as many requests in progress as it may")
	case limiter.VerdictOverShare:
		f = translator.NewFault(http.StatusTooManyRequests, translator.CodeOverShare, "the workspace is over its share while others are busy")
	default:
		f = translator.NewFault(http.StatusServiceUnavailable, translator.CodeEntryLimit, "this entry has as many requests in progress as it may")
	}
	f.RetryAfter = a.RetryAfter
	return f
}

// ended records the request's end, and returns the fault that is still to be
// written. A request that was answered in part ends in the answer's own way.
func (q *request) ended(fault *translator.Fault) *translator.Fault {
	e := q.entry
	outcome := messenger.OutcomeCompleted
	if fault != nil {
		q.undecide(fault)
		outcome = fault.Outcome
	}
	e.metrics.requests.WithLabelValues(q.dispatch.Workspace, outcome.String()).Inc()
	if fault == nil {
		e.settings.Recorder.Record(q.event(recorder.KindRequestAnswered, ""))
		e.settings.Log.Info().Str("Request", q.id).Str("Workspace", q.dispatch.Workspace).Str("Version", q.dispatch.Version).
			Str("Backend", q.decision.Backend).Int("Attempts", q.attempts).Dur("Took", e.settings.Now().Sub(q.began)).Msg("answered")
		return nil
	}
	if !q.answer.begun {
		return fault
	}
	e.metrics.refusals.WithLabelValues(string(fault.Code)).Inc()
	e.settings.Recorder.Record(q.event(recorder.KindRequestRefused, "cut: "+fault.Error()))
	e.settings.Log.Warn().Str("Request", q.id).Str("Workspace", q.dispatch.Workspace).Str("Code", string(fault.Code)).Msg("answer cut off")
	q.answer.cut(fault)
	return nil
}

func (q *request) event(kind recorder.Kind, detail string) recorder.Event {
	return recorder.Event{
		Kind: kind, Request: q.id, Workspace: q.dispatch.Workspace,
		Backend: q.decision.Backend, Version: q.dispatch.Version, Detail: detail,
	}
}

// run makes attempts until one ends the request. It returns nil when the caller
// has the whole answer.
func (q *request) run(ctx context.Context) *translator.Fault {
	var last result
	for {
		if fault := q.choose(&last); fault != nil {
			return fault
		}
		last = q.attempt(ctx)
		q.ran = q.ran || last.outcome != messenger.OutcomeNotRun
		if last.outcome == messenger.OutcomeCompleted {
			q.entry.retrier.RecordSuccess(q.entry.settings.Now(), q.call.Pool.Name)
			q.survived(ctx)
			return nil
		}
		if q.quarantined() != nil {
			return q.fault(last)
		}
		if last.final || !q.again(ctx, last) {
			return q.fault(last)
		}
	}
}

// choose picks the backend server of the next attempt.
func (q *request) choose(last *result) *translator.Fault {
	e := q.entry
	e.members()
	q.decision = &router.Decision{}
	began := time.Now()
	err := e.router.Choose(e.settings.Now(), &q.call, q.decision)
	if errors.Is(err, router.ErrNoneAvailable) && len(q.call.Avoid) > 0 {
		q.call.Avoid = q.call.Avoid[:0]
		err = e.router.Choose(e.settings.Now(), &q.call, q.decision)
	}
	e.metrics.choices.Observe(time.Since(began).Seconds())
	event := q.event(recorder.KindRouted, "")
	event.Choices = q.decision.Choices()
	if err == nil {
		if q.decision.Cold {
			e.metrics.cold.Inc()
		}
		event.Detail = fmt.Sprintf("spread %d, cold %t", q.decision.Spread, q.decision.Cold)
		e.settings.Recorder.Record(event)
		return nil
	}
	event.Detail = err.Error()
	e.settings.Recorder.Record(event)
	if q.attempts > 0 {
		return q.fault(*last)
	}
	f := translator.NewFault(http.StatusServiceUnavailable, translator.CodeNoBackend, "%s", err.Error())
	f.RetryAfter = e.random.jitter(2 * time.Second)
	return f
}

// again decides on another attempt after a failed one, and waits for its time.
func (q *request) again(ctx context.Context, last result) bool {
	e := q.entry
	q.call.Avoid = append(q.call.Avoid, q.decision.Backend)
	d := e.retrier.Decide(e.settings.Now(), retrier.Attempt{
		Group: q.call.Pool.Name, Number: q.attempts,
		NotRun: last.outcome == messenger.OutcomeNotRun, Idempotent: q.idempotent, Answered: q.answer.begun,
		RetryAfter: last.retryAfter, NoAlternative: e.router.Size(q.call.Pool) <= len(q.call.Avoid), Deadline: q.deadline,
	})
	e.metrics.retries.WithLabelValues(d.Verdict.String()).Inc()
	event := q.event(recorder.KindRetried, fmt.Sprintf("%s after %s %s, wait %s", d.Verdict, last.outcome, last.reason, d.Wait))
	e.settings.Recorder.Record(event)
	if d.Verdict != retrier.VerdictRetry {
		return false
	}
	return pauser.Pause(ctx, d.Wait)
}
