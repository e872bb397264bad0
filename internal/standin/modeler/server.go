package modeler

import (
	"math"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
)

const (
	// workTime is the mean time of a plain call, and workSpread its spread.
	workTime   = 30 * time.Millisecond
	workSpread = 0.5
)

// server is one backend server of the plain service.
type server struct {
	model   *model
	running int
	waiting []*call
}

// take takes a call, or turns it away.
func (s *server) take(c *call) {
	m := s.model
	if len(s.waiting) >= m.pattern.Queue {
		m.result.TurnedAway++
		m.clock.after(nearby, func() {
			c.entry.placer.TurnedAway(m.clock.now, &c.choice)
			c.entry.finish(c, placer.EndingRefused)
			m.refuse(c)
		})
		return
	}
	s.waiting = append(s.waiting, c)
	s.work()
}

// work works on what waits, as far as there are places.
func (s *server) work() {
	m := s.model
	for s.running < m.pattern.Places && len(s.waiting) > 0 {
		c := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.running++
		took := time.Duration(float64(workTime) * math.Exp(workSpread*m.random.NormFloat64()-workSpread*workSpread/2))
		m.clock.after(took, func() {
			s.running--
			calls := s.running + len(s.waiting)
			s.work()
			m.clock.after(nearby, func() {
				c.entry.placer.Loaded(m.clock.now, &c.choice, calls)
				c.entry.finish(c, placer.EndingWell)
				m.answered(c)
			})
		})
	}
}
