package modeler

import "time"

// store is a weight store that serves some loads at full speed at once, and all more
// slowly beyond.
type store struct {
	clock  *clock
	atOnce int
	active []*transfer
	// at is the time up to which the transfers are worked out.
	at time.Time
	// plan counts the changes of active: an event of an earlier plan is void.
	plan int
}

// transfer is one load under way.
type transfer struct {
	// left is the time that the rest takes at full speed.
	left time.Duration
	done func()
}

// begin starts a load that takes a time alone.
func (s *store) begin(alone time.Duration, done func()) {
	s.advance()
	s.active = append(s.active, &transfer{left: alone, done: done})
	s.schedule()
}

// clear drops all loads.
func (s *store) clear() {
	s.active = nil
	s.plan++
}

// slowness returns how many times slower than alone each load runs.
func (s *store) slowness() float64 { return max(1, float64(len(s.active))/float64(s.atOnce)) }

func (s *store) advance() {
	passed := time.Duration(float64(s.clock.now.Sub(s.at)) / s.slowness())
	for _, t := range s.active {
		t.left -= passed
	}
	s.at = s.clock.now
}

// schedule sets the event of the next end.
func (s *store) schedule() {
	s.plan++
	if len(s.active) == 0 {
		return
	}
	shortest := s.active[0].left
	for _, t := range s.active {
		shortest = min(shortest, t.left)
	}
	plan := s.plan
	s.clock.after(time.Duration(float64(max(0, shortest))*s.slowness())+time.Microsecond, func() {
		if plan == s.plan {
			s.end()
		}
	})
}

// end ends the loads that are through.
func (s *store) end() {
	s.advance()
	var through []*transfer
	kept := s.active[:0]
	for _, t := range s.active {
		if t.left <= 0 {
			through = append(through, t)
			continue
		}
		kept = append(kept, t)
	}
	s.active = kept
	s.schedule()
	for _, t := range through {
		t.done()
	}
}
