package attendant

import (
	"slices"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"marigoldpoint.example/marigoldpoint/internal/coordination/estimator"
	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/rationer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/regulator"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// shortage is what an attendant knows of waits for slots and loads. Its fields are guarded by
// Attendant.mu.
type shortage struct {
	// arrivals counts the requests, and grants those granted by rank under a limit.
	arrivals, grants uint64
	times            rationer.Times
	// usedSince holds when the first of the requests was granted that have used a version
	// without a pause.
	usedSince map[string]time.Time
	// ranks lists the ranks whose gauge was set, and outOfOrder the number of loads
	// out of order that were counted.
	ranks      []int
	outOfOrder uint64
	// reportedAt is when the engine's last report arrived.
	reportedAt time.Time
}

// recordGrant records that a request begins to use its version. The caller holds mu.
func (s *shortage) recordGrant(adm *admission, now time.Time) {
	if adm.name == "" {
		return
	}
	if s.usedSince == nil {
		s.usedSince = make(map[string]time.Time)
	}
	if _, used := s.usedSince[adm.name]; !used {
		s.usedSince[adm.name] = now
	}
}

// forget drops what belongs to an incarnation of the engine that has ended. The caller holds
// mu.
func (s *shortage) forget() {
	s.times = rationer.Times{}
	clear(s.usedSince)
}

// recordRelease records for how long the slot of a version was used, if the request was the
// last to use it. The caller holds mu.
func (a *Attendant) recordRelease(adm *admission, now time.Time) {
	if adm.admitted {
		a.shortage.times.RecordUse(now.Sub(adm.grantedAt))
	}
	since, used := a.shortage.usedSince[adm.name]
	if used && adm.admitted && a.table.Pins(adm.name) == 0 {
		delete(a.shortage.usedSince, adm.name)
		a.shortage.times.RecordHold(now.Sub(since))
	}
}

// enroll decides whether a request is rationed. The caller holds mu.
func (a *Attendant) enroll(adm *admission) {
	a.shortage.arrivals++
	adm.arrival = a.shortage.arrivals
	adm.rationed = a.settings.Rationing.Applies(adm.msg.Ration)
}

// rank returns the priority rank of the request. The caller holds mu.
func (adm *admission) rank() int {
	if adm.msg.Resumed {
		return resumedUrgency
	}
	return placer.Rank(adm.msg.Urgency)
}

// waits reports whether the request waits. The caller holds mu.
func (adm *admission) waits() bool { return !adm.admitted && adm.refused == nil }

// rationing reports whether any waiting request is rationed; all wait by rank then. The caller
// holds mu.
func (a *Attendant) rationing() bool {
	for _, adm := range a.admissions {
		if adm.rationed && adm.waits() {
			return true
		}
	}
	return false
}

// request returns the request as the rationer sees it. The caller holds mu.
func (a *Attendant) request(adm *admission, now time.Time) rationer.Request {
	w := waiter(&adm.msg, adm.started)
	r := rationer.Request{
		ID: adm.msg.Request, Arrival: adm.arrival, Rank: adm.rank(), Due: w.Due,
		Prefill: estimator.Scale(a.usualPrefill(adm), a.speed.Factor(now)),
	}
	if adm.rationed && adm.msg.DeadlineMillis > 0 {
		r.Deadline = adm.started.Add(time.Duration(adm.msg.DeadlineMillis) * time.Millisecond)
	}
	if adm.name != "" && !a.table.Ready(adm.name) {
		r.Version = adm.name
	}
	return r
}

// requests returns the waiting requests that are ready, or all of them. The caller holds mu.
func (a *Attendant) requests(now time.Time, onlyReady bool) []rationer.Request {
	var all []rationer.Request
	for _, adm := range a.admissions {
		if adm.waits() && (!onlyReady || a.ready(adm)) {
			all = append(all, a.request(adm, now))
		}
	}
	return all
}

// ready reports whether pin would succeed. The caller holds mu.
func (a *Attendant) ready(adm *admission) bool {
	if adm.msg.Adapter == "" {
		return a.report.hasModel(adm.msg.Model)
	}
	return adm.inTable && a.table.Ready(adm.name)
}

// admitByRank admits waiting requests as far as the engine's limit allows, by rank. A request
// whose version is not loaded yet does not hold up the others. The caller holds mu.
func (a *Attendant) admitByRank(now time.Time) {
	for {
		ready := a.requests(now, true)
		if len(ready) == 0 {
			return
		}
		if wait := a.regulator.Wait(now, 0); wait > 0 {
			a.scheduleTurn(wait)
			return
		}
		next, outOfOrder := rationer.First(now, a.shortage.grants, ready)
		adm := a.admissions[ready[next].ID]
		if !a.pin(adm) {
			return
		}
		if outOfOrder {
			a.metrics.outOfOrder.Inc()
		}
		a.shortage.grants++
		a.regulator.Take(now)
		a.limitedGrants++
		a.grant(adm, now)
	}
}

// turnOrder returns the waiting requests in the order of their turns. The caller holds mu.
func (a *Attendant) turnOrder(now time.Time) []regulator.Waiter {
	if !a.rationing() {
		return a.waiters()
	}
	var all []regulator.Waiter
	for _, r := range rationer.Order(now, a.shortage.grants, a.requests(now, false)) {
		adm := a.admissions[r.ID]
		all = append(all, waiter(&adm.msg, adm.started))
	}
	return all
}

// expectation is what was expected for a refused request, with its inputs.
type expectation struct {
	rationer.Expectation
	state rationer.State
	// waiting is the number of waiting requests, end the expected end of the shortage, and
	// reportAge the age of the engine's report.
	waiting        int
	end, reportAge time.Duration
}

// addTo adds the expectation to a log line; it may be nil.
func (x *expectation) addTo(e *zerolog.Event) *zerolog.Event {
	if x == nil {
		return e
	}
	return e.Stringer("Cause", x.Cause).Dur("Wait", x.Wait).Dur("Left", x.Left).Int("Position", x.Position).Int("Waiting", x.waiting).
		Dur("LoadTime", x.state.Load).Int("Parallel", x.state.Parallel).Int("Loading", len(x.state.Loading)).
		Int("FreeSlots", x.state.Free).Dur("HoldTime", x.state.Hold).Dur("Backlog", x.state.Backlog).
		Dur("ShortageEnd", x.end).Dur("ReportAge", x.reportAge)
}

// refuseOverloaded refuses the rationed requests that would wait until after their deadline.
// It is called whenever the order of the waiting requests changes and at each poll of the
// engine. The caller holds mu.
func (a *Attendant) refuseOverloaded(now time.Time) {
	if a.table == nil {
		return
	}
	a.countOutOfOrder()
	if !a.rationing() {
		a.metrics.setWaiting(&a.shortage, nil)
		return
	}
	state := a.shortageState(now)
	ordered := rationer.Order(now, a.shortage.grants, a.requests(now, false))
	outlook := state.Expect(now, ordered)
	kept := make([]rationer.Request, 0, len(ordered))
	for i, e := range outlook.Requests {
		adm := a.admissions[e.ID]
		if !e.Hopeless || !a.estimable(adm) {
			kept = append(kept, ordered[i])
			continue
		}
		x := &expectation{Expectation: e, state: state, waiting: len(ordered), end: max(outlook.End, e.Wait), reportAge: now.Sub(a.shortage.reportedAt)}
		adm.expected = x
		r := messenger.NewRefusal(messenger.ReasonOverloaded, "the wait would exceed the time left")
		r.RetryAfterMillis = x.end.Milliseconds()
		a.metrics.overloaded.WithLabelValues(e.Cause.String()).Inc()
		a.refuse(adm, r)
	}
	a.metrics.setWaiting(&a.shortage, kept)
}

// estimable reports whether the wait of a request can be estimated: not while the engine
// loads its model. The caller holds mu.
func (a *Attendant) estimable(adm *admission) bool { return a.report.hasModel(adm.msg.Model) }

// shortageState returns what the waits follow from. The caller holds mu.
func (a *Attendant) shortageState(now time.Time) rationer.State {
	s := rationer.State{
		Load: a.shortage.times.Load(assumedLoadTime), Parallel: a.pacer.Limit(now),
		Slots: a.table.Slots(), Free: a.table.FreeSlots(), Hold: a.shortage.times.Hold(a.settings.SlotWaitTimeout),
		Backlog: a.prefills.Left(now, a.speed.Factor(now)),
	}
	for _, l := range a.table.Loads(now) {
		s.Loading = append(s.Loading, rationer.Loading(l))
	}
	if limit := a.regulator.Limit(); limit.Named {
		s.FirstTurn, s.TurnInterval = a.regulator.Wait(now, 0), limit.Interval()
	}
	return s
}

// countOutOfOrder counts the loads that went by age since the last call. The caller holds mu.
func (a *Attendant) countOutOfOrder() {
	n := a.table.Stats().OutOfOrder
	a.metrics.outOfOrder.Add(float64(n - a.shortage.outOfOrder))
	a.shortage.outOfOrder = n
}

// addRationing creates the metrics of rationing.
func (m *metrics) addRationing() {
	m.overloaded = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "marigoldpoint_attendant_overload_refused_total", Help: "Requests refused at once since they would wait until after their deadline, by what they would wait for.",
	}, []string{"cause"})
	m.waiting = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "marigoldpoint_attendant_waiting_requests", Help: "Waiting requests by rank, where they wait by rank.",
	}, []string{"rank"})
	m.outOfOrder = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "marigoldpoint_attendant_grants_out_of_order_total", Help: "Loads and turns that went to the longest wait ahead of a higher rank.",
	})
}

// setWaiting sets the numbers of waiting requests by rank. Ranks without a request remain,
// at 0.
func (m *metrics) setWaiting(s *shortage, requests []rationer.Request) {
	counts := make(map[int]int)
	for i := range requests {
		counts[requests[i].Rank]++
	}
	for rank := range counts {
		if !slices.Contains(s.ranks, rank) {
			s.ranks = append(s.ranks, rank)
		}
	}
	for _, rank := range s.ranks {
		m.waiting.WithLabelValues(strconv.Itoa(rank)).Set(float64(counts[rank]))
	}
}
