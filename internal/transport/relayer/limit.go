package relayer

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/regulator"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/pauser"
)

const (
	// reserveTimeout bounds the wait for the leader's answer to a reservation, and
	// reserveRetry is the pause before the next one if there is none.
	reserveTimeout = 500 * time.Millisecond
	reserveRetry   = 200 * time.Millisecond
	// unattendedShare is the share of an engine's limit that entries use together without
	// its companion, which may still count the requests of others.
	unattendedShare = 0.5
	// maxWaitShare is the share of the wait at a companion up to which an entry sends a call
	// there.
	maxWaitShare = 0.8
	// maxLimitRefusals is the number of backend servers that may have no turn for a call before
	// it is sent to those without a limit only.
	maxLimitRefusals = 2
	// maxLimitedRetryAfter is the longest Retry-After of calls refused because of limits,
	// which may end earlier.
	maxLimitedRetryAfter = 5 * time.Second
)

// recordLimit applies what the answer to the current attempt says about the backend
// server's limit, and informs the engine's companion, which counts the requests of all
// entries.
func (j *job) recordLimit(n regulator.Notice) {
	r := j.relayer
	c, changed := r.settings.Placer.RecordLimit(j.attemptAt, r.settings.Now(), &j.choice, n)
	if changed {
		e := r.settings.Log.Info().Str("Request", j.call.ID).Str("Backend", j.choice.Name).Str("Incarnation", j.choice.Incarnation).
			Bool("Limited", c.After.Named).Float64("Rate", c.After.Rate)
		if c.Before.Named {
			e.Float64("RateBefore", c.Before.Rate).Int("CallsBefore", c.Calls)
		}
		e.Msg("request limit changed")
	}
	switch {
	case c.Reported:
	case j.service.Engine != nil:
		r.notifyLimit(j, n)
	case n.Kind == regulator.NoticeUnlimited:
		r.reportEnd(j)
	}
}

// reportEnd informs the leader that the limit of the chosen backend server has ended.
// Further answers without a limit report it again until the leader's pulses don't list it.
func (r *Relayer) reportEnd(j *job) {
	q := regulator.Reserve{
		Server: j.choice.Name, Incarnation: j.choice.Incarnation,
		Ended: true, SentAgeMillis: r.settings.Now().Sub(j.attemptAt).Milliseconds(),
	}
	r.lossesMu.Lock()
	defer r.lossesMu.Unlock()
	if _, reporting := r.endedLimits[q.Server]; reporting || r.settings.Control == nil || r.root.Err() != nil {
		return
	}
	r.endedLimits[q.Server] = struct{}{}
	r.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(r.root, reserveTimeout)
		defer cancel()
		if _, err := r.settings.Control.Reserve(ctx, q); err != nil {
			r.settings.Log.Debug().Err(err).Str("Backend", q.Server).Msg("reporting the end of a limit failed")
		}
		r.lossesMu.Lock()
		defer r.lossesMu.Unlock()
		delete(r.endedLimits, q.Server)
	})
}

// notifyLimit informs the companion of the chosen engine of what an answer says about its
// limit. A companion that is not connected learns of a limit with the next admission.
func (r *Relayer) notifyLimit(j *job, n regulator.Notice) {
	m, ok := r.settings.View().Member(j.choice.Name)
	if !ok {
		return
	}
	conn := r.settings.Companions.Live(r.settings.CompanionAddress(m))
	if conn == nil {
		return
	}
	notice := messenger.Limit{Request: j.call.ID, Incarnation: j.choice.Incarnation, Named: n.Kind == regulator.NoticeLimited, Rate: n.Rate}
	if err := conn.Notify(r.root, messenger.MethodLimit, notice); err != nil {
		r.settings.Log.Debug().Err(err).Str("Companion", conn.Peer()).Msg("reporting a limit of requests failed")
	}
}

// namedLimit returns the limit that the chosen backend server has named to this entry, for
// its companion; nil if there is none.
func (j *job) namedLimit(now time.Time) *messenger.Limit {
	limit := j.choice.NamedLimit
	if !limit.Named {
		return nil
	}
	return &messenger.Limit{Incarnation: j.choice.Incarnation, Named: true, Rate: limit.Rate, AgeMillis: limit.Age(now).Milliseconds()}
}

