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
	// quarantineThreshold is the number of incarnations that one request may crash before it
	// must be quarantined. quarantineDelay is the time until all connected entries must
	// enforce the quarantine.
	quarantineThreshold = 3
	quarantineDelay     = 3 * time.Second
	// detectionDelay is the time until an entry detects the crash of a backend server,
	// commitDelay the time until its report is committed, and distributionDelay the time
	// until all entries have received it.
	detectionDelay    = 21 * time.Millisecond
	commitDelay       = 5 * time.Millisecond
	distributionDelay = 25 * time.Millisecond
)

// sendCrashRequest sends the request that crashes backend servers and schedules the next
// one, at the mean rate Pattern.CrashRate, until Pattern.CrashesFor has passed.
func (m *model) sendCrashRequest() {
	since := m.clock.now.Sub(m.start) - m.pattern.CrashesAt
	if since >= m.pattern.CrashesFor {
		return
	}
	k := &m.pattern.Kinds[0]
	c := &call{kind: k, firstAsked: m.clock.now, prompt: k.Prompt, answer: k.Answer, crashesServer: true, identity: identityOf("ends")}
	if k.Prompt > 0 {
		c.adapter = "a0"
	}
	m.sendCall(c)
	m.clock.after(time.Duration(m.random.ExpFloat64()/m.pattern.CrashRate*float64(time.Second)), m.sendCrashRequest)
}

// countRepeated counts the call if it is the crash request and reaches a backend server
// after all entries must have quarantined it.
func (m *model) countRepeated(c *call) {
	if c.crashesServer && m.result.Ended >= quarantineThreshold && m.clock.now.Sub(m.thresholdAt) > quarantineDelay {
		m.result.Repeated++
	}
}

// serverCrashed handles the crash of a backend server with the calls it was processing.
// After Pattern.Restart it calls start and distributes the new incarnation.
func (m *model) serverCrashed(name string, lost []*call, start func()) {
	m.reportCrash(name, lost)
	for _, c := range lost {
		m.clock.after(localDelay, func() { c.entry.connectionBroken(c) })
	}
	if m.result.Ended++; m.result.Ended == quarantineThreshold {
		m.thresholdAt = m.clock.now
	}
	m.clock.after(m.pattern.Restart, func() {
		member := m.memberOf(name)
		m.incarnations++
		member.Spec.Incarnation = fmt.Sprintf("i-%s-%d", name, m.incarnations)
		start()
		m.distributeView()
	})
}

// reportCrash has each entry report which of its requests were at the crashed server.
func (m *model) reportCrash(name string, lost []*call) {
	if m.without(MechanismQuarantine) {
		return
	}
	life := suspecter.Life(name, m.memberOf(name).Spec.Incarnation)
	for _, e := range m.entries {
		ends := storer.CountEnds{Life: life}
		for _, c := range lost {
			if c.entry == e && !c.finished {
				ends.Requests = append(ends.Requests, storer.EndedRequest{Name: c.identity.String(), Progressed: c.started})
			}
		}
		if len(ends.Requests) == 0 {
			continue
		}
		m.clock.after(detectionDelay, func() {
			e.suspects.Ended(m.clock.now, ends)
			m.applyCommand(ends)
		})
	}
}

// applyCommand applies a command to the replicated state and distributes the new view to
// all entries.
func (m *model) applyCommand(c storer.Command) {
	m.clock.after(commitDelay, func() {
		data, err := storer.Encode(storer.Envelope{Command: c})
		if err != nil {
			panic("modeler: " + err.Error())
		}
		m.index++
		m.control.Apply(m.index, data)
		m.clock.after(distributionDelay, m.distributeView)
	})
}

// refuseQuarantined refuses a call whose request is quarantined and reports whether it
// did.
func (e *entry) refuseQuarantined(c *call) bool {
	m := e.model
	if m.without(MechanismQuarantine) {
		return false
	}
	if _, is := e.suspects.Quarantine(m.view, m.clock.now, c.identity); !is {
		return false
	}
	if c.crashesServer {
		m.result.Quarantined++
	} else {
		m.result.Innocent++
	}
	m.refuse(c)
	return true
}

// recordSuccess records that a backend server has answered a call, which clears its
// request of suspicion.
func (e *entry) recordSuccess(c *call) {
	if !e.model.without(MechanismQuarantine) && e.suspects.RecordAnswer(e.model.view, c.identity) {
		e.model.applyCommand(storer.ClearSuspects{Names: []string{c.identity.String()}})
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

// drainTime returns the time after the last call until all calls have ended. Callers wait
// for one timeout, or retry once where their backend servers crash.
func (m *model) drainTime() time.Duration {
	if m.pattern.CrashRate > 0 {
		return firstEventTimeout + callerRetryDelay + firstEventTimeout
	}
	return firstEventTimeout
}
