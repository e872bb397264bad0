package gatekeeper

import (
	"context"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/retrier"
	"marigoldpoint.example/marigoldpoint/internal/coordination/router"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
)

// attempt makes one attempt at the chosen backend server, or two if the operators allow
// hedging, and sends the caller the answer that completes first.
func (q *request) attempt(ctx context.Context) result {
	a := q.startAttempt(q.decision)
	q.answer = a.answer
	var res result
	if after := q.entry.retrier.HedgeAfter(); after > 0 && q.idempotent && !q.stream {
		a, res = q.race(ctx, a, after)
		q.answer, q.decision = a.answer, a.decision
	} else {
		res = a.run(ctx)
	}
	if a.end != nil {
		q.queueWait = millis(a.end.QueueMillis)
	}
	if res.outcome == messenger.OutcomeCompleted {
		return a.finish()
	}
	return res
}

// attemptResult is an attempt with its result.
type attemptResult struct {
	attempt *attempt
	result  result
}

// race runs the attempt and, if it has not ended in time, a second one in parallel. The
// first that completes wins, and the other is cancelled.
func (q *request) race(ctx context.Context, first *attempt, after time.Duration) (*attempt, result) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan attemptResult, 2)
	start := func(a *attempt) {
		a.answer.hedged = true
		go func() { results <- attemptResult{a, a.run(ctx)} }()
	}
	running, began := 1, q.entry.settings.Now()
	start(first)
	timer := time.NewTimer(after)
	defer timer.Stop()
	var best *attemptResult
	for running > 0 {
		select {
		case <-timer.C:
			if second := q.hedge(first, began, after); second != nil {
				start(second)
				running++
			}
		case e := <-results:
			running--
			if best == nil || better(e.result, best.result) {
				best = &e
			}
			if e.result.outcome == messenger.OutcomeCompleted {
				// The other attempt ends at once, and notifies its companion.
				cancel()
			}
		}
	}
	return best.attempt, best.result
}

// better reports whether r is more conclusive than s: a complete answer precedes an
// unknown outcome, which precedes NotRun, because one of the two attempts may have run.
func better(r, s result) bool {
	rank := func(o messenger.Outcome) int {
		switch o {
		case messenger.OutcomeCompleted:
			return 2
		case messenger.OutcomeUnknown:
			return 1
		default:
			return 0
		}
	}
	return rank(r.outcome) > rank(s.outcome)
}

// hedge chooses another backend server for a second attempt, or returns nil. It is
// called once, when the timer has measured that the first attempt has run for the time
// after. By the entry's clock that time may not have passed, if began was read late or
// the clock was set back; without the correction the hedge would then never be made.
func (q *request) hedge(first *attempt, began time.Time, after time.Duration) *attempt {
	e := q.entry
	now := e.settings.Now()
	if due := began.Add(after); now.Before(due) {
		now = due
	}
	a := retrier.Attempt{Group: q.call.Pool.Name, Number: q.attempts, Idempotent: q.idempotent, Deadline: q.deadline}
	if !e.retrier.Hedge(now, began, a) {
		return nil
	}
	q.call.Avoid = append(q.call.Avoid, first.backend)
	d := &router.Decision{}
	if e.router.Choose(e.settings.Now(), &q.call, d) != nil {
		return nil
	}
	second := q.startAttempt(d)
	event := second.event(recorder.KindRetried, "hedge beside "+first.backend)
	event.Choices = d.Choices()
	e.settings.Recorder.Record(event)
	e.metrics.retries.WithLabelValues("Hedge").Inc()
	return second
}