// applyLimitState applies a companion's report on the limit of its engine.
func (r *Relayer) applyLimitState(conn *messenger.Conn, params json.RawMessage) error {
	var s placer.LimitState
	if err := messenger.Decode(params, &s); err != nil {
		return err
	}
	s.Name = r.engineOf(conn, s.Name)
	if m, ok := r.settings.View().Member(s.Name); ok {
		r.settings.Placer.ReportLimit(r.settings.Now(), m.Spec.Service, s)
	}
	return nil
}

// awaitTurn waits for the call's turn at a backend server that limits requests and whose
// requests no companion counts. It returns false, and the verdict, if the call is not to be
// sent there.
func (j *job) awaitTurn(ctx context.Context) (verdict, bool) {
	r := j.relayer
	answer, err := j.reserve(ctx)
	now := r.settings.Now()
	wait := time.Duration(answer.WaitMillis) * time.Millisecond
	switch {
	case err != nil:
		r.settings.Log.Info().Err(err).Str("Request", j.call.ID).Str("Backend", j.choice.Name).Msg("no turn: control not reached")
		r.settings.Placer.PostponeTurn(now, &j.choice, reserveRetry)
	case !answer.Granted:
		j.limitRefusals++
		r.settings.Placer.PostponeTurn(now, &j.choice, wait)
	default:
		r.settings.Placer.PostponeTurn(now, &j.choice, wait+j.choice.Limit.Interval())
		j.waited += wait
		// The backend server may have started to leave during the wait.
		if wait <= 0 || pauser.Pause(ctx, wait) && j.stillServes() {
			return 0, true
		}
	}
	if j.ctx.Err() != nil {
		j.release(placer.OutcomeCanceled)
		return verdictAborted, false
	}
	j.release(placer.OutcomeNotRun)
	return verdictNotRun, false
}

// errNoControl means that the entry has no client of the control hosts.
const errNoControl = errors.ConstError("no control hosts")

// reserve asks the leader to schedule the call.
func (j *job) reserve(ctx context.Context) (regulator.Reserved, error) {
	r := j.relayer
	if r.settings.Control == nil {
		return regulator.Reserved{}, errNoControl
	}
	q := regulator.Reserve{
		Server: j.choice.Name, Incarnation: j.choice.Incarnation, Rate: j.choice.Limit.Rate,
		SlackMillis: max(0, (j.untilTarget() - j.choice.Duration).Milliseconds()), MaxWaitMillis: j.maxWait().Milliseconds(),
	}
	if j.service.Engine != nil {
		q.Rate *= unattendedShare
	}
	if j.choice.NamedLimit.Named {
		q.Heard, q.AgeMillis = true, j.choice.NamedLimit.Age(r.settings.Now()).Milliseconds()
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	return r.settings.Control.Reserve(ctx, q)
}

// untilTarget returns the time left until the route's target time, or until the deadline if
// the route has none.
func (j *job) untilTarget() time.Duration {
	now := j.relayer.settings.Now()
	if j.route.Target <= 0 {
		return j.deadline.Sub(now)
	}
	return j.route.Target - now.Sub(j.arrived)
}

// maxWait returns the longest time for which the call can wait for its turn at a backend
// server that limits requests. It is shorter than the time for which a companion lets it
// wait, since the entry knows the queue there by reports only.
func (j *job) maxWait() time.Duration {
	left := j.deadline.Sub(j.relayer.settings.Now())
	if j.service.Engine != nil {
		return time.Duration(maxWaitShare * float64(min(j.relayer.settings.AdmitTimeout, left)))
	}
	return min(regulator.MaxReservedWait, left)
}

// refuseLimited refuses a call that no backend server can take in time under its limit. The
// caller is asked to return for the next turn, at a random time around it, so that those
// refused together do not return together.
func (j *job) refuseLimited() {
	r := j.relayer
	if j.failed != nil || j.mayHaveRun || j.answer.begun() {
		j.answerExhausted(placer.ErrLimited.Error())
		return
	}
	next := min(r.settings.Placer.NextTurn(r.settings.Now(), j.service.Name), maxLimitedRetryAfter)
	after := max(r.settings.RetryAfter, time.Duration(float64(next)*(0.75+r.draw()/2)))
	r.metrics.limitRefused.WithLabelValues(j.service.Name).Inc()
	_ = j.refuse(http.StatusServiceUnavailable, placer.ErrLimited.Error(), after)
}
