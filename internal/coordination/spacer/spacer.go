package spacer

import "time"

// Pause is the time between two runs of prompts: an event of eight tokens at a busy engine.
const Pause = 50 * time.Millisecond

// runShare is the part of the longest gap between two events that a run of prompts may take.
// The rest is for the tokens of the event themselves.
const runShare = 0.8

// Spacer tracks the prompts that an engine prefills. The zero value is ready for use.
type Spacer struct {
	// MaxEventGap is the longest gap allowed between two events of a stream; 0 means that
	// there is no limit.
	MaxEventGap time.Duration

	// start and end are those of the current or last run of prompts.
	start, end time.Time
}

// Start returns the earliest time from now on at which a prompt may start that takes the given
// time to prefill. A prompt that is too long for any run starts a run of its own.
func (s *Spacer) Start(now time.Time, prefill time.Duration) time.Time {
	if s.MaxEventGap <= 0 || s.ended(now) {
		return now
	}
	begins := s.end
	if begins.Before(now) {
		begins = now
	}
	if begins.Add(prefill).Sub(s.start) <= time.Duration(float64(s.MaxEventGap)*runShare) {
		return now
	}
	return s.end.Add(Pause)
}

// Record records that a prompt starts now, or when the ones before it have been prefilled.
func (s *Spacer) Record(now time.Time, prefill time.Duration) {
	if s.ended(now) {
		s.start, s.end = now, now
	}
	if s.end.Before(now) {
		s.end = now
	}
	s.end = s.end.Add(prefill)
}

// Backlog returns the time until the recorded prompts have been prefilled.
func (s *Spacer) Backlog(now time.Time) time.Duration { return max(0, s.end.Sub(now)) }

// ended reports whether the last run ended long enough ago for an event of each stream.
func (s *Spacer) ended(now time.Time) bool { return now.Sub(s.end) >= Pause }
