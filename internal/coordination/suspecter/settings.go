package suspecter

import (
	"cmp"
	"time"
)

// Defaults of Settings.
const (
	// DefaultMemory is how long an end counts against a request. A request that returns
	// less often than three times within it costs one backend server every three
	// minutes at most, which a deployment tolerates; a longer memory would accumulate
	// ends with other causes.
	DefaultMemory = 10 * time.Minute
	// DefaultQuarantine is the duration of a request's first quarantine. Each further
	// one lasts twice as long, up to DefaultMostQuarantine. After a quarantine the
	// request is given one more backend server, since it may be run by another version
	// of the software. The cost is one server in ten minutes at first, and eventually
	// one per day.
	DefaultQuarantine     = 10 * time.Minute
	DefaultMostQuarantine = 24 * time.Hour
)

// Settings are the options of a Table and of a Reviewer. A field with the zero value
// takes its documented default.
type Settings struct {
	Memory         time.Duration
	Quarantine     time.Duration
	MostQuarantine time.Duration
	// Confirm is how long the evidence on a part of prompts must stand before it is acted on;
	// 0 means DefaultConfirm.
	Confirm time.Duration
}

func (s Settings) withDefaults() Settings {
	s.Memory = cmp.Or(s.Memory, DefaultMemory)
	s.Quarantine = cmp.Or(s.Quarantine, DefaultQuarantine)
	s.MostQuarantine = cmp.Or(s.MostQuarantine, DefaultMostQuarantine)
	s.Confirm = cmp.Or(s.Confirm, DefaultConfirm)
	return s
}

// QuarantineTime returns the duration of a quarantine by its number, starting at 1.
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
