package modeler

import (
	"fmt"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/suspecter"
	"marigoldpoint.example/marigoldpoint/internal/state/identifier"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

const (
	// allowedEnds is the number of lives that one request may end before it must be kept
	// from further ones, and touchTime the time until all entries in touch know of it.
	allowedEnds = 3
	touchTime   = 3 * time.Second
	// noticeTime is the time until an entry knows that a backend server has ended,
	// acceptTime until what it tells is accepted, and fanoutTime until all entries know.
	noticeTime = 21 * time.Millisecond
	acceptTime = 5 * time.Millisecond
	fanoutTime = 25 * time.Millisecond
)

// sendEnding has the caller of the request that ends backend servers send it, again and
// again.
func (m *model) sendEnding() {
	since := m.clock.now.Sub(m.start) - m.pattern.CrashesAt
	if since >= m.pattern.CrashesFor {
		return
	}
	k := &m.pattern.Kinds[0]
	c := &call{kind: k, came: m.clock.now, prompt: k.Prompt, answer: k.Answer, ends: true, same: identityOf("ends")}
	if k.Prompt > 0 {
		c.adapter = "a0"
	}
	m.ask(c)
	m.clock.after(time.Duration(m.random.ExpFloat64()/m.pattern.CrashRate*float64(time.Second)), m.sendEnding)
}

// reaches counts the sendings of that request which reach a backend server after all
// entries must know of it.
func (m *model) reaches(c *call) {
	if c.ends && m.result.Ended >= allowedEnds && m.clock.now.Sub(m.allowedAt) > touchTime {
		m.result.Repeated++
	}
}

// ended takes note that a backend server has ended, with what was there; it starts in
// another life after a time.
func (m *model) ended(name string, there []*call, start func()) {
	m.blame(name, there)
	for _, c := range there {
		m.clock.after(nearby, func() { c.entry.broke(c) })
	}
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

// blame has the entries tell which of their requests were there, each for itself.
func (m *model) blame(name string, there []*call) {
	if m.without(MechanismQuarantine) {
		return
	}
	life := suspecter.Life(name, m.memberOf(name).Spec.Incarnation)
	for _, e := range m.entries {
		ends := storer.CountEnds{Life: life}
		for _, c := range there {
			if c.entry == e && !c.over {
				ends.Requests = append(ends.Requests, storer.EndedRequest{Name: c.same.String(), Progressed: c.began})
			}
		}
		if len(ends.Requests) == 0 {
			continue
		}
		m.clock.after(noticeTime, func() {
			e.suspects.Ended(m.clock.now, ends)
			m.tell(ends)
		})
	}
}

// tell has the replicated state take a change in, and all entries told of it.
func (m *model) tell(c storer.Command) {
	m.clock.after(acceptTime, func() {
		data, err := storer.Encode(storer.Envelope{Command: c})
		if err != nil {
			panic("modeler: " + err.Error())
		}
		m.index++
		m.control.Apply(m.index, data)
		m.clock.after(fanoutTime, m.announce)
	})
}

// quarantine refuses a call that is kept from backend servers.
func (e *entry) quarantine(c *call) bool {
	m := e.model
	if m.without(MechanismQuarantine) {
		return false
	}
	if _, is := e.suspects.Quarantine(m.view, m.clock.now, c.same); !is {
		return false
	}
	if c.ends {
		m.result.Quarantined++
	} else {
		m.result.Innocent++
	}
	m.refuse(c)
	return true
}

// survived notes that a run has answered a call.
func (e *entry) survived(c *call) {
	if !e.model.without(MechanismQuarantine) && e.suspects.RecordAnswer(e.model.view, c.same) {
		e.model.tell(storer.ClearSuspects{Names: []string{c.same.String()}})
	}
}

func identityOf(name string) identifier.Identity {
	return identifier.Identify(identifier.Request{Caller: name})
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
	if m.pattern.CrashRate > 0 {
		return patience + comeBack + patience
	}
	return patience
}
