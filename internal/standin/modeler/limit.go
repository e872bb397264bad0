package modeler

import (
	"slices"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/regulator"
)

const (
	// limitWindow is the span of time in which the requests at a limited backend server are
	// compared with its limit, and limitKnownAfter the time from an entry's first answer that
	// names the limit after which its requests are.
	limitWindow     = 4 * time.Second
	limitKnownAfter = 500 * time.Millisecond
	// limitsInterval is the interval at which entries receive the limits that the leader
	// schedules.
	limitsInterval = 300 * time.Millisecond
	// maxLimitRefusals is the number of backend servers that may have no turn for a call
	// before it is sent to those without a limit only.
	maxLimitRefusals = 2
)

// limited simulates the limit of requests of one backend server, and records the requests
// that reach it.
type limited struct {
	model *model
	name  string
	// inNeed is set if the backend server names a limit at some time.
	inNeed bool
	// regulator counts the requests of all entries.
	regulator regulator.Regulator
	// arrivals are the times of all requests, and informed those of the requests of entries
	// that had received an answer with a limit limitKnownAfter before. namedAt is when each
	// entry received the first one.
	arrivals, informed []time.Time
	namedAt            map[*entry]time.Time
}

// newLimited returns the limit of the i-th backend server of a service.
func (m *model) newLimited(name string, i int) *limited {
	l := &limited{model: m, name: name, inNeed: i < m.pattern.Limited, namedAt: make(map[*entry]time.Time)}
	m.limits = append(m.limits, l)
	return l
}

// limitInForce reports whether a backend server names the pattern's limit now.
func (l *limited) limitInForce() bool {
	p := &l.model.pattern
	since := l.model.clock.now.Sub(l.model.start)
	return l.inNeed && since >= p.LimitedAt && since < p.LimitedAt+p.LimitedFor
}

// notice returns what an answer of the backend server says now.
func (l *limited) notice() regulator.Notice {
	if l.model.without(MechanismLimits) {
		return regulator.Notice{}
	}
	if l.limitInForce() {
		return regulator.Notice{Kind: regulator.NoticeLimited, Rate: l.model.pattern.LimitedRate}
	}
	return regulator.Notice{Kind: regulator.NoticeUnlimited}
}

// answer passes on what the answer to a call says, to its entry and to the process that
// counts.
func (l *limited) answer(c *call) {
	n, now, sentAt := l.notice(), l.model.clock.now, c.sentAt
	if _, named := l.namedAt[c.entry]; !named && l.limitInForce() {
		l.namedAt[c.entry] = now
	}
	c.entry.placer.RecordLimit(sentAt, now, &c.choice, n)
	l.model.clock.after(localDelay, func() {
		l.regulator.Record(sentAt, l.model.clock.now, n)
		if c.kind.Prompt == 0 && n.Kind == regulator.NoticeUnlimited && l.model.counts() {
			l.model.schedule.Reserve(l.model.clock.now, regulator.Reserve{
				Server: l.name, Incarnation: c.choice.Incarnation, Ended: true, SentAgeMillis: l.model.clock.now.Sub(sentAt).Milliseconds(),
			})
		}
	})
}

// state returns the state of the limit for entries.
func (l *limited) state(incarnation string, waiting int) placer.LimitState {
	s := placer.LimitState{Name: l.name, Incarnation: incarnation}
	if limit := l.regulator.Limit(); limit.Named {
		s.Named, s.Rate = true, limit.Rate
		s.WaitMillis = int(l.regulator.Wait(l.model.clock.now, waiting).Milliseconds())
	}
	return s
}

// arrived records a request that reaches the backend server.
func (l *limited) arrived(c *call) {
	if !l.limitInForce() {
		return
	}
	now := l.model.clock.now
	l.arrivals = append(l.arrivals, now)
	if at, named := l.namedAt[c.entry]; named && now.Sub(at) >= limitKnownAfter {
		l.informed = append(l.informed, now)
	}
}

// counts reports whether the process that counts all requests, rather than each entry by
// itself, decides on a call.
func (m *model) counts() bool { return !m.without(MechanismLimits) && !m.without(MechanismCounting) }

// awaitTurn decides on a call to a backend server that limits requests. It sends the call,
// now or later, or offers it anew once the wait is known.
func (e *entry) awaitTurn(c *call, l *limited, send func()) {
	m := e.model
	if !c.choice.Limit.Named {
		send()
		return
	}
	if m.counts() {
		// A round trip to the leader.
		m.clock.after(2*remoteDelay, func() {
			r := m.schedule.Reserve(m.clock.now, regulator.Reserve{
				Server: l.name, Incarnation: c.choice.Incarnation, Rate: c.choice.Limit.Rate, Heard: c.choice.NamedLimit.Named, SlackMillis: (c.untilTarget() - c.choice.Duration).Milliseconds(), MaxWaitMillis: regulator.MaxReservedWait.Milliseconds(),
			})
			e.takeTurn(c, r, send)
		})
		return
	}
	share := e.shares[l.name]
	if share == nil {
		share = regulator.NewSchedule()
		e.shares[l.name] = share
	}
	e.takeTurn(c, share.Reserve(m.clock.now, regulator.Reserve{
		Server: l.name, Incarnation: c.choice.Incarnation, Rate: c.choice.Limit.Rate / float64(len(m.entries)), Heard: true, SlackMillis: (c.untilTarget() - c.choice.Duration).Milliseconds(), MaxWaitMillis: regulator.MaxReservedWait.Milliseconds(),
	}), send)
}

// untilTarget returns the time left until the target time.
func (c *call) untilTarget() time.Duration {
	return c.kind.Target - c.entry.model.clock.now.Sub(c.arrived)
}

// takeTurn sends a call at its turn, or offers it to other backend servers.
func (e *entry) takeTurn(c *call, r regulator.Reserved, send func()) {
	m := e.model
	wait := time.Duration(r.WaitMillis) * time.Millisecond
	if c.finished {
		return
	}
	if r.Granted {
		e.placer.PostponeTurn(m.clock.now, &c.choice, wait+c.choice.Limit.Interval())
		m.clock.after(wait, func() {
			if !c.finished {
				send()
			}
		})
		return
	}
	e.refusedTurn(c, wait)
}

// refusedTurn offers a call anew that has no turn for the given time.
func (e *entry) refusedTurn(c *call, wait time.Duration) {
	e.placer.PostponeTurn(e.model.clock.now, &c.choice, wait)
	e.finish(c, placer.OutcomeNotRun)
	c.limitRefusals++
	e.model.clock.after(busyRetryInterval, func() { e.offer(c) })
}

// distributeLimits passes the limits that the leader schedules to all entries, periodically.
func (m *model) distributeLimits() {
	limits := m.schedule.Limits(m.clock.now)
	for _, e := range m.entries {
		e.placer.SetScheduled(limits)
	}
	m.clock.after(limitsInterval, m.distributeLimits)
}

// summarizeLimits records in the result how the limits were kept and used.
func (m *model) summarizeLimits() {
	p := &m.pattern
	requests, servers := 0, 0
	for _, l := range m.limits {
		if !l.inNeed {
			continue
		}
		servers++
		requests += len(l.arrivals)
		for i, first := range l.informed {
			n, _ := slices.BinarySearchFunc(l.informed[i:], first.Add(limitWindow), time.Time.Compare)
			m.result.LimitedMost = max(m.result.LimitedMost, n)
		}
	}
	if servers > 0 {
		m.result.LimitedUse = float64(requests) / (float64(servers) * p.LimitedRate * p.LimitedFor.Seconds())
	}
}
