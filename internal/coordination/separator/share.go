package separator

import (
	"math"
	"time"
)

// shareLife is the time constant of a Share.
const shareLife = 5 * time.Second

// Share is the share of time that an engine spends on long prefills, exponentially weighted. The
// zero value is a share of 0.
type Share struct {
	value float64
	at    time.Time
}

// Add records an admitted long prefill by its expected time.
func (s *Share) Add(now time.Time, expected time.Duration) {
	s.value, s.at = s.decayed(now)+float64(expected)/float64(shareLife), now
}

// At returns the share, from 0 to 1.
func (s *Share) At(now time.Time) float64 { return min(s.decayed(now), 1) }

func (s *Share) decayed(now time.Time) float64 {
	if s.value == 0 {
		return 0
	}
	return s.value * math.Exp(-float64(max(0, now.Sub(s.at)))/float64(shareLife))
}

// Percent returns the share rounded to percent.
func (s *Share) Percent(now time.Time) int { return int(math.Round(100 * s.At(now))) }

const (
	// reportInterval is the shortest time between two reports of a share, and repeatInterval the
	// longest one while it is above 0.
	reportInterval = time.Second
	repeatInterval = 5 * time.Second
	// reportChange is the change, in percent, from which a share is reported before repeatInterval.
	reportChange = 5
)

// Reported is the last report of a share to one receiver. The zero value stands for none.
type Reported struct {
	incarnation string
	percent     int
	at          time.Time
}

// Due reports whether a share of an incarnation of the engine is to be reported now, and if so
// records the report.
func (r *Reported) Due(now time.Time, incarnation string, percent int) bool {
	if r.incarnation != incarnation {
		*r = Reported{incarnation: incarnation}
	}
	passed := now.Sub(r.at)
	switch {
	case r.at.IsZero() && percent == 0, !r.at.IsZero() && passed < reportInterval:
		return false
	case r.at.IsZero(), max(percent-r.percent, r.percent-percent) >= reportChange, percent > 0 && passed >= repeatInterval:
		r.percent, r.at = percent, now
		return true
	}
	return false
}
