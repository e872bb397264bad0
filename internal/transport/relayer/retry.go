package relayer

import (
	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/protocol/exchanger"
)

// allowAttempt reports whether the call may be sent to another backend server, and reserves
// retries in the budget. If not, it releases the choice.
func (j *job) allowAttempt() bool {
	if j.reached == 0 {
		return true
	}
	attemptsLeft := j.attemptsLeft()
	if attemptsLeft && !j.retryReserved {
		j.retryReserved = j.relayer.budget.reserve(j.relayer.settings.BootNow(), j.service.Name)
	}
	switch {
	case !attemptsLeft:
		j.recordRetry(retryNoAttempt)
	case !j.retryReserved:
		j.recordRetry(retryNoBudget)
	default:
		return true
	}
	j.release(placer.OutcomeCanceled)
	return false
}

// attemptsLeft reports whether the route allows the call at the chosen backend server.
func (j *job) attemptsLeft() bool {
	if j.resumeFrom == "" {
		return j.sent < j.maxAttempts()
	}
	return j.resumesAtSource() || j.mayResumeElsewhere()
}

// maxAttempts returns the number of backend servers at which the call may run.
func (j *job) maxAttempts() int { return max(1, j.route.MaxAttempts) }

// mayResumeElsewhere reports whether the call may resume at a further backend server. Those that seem to
// have ended count too: a process that goes on can give every sign of an end.
func (j *job) mayResumeElsewhere() bool { return j.sent < j.maxAttempts() }

// mayResumeAfter reports whether the call may resume at a further backend server after the attempt that is
// about to be sent.
func (j *job) mayResumeAfter() bool {
	if j.resumesAtSource() {
		return j.mayResumeElsewhere()
	}
	return j.sent+1 < j.maxAttempts()
}

// resumesAtSource reports whether the call resumes at the backend server that stopped its run.
func (j *job) resumesAtSource() bool {
	return j.resumeFrom != "" && j.source == incarnation{name: j.choice.Name, incarnation: j.choice.Incarnation}
}

// commitRetry reports whether the attempt may be sent now. Retries are counted when they are sent,
// since they may have waited for seconds.
func (j *job) commitRetry() bool {
	if !j.retryReserved {
		return true
	}
	j.retryReserved = false
	if !j.relayer.budget.commit(j.relayer.settings.BootNow(), j.service.Name) {
		j.recordRetry(retryNoBudget)
		return false
	}
	j.retryInFlight = true
	j.recordRetry(retrySent)
	return true
}

// recordArrival records what the outcome of an exchange says about when its request arrived: the
// answer follows the arrival, and one that was not sent never arrives. A request whose connection
// has ended without an answer may arrive later, also after another attempt of its call.
func (j *job) recordArrival(err error) {
	b, now := j.relayer.budget, j.relayer.settings.BootNow()
	notSent := errors.Is(err, exchanger.ErrNotSent)
	if err != nil && !notSent {
		j.unread = append(j.unread, unreadAttempt{server: j.choice.Name, endedAt: now})
	}
	if !j.retryInFlight {
		return
	}
	j.retryInFlight = false
	if notSent {
		b.discard(now, j.service.Name)
		return
	}
	b.arrive(now, j.service.Name, j.unread)
}

// cancelRetry ends the reservation of a retry that was not sent.
func (j *job) cancelRetry() {
	if j.retryReserved {
		j.retryReserved = false
		j.relayer.budget.cancel(j.relayer.settings.BootNow(), j.service.Name)
	}
}
