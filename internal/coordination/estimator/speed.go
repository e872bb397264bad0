package estimator

import (
	"math"
	"time"
)

const (
	// decayTime is the time constant with which a reported factor loses its weight against the
	// usual one. Slow periods of the observed machines last some 600 ms.
	decayTime = 400 * time.Millisecond
	// ReportLife is how long a factor counts in full whose source reports each change: a poll
	// interval of companions, and the time for the report to arrive.
	ReportLife = 500 * time.Millisecond
	// forgetTime is the time constant with which the usual factor approaches 1 while nothing is
	// reported. A slow server gets few requests, and without requests reports nothing: it must
	// become eligible again.
	forgetTime = 30 * time.Second
	// priorSamples is the weight of the assumption that a machine is usually at factor 1, and
	// maxSamples bounds the weight of the past.
	priorSamples = 5
	maxSamples   = 2000
)

// Speed is what is known of the speed of one incarnation of a backend server. The zero value means
// that it has reported nothing; its factor is 1.
type Speed struct {
	// reported is the last factor reported, of the time reportedAt. It counts in full until
	// currentUntil. It is 0 before the first report.
	reported     float64
	reportedAt   time.Time
	currentUntil time.Time
	// usual is the mean of the reported factors, and samples their number, or the mean that
	// the companion has reported; then usualReported is set.
	usual         float64
	samples       float64
	usualReported bool
}

// Reported reports whether the backend server has reported a factor.
func (s *Speed) Reported() bool { return s.reported > 0 }

// Last returns the last factor reported, or 0.
func (s *Speed) Last() float64 { return s.reported }

// Record records a factor that was reported at the given time, and counts in full for life. It
// ignores factors that Bound does not accept. A factor older than the last one only confirms that
// one if they are about equal.
func (s *Speed) Record(at time.Time, factor float64, life time.Duration) {
	if factor = Bound(factor); factor == 0 {
		return
	}
	if !s.usualReported {
		s.addSample(factor)
	}
	until := at.Add(life)
	if s.Reported() && !Differs(factor, s.reported) && s.currentUntil.After(until) {
		until = s.currentUntil
	}
	switch {
	case !s.Reported() || !at.Before(s.reportedAt):
		s.reported, s.reportedAt, s.currentUntil = factor, at, until
	case !Differs(factor, s.reported):
		s.currentUntil = until
	}
}

func (s *Speed) addSample(factor float64) {
	if s.samples == 0 {
		s.usual, s.samples = 1, priorSamples
	}
	s.samples = min(s.samples+1, maxSamples)
	s.usual += (factor - s.usual) / s.samples
}

// SetUsual sets the usual factor to the one that the companion has observed, which hears of all
// periods, not only of those with answers.
func (s *Speed) SetUsual(factor float64) {
	if factor = Bound(factor); factor > 0 {
		s.usual, s.usualReported = factor, true
	}
}

// Usual returns the usual factor as far as it is known at the given time.
func (s *Speed) Usual(now time.Time) float64 {
	if !s.Reported() {
		return 1
	}
	return 1 + (s.usual-1)*remaining(now.Sub(s.currentUntil), forgetTime)
}

// Factor returns the expected factor at the given time.
func (s *Speed) Factor(now time.Time) float64 {
	if !s.Reported() {
		return 1
	}
	usual := s.Usual(now)
	return usual + (s.reported-usual)*remaining(now.Sub(s.currentUntil), decayTime)
}

// Slowed reports whether the machine is slower than usual now.
func (s *Speed) Slowed(now time.Time) bool {
	factor, usual := s.Factor(now), s.Usual(now)
	return factor > usual && Differs(factor, usual)
}

// maxPostponement bounds the wait of a prefill for a slowed machine: a slow period of the observed
// machines. At factor f a prefill that waits for the end of the period ends later than one that
// starts at once by 1/f of the wait, 120 ms in the mean at 2.5.
const maxPostponement = 600 * time.Millisecond

// Postpones reports whether a prefill that has been postponed for the given time waits on because
// the machine is slowed.
func (s *Speed) Postpones(now time.Time, postponed time.Duration) bool {
	return s.Slowed(now) && postponed < maxPostponement
}

// Age returns the age of the last report; it is negative if there was none.
func (s *Speed) Age(now time.Time) time.Duration {
	if !s.Reported() {
		return -1
	}
	return max(0, now.Sub(s.reportedAt))
}

// remaining returns the weight that is left after age by a time constant.
func remaining(age, constant time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(constant))
}
