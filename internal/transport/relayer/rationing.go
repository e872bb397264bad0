package relayer

import (
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/rationer"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/pauser"
)

// maxOverloadRefusals is the number of companions that must refuse a call as hopeless before
// its caller is refused: the second is asked since one engine's wait says nothing of others.
const maxOverloadRefusals = 2

// The reasons for which calls are refused while capacity is short.
const (
	// overloadRefused means that companions have refused the call.
	overloadRefused = "refused"
	// overloadExpected means that all backend servers are expected to answer too late.
	overloadExpected = "expected"
)

// overloadText is the answer to callers that are refused while capacity is short.
const overloadText = "no answer is expected in time"

// rationed reports whether the call is rationed. A resumed call isn't: its answer has begun.
func (j *job) rationed() bool {
	s := &j.relayer.settings
	return s.Rationing.Applies(s.Rationing == rationer.ModeAuto && s.Placer.SlowdownReported(j.service.Name)) &&
		!j.answer.begun() && j.resumeFrom == ""
}

// timeLeft returns the time in which an answer is still of use: until the deadline or, for a
// rationed stream without an event, until its caller abandons it.
func (j *job) timeLeft(now time.Time) time.Duration {
	left := j.deadline.Sub(now)
	if j.route.Stream && j.route.FirstEventTimeout > 0 && j.rationed() {
		left = min(left, j.arrived.Add(j.route.FirstEventTimeout).Sub(now))
	}
	return left
}

// recordOverload records a companion's refusal of a call that would wait until after its
// deadline.
func (j *job) recordOverload(r *messenger.Refusal) {
	if r.Reason != messenger.ReasonOverloaded {
		return
	}
	if end := r.RetryAfter(); j.overloadRefusals == 0 || end < j.shortageEnd {
		j.shortageEnd = end
	}
	j.overloadRefusals++
}

// refuseOverloaded refuses a call that can't be answered in time, and reports whether it has:
// after the refusals of two companions, or if all backend servers are expected to answer
// after its deadline. A call that may have run, or whose answer has begun, is not refused,
// and neither is one for which a backend server has a free slot or is not known.
func (j *job) refuseOverloaded() bool {
	if !j.rationed() || j.mayHaveRun || j.failed != nil {
		return false
	}
	r := j.relayer
	now := r.settings.Now()
	outlook := r.settings.Placer.LeastWait(now, j.placerCall())
	left := j.timeLeft(now)
	if outlook.OwnCalls > 0 && j.service.Engine == nil {
		// Calls that this entry holds go before this one in the mean.
		held := time.Duration(float64(r.held.count(j.service.Name)) / float64(outlook.OwnCalls) * float64(outlook.Duration))
		outlook.Least, outlook.Wait = outlook.Least+held, outlook.Wait+held
	}
	switch {
	case outlook.Free || outlook.Unknown:
		return false
	case j.overloadRefusals >= maxOverloadRefusals:
		j.answerOverloaded(overloadRefused, outlook)
	case outlook.Hopeless(left):
		j.answerOverloaded(overloadExpected, outlook)
	default:
		return false
	}
	return true
}

// answerOverloaded refuses the call with the expected end of the shortage.
func (j *job) answerOverloaded(reason string, outlook placer.Outlook) {
	r := j.relayer
	if j.failed != nil || j.mayHaveRun || j.answer.begun() {
		j.answerExhausted(overloadText)
		return
	}
	end := outlook.Wait
	if j.overloadRefusals > 0 {
		// Companions know the queues, while the entry assumes the wait for a slot.
		end = j.shortageEnd
	}
	after := rationer.RetryAfter(end, r.draw())
	r.metrics.overloaded.WithLabelValues(j.service.Name, reason).Inc()
	r.settings.Log.Info().Str("Request", j.call.ID).Str("Service", j.service.Name).Str("Cause", reason).Int("Priority", j.priority()).
		Int("Refusals", j.overloadRefusals).Strs("Refused", j.avoid).Int("Servers", outlook.Servers).Dur("Least", outlook.Least).
		Dur("Left", j.timeLeft(r.settings.Now())).Dur("ReportAge", outlook.Age).Dur("ShortageEnd", end).Dur("RetryAfter", after).Msg("refused at once")
	_ = j.refuse(http.StatusServiceUnavailable, overloadText, after)
}

// awaitBusy holds a call whose backend servers have all reached their limit of calls.
func (j *job) awaitBusy() bool {
	j.relayer.held.add(j.service.Name, 1)
	defer j.relayer.held.add(j.service.Name, -1)
	return pauser.Pause(j.ctx, busyPause)
}

// newOverloaded returns the counter of the calls refused at once while capacity is short.
func newOverloaded() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "marigoldpoint_relayer_overload_refused_total", Help: "Calls refused at once since no answer is expected before their deadline, by service and reason.",
	}, []string{labelService, "reason"})
}

// heldCalls counts the calls that are held, by service. It is safe for concurrent use.
type heldCalls struct {
	mu sync.Mutex
	// byService is guarded by mu.
	byService map[string]int
}

func (h *heldCalls) add(service string, n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.byService == nil {
		h.byService = make(map[string]int)
	}
	if h.byService[service] += n; h.byService[service] == 0 {
		delete(h.byService, service)
	}
}

func (h *heldCalls) count(service string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.byService[service]
}
