package modeler

import (
	"math"
	"slices"
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
	name    string
	running int
	waiting []*call
	// life rises with each start, and down tells that the server has ended.
	life int
	down bool
	// working are the calls that it works on.
	working []*call
}

// endTime is the time from the beginning of a run to the end of the server by it.
const endTime = 20 * time.Millisecond

// take takes a call, or turns it away.
func (s *server) take(c *call) {
	m := s.model
	if s.down {
		m.clock.after(nearby, func() { c.entry.unreached(c) })
		return
	}
	m.reaches(c)
	if len(s.waiting) >= m.pattern.Queue {
		m.result.TurnedAway++
		m.clock.after(nearby, func() {
			c.entry.placer.TurnedAway(m.clock.now, &c.choice)
			c.entry.finish(c, placer.OutcomeNotRun)
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
		s.working = append(s.working, c)
		life := s.life
		if c.ends {
			m.clock.after(endTime, func() { s.end(life) })
			continue
		}
		took := time.Duration(float64(workTime) * math.Exp(workSpread*m.random.NormFloat64()-workSpread*workSpread/2))
		m.clock.after(took, func() {
			if life != s.life {
				return
			}
			s.running--
			s.working = slices.DeleteFunc(s.working, func(o *call) bool { return o == c })
			calls := s.running + len(s.waiting)
			s.work()
			m.clock.after(nearby, func() {
				c.entry.placer.ReportLoad(m.clock.now, &c.choice, calls)
				c.entry.survived(c)
				c.entry.finish(c, placer.OutcomeSuccess)
				m.answered(c)
			})
		})
	}
}

// end ends one life of the server, and all that it has; it starts anew after a time.
func (s *server) end(life int) {
	if life != s.life {
		return
	}
	m := s.model
	s.life++
	s.down = true
	there := slices.Concat(s.working, s.waiting)
	s.working, s.waiting, s.running = nil, nil, 0
	m.ended(s.name, there, func() { s.down = false })
}
