package suspecter

import (
	"cmp"
	"time"
)

// Defaults of Settings.
const (
	// DefaultMemory is for how long an end counts against a request. A request that comes
	// back less often than three times in it costs a backend server in three minutes,
	// which a deployment bears; a longer memory gathers ends that have other causes.
	DefaultMemory = 10 * time.Minute
	// DefaultQuarantine is the time of a request's first quarantine; each further one
	// takes twice as long, up to DefaultMostQuarantine. After it the request gets one
	// more backend server, since another version of its software may run it: a server in
	// ten minutes at first, and one a day in the end, is what that costs.
	DefaultQuarantine     = 10 * time.Minute
	DefaultMostQuarantine = 24 * time.Hour
)

// Settings are the options of a Table and of a Reviewer. The zero value of a field means
// its documented default.
type Settings struct {
	Memory         time.Duration
	Quarantine     time.Duration
	MostQuarantine time.Duration
}

func (s Settings) withDefaults() Settings {
	s.Memory = cmp.Or(s.Memory, DefaultMemory)
	s.Quarantine = cmp.Or(s.Quarantine, DefaultQuarantine)
	s.MostQuarantine = cmp.Or(s.MostQuarantine, DefaultMostQuarantine)
	return s
}

// QuarantineTime returns the time of a quarantine; the first has the number 1.
func (s Settings) QuarantineTime(number int) time.Duration {
	s = s.withDefaults()
	d := s.Quarantine
	for range number - 1 {
		if d = min(2*d, s.MostQuarantine); d == s.MostQuarantine {
			break
		}
	}
	return d
}
