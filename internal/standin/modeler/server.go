package modeler

import (
	"math"
	"slices"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
)

const (
	// workTime is the mean processing time of a plain call. workSpread is the standard
	// deviation of its logarithm.
	workTime   = 30 * time.Millisecond
	workSpread = 0.5
)

// server simulates one backend server of the plain service.
type server struct {
	model   *model
	name    string
	running int
	waiting []*call
	// incarnation rises with each crash. down is set between a crash and the next start.
	incarnation int
	down        bool
	limit       *limited
	// working contains the calls in processing.
	working []*call
}

// crashDelay is the time from the start of a crash request to the crash of the server.
const crashDelay = 20 * time.Millisecond

// accept queues a call, or rejects it if the queue is full.
func (s *server) accept(c *call) {
	m := s.model
	if s.down {
		m.clock.after(localDelay, func() { c.entry.unreachable(c) })
		return
	}
	s.limit.arrived(c)
	m.countRepeated(c)
	if len(s.waiting) >= m.pattern.Queue {
		m.result.TurnedAway++
		m.clock.after(localDelay, func() {
			c.entry.placer.TurnedAway(m.clock.now, &c.choice)
			c.entry.finish(c, placer.OutcomeNotRun)
			m.refuse(c)
		})
		return
	}
	s.waiting = append(s.waiting, c)
	s.work()
}

// work starts waiting calls while there are free places.
func (s *server) work() {
	m := s.model
	for s.running < m.pattern.Places && len(s.waiting) > 0 {
		c := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.running++
		s.working = append(s.working, c)
		incarnation := s.incarnation
		if c.crashesServer {
			m.clock.after(crashDelay, func() { s.crash(incarnation) })
			continue
		}
		duration := time.Duration(float64(workTime) * math.Exp(workSpread*m.random.NormFloat64()-workSpread*workSpread/2))
		m.clock.after(duration, func() {
			if incarnation != s.incarnation {
				return
			}
			s.running--
			s.working = slices.DeleteFunc(s.working, func(o *call) bool { return o == c })
			calls := s.running + len(s.waiting)
			s.work()
			m.clock.after(localDelay, func() {
				c.entry.placer.ReportLoad(m.clock.now, &c.choice, calls)
				s.limit.answer(c)
				c.entry.recordSuccess(c)
				c.entry.finish(c, placer.OutcomeSuccess)
				m.answered(c)
			})
		})
	}
}

// crash ends the given incarnation of the server and all its calls, unless it has ended
// already. The server restarts after Pattern.Restart.
func (s *server) crash(incarnation int) {
	if incarnation != s.incarnation {
		return
	}
	m := s.model
	s.incarnation++
	s.down = true
	lost := slices.Concat(s.working, s.waiting)
	s.working, s.waiting, s.running = nil, nil, 0
	m.serverCrashed(s.name, lost, func() { s.down = false })
}
