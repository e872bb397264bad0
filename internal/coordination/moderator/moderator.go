package moderator

import (
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// MaxExcess is the excess of a round trip over the shortest known one above which the
	// link is taken for saturated.
	MaxExcess = 40 * time.Millisecond
	// busyInterval and idleInterval are the times between two measurements of the round trip
	// while many connections are accepted, and otherwise.
	busyInterval = 100 * time.Millisecond
	idleInterval = 5 * time.Second
	// busyConnections is the number of connections within rateSpan that many are.
	busyConnections = 8
	// rateSpan is the time over which accepted connections are counted.
	rateSpan = 500 * time.Millisecond
	// confirmations is the number of long round trips in a row from which the link is taken
	// for saturated: peers may be lost between two measurements.
	confirmations = 2
	// baselineSpan is the time for which the shortest round trip is remembered at least.
	baselineSpan = time.Minute
	// utilization is the limit after a saturation, as a share of the connections that the
	// link carried until its queue was empty.
	utilization = 0.85
	// growthShare and growthRate are the increase of the limit with each short round trip, as
	// a share of the limit and in connections per second.
	growthShare = 0.01
	growthRate  = 0.5
	// minRate is the lowest limit, in connections per second. It applies while the link is
	// saturated.
	minRate = 2.0
	// burst is the number of connections that may be accepted at once under a limit.
	burst = 4
	// releaseAfter is the time without a pause and without saturation after which the limit
	// ends.
	releaseAfter = 10 * time.Second
)

// Moderator decides how many connections a host accepts. It is safe for concurrent use.
type Moderator struct {
	mu sync.Mutex
	// limiter holds the limit in connections per second, rate.Inf if there is none; guarded
	// by mu, as all fields below.
	limiter *rate.Limiter
	// accepted holds the times of the connections accepted within rateSpan.
	accepted []time.Time
	// pausedAt is the time of the last pause, and saturatedAt the last time at which the link
	// was saturated.
	pausedAt, saturatedAt time.Time
	// long is the number of round trips since the last short one.
	long int
	// shortAt is the time of the last short round trip, and carried the number of connections
	// accepted since.
	shortAt time.Time
	carried int
	// measuredAt is when the last measurement of the round trip began.
	measuredAt time.Time
	// baseline is the shortest round trip since baselineStart, and previousBaseline that of
	// the span before.
	baseline, previousBaseline time.Duration
	baselineStart              time.Time
}

// NewModerator returns a moderator without a limit.
func NewModerator() *Moderator {
	return &Moderator{limiter: rate.NewLimiter(rate.Inf, burst), baseline: math.MaxInt64, previousBaseline: math.MaxInt64}
}

// MeasurementDue reports whether a round trip is to be measured now.
func (m *Moderator) MeasurementDue(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	interval := idleInterval
	if m.connections(now) >= busyConnections || m.limiter.Limit() < rate.Inf {
		interval = busyInterval
	}
	if now.Sub(m.measuredAt) < interval {
		return false
	}
	m.measuredAt = now
	return true
}

// RecordRoundTrip records the shortest of several round trips to different peers, or the time
// after which all were given up.
func (m *Moderator) RecordRoundTrip(now time.Time, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.baselineStart) > baselineSpan {
		m.previousBaseline, m.baseline, m.baselineStart = m.baseline, math.MaxInt64, now
	}
	m.baseline = min(m.baseline, took)
	if took-min(m.baseline, m.previousBaseline) > MaxExcess {
		if m.long++; m.long >= confirmations {
			m.saturatedAt = now
			m.limiter.SetLimitAt(now, minRate)
		}
		return
	}
	switch limit := m.limiter.Limit(); {
	case m.long >= confirmations:
		carried := rate.Limit(float64(m.carried) / now.Sub(m.shortAt).Seconds())
		m.limiter.SetLimitAt(now, max(minRate, utilization*carried))
	case limit == rate.Inf:
	case now.Sub(m.pausedAt) > releaseAfter && now.Sub(m.saturatedAt) > releaseAfter:
		m.limiter.SetLimitAt(now, rate.Inf)
	default:
		m.limiter.SetLimitAt(now, limit*(1+growthShare)+growthRate)
	}
	m.shortAt, m.carried, m.long = now, 0, 0
}

// RecordNoPeers records that no peer is reached, so that nothing is known about the link. It ends
// the limit.
func (m *Moderator) RecordNoPeers(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.limiter.SetLimitAt(now, rate.Inf)
	m.shortAt, m.carried, m.long = now, 0, 0
}

// connections returns the number of connections accepted within rateSpan. The caller holds mu.
func (m *Moderator) connections(now time.Time) int {
	for len(m.accepted) > 0 && now.Sub(m.accepted[0]) > rateSpan {
		m.accepted = m.accepted[1:]
	}
	return len(m.accepted)
}

// Limit returns the limit in connections per second, and false if there is none.
func (m *Moderator) Limit() (perSecond float64, limited bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	limit := m.limiter.Limit()
	return float64(limit), limit < rate.Inf
}

// Limited reports whether there is a limit.
func (m *Moderator) Limited() bool {
	_, limited := m.Limit()
	return limited
}

// RecordAccepted records an accepted connection.
func (m *Moderator) RecordAccepted(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.carried++
	m.accepted = append(m.accepted, now)
	m.connections(now)
	m.limiter.ReserveN(now, 1)
}

// Pause returns the time for which no connection is to be accepted under the present limit, 0 if
// one may be accepted now.
func (m *Moderator) Pause(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	missing := 1 - m.limiter.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	m.pausedAt = now
	return time.Duration(missing / float64(m.limiter.Limit()) * float64(time.Second))
}
