package relayer

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// Stop is a planned stop of the process.
type Stop struct {
	// Noticed is when the load balancer has noticed the stop, so that callers that are refused reach
	// another entry, and End when the calls in progress are ended.
	Noticed, End time.Time
}

const (
	// retryElsewhereDelay makes the caller retry at once, which leads to another entry.
	retryElsewhereDelay = 10 * time.Millisecond
	// streamTokenTime is the time per token of a stream at a busy engine, and
	// streamStartTime the time before the first token.
	streamTokenTime = 15 * time.Millisecond
	streamStartTime = 500 * time.Millisecond
	// durationFactor is the ratio of the time that a call is allowed for during a stop to the longest
	// time that an attempt on its route has taken lately.
	durationFactor = 2
)

// reasonStopping is the reason for which calls are refused or ended during a stop.
const reasonStopping = "stopping"

// errStopping ends the calls in progress at the end of a planned stop.
const errStopping = errors.ConstError("the process stops")

// PlanStop announces a planned stop: calls that it would most likely cut are refused from now on, and
// those in progress at its end are answered then. A later plan replaces an earlier one that has not
// ended.
func (r *Relayer) PlanStop(s Stop) {
	r.stop.Store(&s)
	r.tasks.Go(func() {
		timer := time.NewTimer(s.End.Sub(r.settings.Now()))
		defer timer.Stop()
		select {
		case <-timer.C:
			if r.stop.Load() == &s {
				r.endCalls(errStopping)
			}
		case <-r.root.Done():
		}
	})
}

// boundByStop returns a context that also ends at the end of a planned stop, with the cause
// errStopping.
func (r *Relayer) boundByStop(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	unbind := context.AfterFunc(r.calls, func() { cancel(errStopping) })
	return ctx, func() {
		unbind()
		cancel(nil)
	}
}

// outlastsStop reports whether a planned stop would most likely end the call before its answer, if it
// were sent to a backend server now. Such calls are better served by another entry.
//
// Until the load balancer has noticed the stop, it still sends new calls. In a failure domain
// with a single entry, the caller's retry would come back, so that a stream is judged by its caller's
// estimate then: by their maximum length, or by the longest of their route, most would seem too long.
func (j *job) outlastsStop() bool {
	stop := j.relayer.stop.Load()
	if stop == nil {
		return false
	}
	now := j.relayer.settings.Now()
	if !j.deadline.IsZero() && j.deadline.Before(stop.End) {
		return false
	}
	noticed, longest := now.After(stop.Noticed), durationFactor*j.relayer.durations.longest(now, j.route.Name)
	if noticed && longest == 0 {
		return true
	}
	expected := longest
	if j.route.Stream {
		expected = j.estimatedDuration(noticed)
		if noticed {
			expected = max(expected, longest)
		}
	}
	return now.Add(expected).After(stop.End)
}

// estimatedDuration returns the time that the call's stream takes by its length: the longest one, or the
// one that its caller expects.
func (j *job) estimatedDuration(longest bool) time.Duration {
	tokens := j.call.AnswerTokens
	if !longest {
		tokens = cmp.Or(j.call.ExpectedTokens, tokens)
	}
	return streamStartTime + time.Duration(tokens)*streamTokenTime
}

// refuseStopping answers a call that outlasts a planned stop, and reports whether it has.
func (j *job) refuseStopping() bool {
	if !j.outlastsStop() {
		return false
	}
	if j.failed != nil || j.mayHaveRun || j.answer.begun() {
		j.answerExhausted(reasonStopping)
	} else {
		_ = j.refuse(http.StatusServiceUnavailable, reasonStopping, retryElsewhereDelay)
	}
	return true
}
