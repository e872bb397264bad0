package modeler

import "time"

// store simulates a weight store that serves up to atOnce concurrent loads at full speed.
// More loads share that capacity.
type store struct {
	clock  *clock
	atOnce int
	active []*transfer
	// updatedAt is the time for which remaining of the active transfers is valid.
	updatedAt time.Time
	// scheduled is the number of the current event; earlier events are ignored.
	scheduled int
}

// transfer is one load in progress.
type transfer struct {
	// remaining is the time that the rest takes at full speed.
	remaining time.Duration
	done      func()
}

// begin starts a load that takes the time alone at full speed. done is called at its end.
func (s *store) begin(alone time.Duration, done func()) {
	s.advance()
	s.active = append(s.active, &transfer{remaining: alone, done: done})
	s.schedule()
}

// clear cancels all loads without calling done.
func (s *store) clear() {
	s.active = nil
	s.scheduled++
}

// slowness returns the factor by which each load is slower than at full speed.
func (s *store) slowness() float64 { return max(1, float64(len(s.active))/float64(s.atOnce)) }

func (s *store) advance() {
	passed := time.Duration(float64(s.clock.now.Sub(s.updatedAt)) / s.slowness())
	for _, t := range s.active {
		t.remaining -= passed
	}
	s.updatedAt = s.clock.now
}

// schedule schedules the event of the next end of a load, replacing the previous event.
func (s *store) schedule() {
	s.scheduled++
	if len(s.active) == 0 {
		return
	}
	shortest := s.active[0].remaining
	for _, t := range s.active {
		shortest = min(shortest, t.remaining)
	}
	scheduled := s.scheduled
	s.clock.after(time.Duration(float64(max(0, shortest))*s.slowness())+time.Microsecond, func() {
		if scheduled == s.scheduled {
			s.end()
		}
	})
}

// end ends the completed loads.
func (s *store) end() {
	s.advance()
	var finished []*transfer
	unfinished := s.active[:0]
	for _, t := range s.active {
		if t.remaining <= 0 {
			finished = append(finished, t)
			continue
		}
		unfinished = append(unfinished, t)
	}
	s.active = unfinished
	s.schedule()
	for _, t := range finished {
		t.done()
	}
}
