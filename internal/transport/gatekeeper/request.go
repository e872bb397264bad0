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
	"marigoldpoint.example/marigoldpoint/internal/transport/listener"
)

// request is one caller's request and its attempts. The caller's goroutine owns it.
type request struct {
	*exchange
	deadline   time.Time
	idempotent bool
	stream     bool
	call       router.Call
	// dispatch is the template for the dispatch of every attempt.
	dispatch messenger.Dispatch
	// claim is nil for a call that may run again.
	claim *claim

	// answer is the answer of the latest attempt. Only that of the last attempt is ever
	// sent.
	answer *answer
	// decision is the latest decision of the router.
	decision *router.Decision
	attempts int
	// mayHaveRun means that an attempt may have run. It is never reset.
	mayHaveRun bool
	// quotaCost is the amount charged to the workspace's quota, in tokens.
	quotaCost float64
	// queueWait is the time in the queue that the last answer reported; negative if
	// none.
	queueWait time.Duration
}

// serve applies the limits, acquires the claim and makes the attempts.
func (q *request) serve() *translator.Fault {
	e := q.entry
	q.queueWait = -1
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
	defer q.refundQuota()
	if a := e.limiter.Admit(e.settings.Now(), admission); a.Verdict != limiter.VerdictAdmitted {
		return limited(a)
	}
	defer func() { e.limiter.Done(e.settings.Now(), admission, q.queueWait) }()

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

// context returns a context that ends at the deadline and, unless the call is claimed,
// with the caller's connection. A claimed call may run only once, and cancelled halfway
// it could never be answered. It continues, and its caller receives the retained answer
// when it retries with the key.
func (q *request) context() (context.Context, context.CancelFunc) {
	ctx := q.r.Context()
	if q.claim != nil {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithTimeout(ctx, q.deadline.Sub(q.entry.settings.Now()))
}

// limited returns the fault for a call that exceeds the limits.
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

// ended records the end of the request, and returns the fault that is still to be
// written. The answer of a request that was answered in part is aborted instead.
func (q *request) ended(fault *translator.Fault) *translator.Fault {
	e := q.entry
	outcome := messenger.OutcomeCompleted
	if fault != nil {
		q.markUndecided(fault)
		outcome = fault.Outcome
	}
	e.metrics.requests.WithLabelValues(q.dispatch.Workspace, outcome.String()).Inc()
	if fault == nil {
		e.settings.Recorder.Record(q.event(recorder.KindRequestAnswered, ""))
		e.settings.Log.Info().Str("Request", q.id).Str("Workspace", q.dispatch.Workspace).Str("Version", q.dispatch.Version).
			Str("Backend", q.decision.Backend).Int("Attempts", q.attempts).Dur("Took", e.settings.Now().Sub(q.began)).Msg("answered")
		if q.answer.callerGone {
			// A call that may run only once goes on without its caller.
			listener.AbortAnswer(q.w, q.r)
		}
		return nil
	}
	if !q.answer.headerSent {
		return fault
	}
	e.metrics.refusals.WithLabelValues(string(fault.Code)).Inc()
	e.settings.Recorder.Record(q.event(recorder.KindRequestRefused, "cut: "+fault.Error()))
	e.settings.Log.Warn().Str("Request", q.id).Str("Workspace", q.dispatch.Workspace).Str("Code", string(fault.Code)).Msg("answer cut off")
	q.answer.abort(fault)
	return nil
}

func (q *request) event(kind recorder.Kind, detail string) recorder.Event {
	return recorder.Event{
		Kind: kind, Request: q.id, Workspace: q.dispatch.Workspace,
		Backend: q.decision.Backend, Version: q.dispatch.Version, Detail: detail,
	}
}

// run makes attempts until one ends the request. It returns nil if the caller has the
// complete answer.
func (q *request) run(ctx context.Context) *translator.Fault {
	var last result
	for {
		if fault := q.choose(&last); fault != nil {
			return fault
		}
		last = q.attempt(ctx)
		q.mayHaveRun = q.mayHaveRun || last.outcome != messenger.OutcomeNotRun
		if last.outcome == messenger.OutcomeCompleted {
			q.entry.retrier.RecordSuccess(q.entry.settings.Now(), q.call.Pool.Name)
			q.clearSuspect(ctx)
			return nil
		}
		if q.quarantined() != nil {
			return q.fault(last)
		}
		if last.final || !q.awaitRetry(ctx, last) {
			return q.fault(last)
		}
	}
}

// choose selects the backend server of the next attempt.
func (q *request) choose(last *result) *translator.Fault {
	e := q.entry
	e.syncMembers()
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
			e.metrics.coldChoices.Inc()
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

// awaitRetry decides whether to retry after a failed attempt, and waits until the retry
// is due.
func (q *request) awaitRetry(ctx context.Context, last result) bool {
	e := q.entry
	q.call.Avoid = append(q.call.Avoid, q.decision.Backend)
	d := e.retrier.Decide(e.settings.Now(), retrier.Attempt{
		Group: q.call.Pool.Name, Number: q.attempts,
		NotRun: last.outcome == messenger.OutcomeNotRun, Idempotent: q.idempotent, Answered: q.answer.headerSent,
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
