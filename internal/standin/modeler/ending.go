package modeler

import (
	"fmt"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

const (
	// allowedEnds is the number of lives that one request may end before it must be kept
	// from further ones, and touchTime the time until all entries in touch know of it.
	allowedEnds = 3
	touchTime   = 3 * time.Second
)

// sendEnding has the caller of the request that ends backend servers send it, again and
// again.
func (m *model) sendEnding() {
	since := m.clock.now.Sub(m.start) - m.pattern.EndingAt
	if since >= m.pattern.EndingTime {
		return
	}
	k := &m.pattern.Kinds[0]
	c := &call{kind: k, came: m.clock.now, prompt: k.Prompt, answer: k.Answer, ends: true}
	if k.Prompt > 0 {
		c.adapter = "a0"
	}
	m.ask(c)
	m.clock.after(time.Duration(m.random.ExpFloat64()/m.pattern.Ending*float64(time.Second)), m.sendEnding)
}

// reaches counts the sendings of that request which reach a backend server after all
// entries must know of it.
func (m *model) reaches(c *call) {
	if c.ends && m.result.Ended >= allowedEnds && m.clock.now.Sub(m.allowedAt) > touchTime {
		m.result.Repeated++
	}
}

// ended takes note that a backend server has ended; it starts in another life after a time.
func (m *model) ended(name string, start func()) {
	if m.result.Ended++; m.result.Ended == allowedEnds {
		m.allowedAt = m.clock.now
	}
	m.clock.after(m.pattern.Restart, func() {
		member := m.memberOf(name)
		m.lives++
		member.Spec.Incarnation = fmt.Sprintf("i-%s-%d", name, m.lives)
		start()
		m.announce()
	})
}

func (m *model) memberOf(name string) *tracker.Member {
	for i := range m.members {
		if m.members[i].Name == name {
			return &m.members[i]
		}
	}
	panic("modeler: no member " + name)
}

// rest returns the time after the last call until all have ended: callers wait once, or
// come back once where servers end under their calls.
func (m *model) rest() time.Duration {
	if m.pattern.Ending > 0 {
		return patience + comeBack + patience
	}
	return patience
}
