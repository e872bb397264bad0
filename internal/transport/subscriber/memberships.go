package subscriber

import (
	"maps"
	"slices"
	"sync"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/permitter"
	"marigoldpoint.example/marigoldpoint/internal/coordination/registrar"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// memberships holds what a companion renews: its memberships, their residency
// and load, and the permits it holds.
type memberships struct {
	// signal wakes the sending goroutine.
	signal chan struct{}

	mu sync.Mutex
	// renewals holds the latest renewal of each name that was not sent yet;
	// guarded by mu.
	renewals map[string]registrar.Renewal
	// states holds the latest state of each name; guarded by mu.
	states map[string]registrar.ServerState
	// sent holds the state of each name that was told over sentOn; guarded by
	// mu. Another connection begins with the whole: what was written to a
	// connection that broke may never have arrived.
	sent   map[string]registrar.ServerState
	sentOn *messenger.Conn
	// permits holds the numbers of the permits in use, by backend server;
	// guarded by mu.
	permits map[string][]uint64
	// sequence numbers states and heartbeats; guarded by mu. It begins at the
	// wall clock, so that a companion that restarts beside a living backend
	// server, and so keeps its epoch, goes on above its predecessor.
	sequence uint64
}

func newMemberships(now func() time.Time) *memberships {
	return &memberships{
		signal:   make(chan struct{}, 1),
		renewals: make(map[string]registrar.Renewal),
		states:   make(map[string]registrar.ServerState),
		sent:     make(map[string]registrar.ServerState),
		permits:  make(map[string][]uint64),
		sequence: uint64(now().UnixMicro()),
	}
}

func (m *memberships) wake() {
	select {
	case m.signal <- struct{}{}:
	default:
	}
}

// renew notes a renewal; one that waits for the same name is replaced.
func (m *memberships) renew(r registrar.Renewal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.renewals[r.Name] = r
	m.wake()
}

// again has every membership renewed at once with what was last told of it: the
// control host is another one, or a new leader must hear of the permits.
func (m *memberships) again() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, s := range m.states {
		if _, waits := m.renewals[name]; !waits {
			m.renewals[name] = registrar.Renewal{Name: name, Epoch: s.Epoch, Load: s.Load, Resident: s.Resident}
		}
	}
	m.wake()
}

// end forgets a membership, and returns false where it is not known: it was
// replaced already.
func (m *memberships) end(name string, epoch uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, known := m.states[name]
	r, waits := m.renewals[name]
	if known && s.Epoch > epoch || waits && r.Epoch > epoch || !known && !waits {
		return false
	}
	delete(m.states, name)
	delete(m.sent, name)
	delete(m.renewals, name)
	return true
}

// hold notes that a permit is in use.
func (m *memberships) hold(g permitter.Grant) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !slices.Contains(m.permits[g.Companion], g.Number) {
		m.permits[g.Companion] = append(m.permits[g.Companion], g.Number)
	}
}

// release notes that a permit is in use no longer.
func (m *memberships) release(g permitter.Grant) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.permits[g.Companion] = slices.DeleteFunc(m.permits[g.Companion], func(n uint64) bool { return n == g.Number })
}

// take returns the heartbeats to send over a connection, by name.
func (m *memberships) take(on *messenger.Conn, term uint64) []registrar.Heartbeat {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.sentOn != on {
		m.sentOn = on
		clear(m.sent)
	}
	var beats []registrar.Heartbeat
	for _, name := range slices.Sorted(maps.Keys(m.renewals)) {
		r := m.renewals[name]
		m.sequence++
		state := registrar.ServerState{Name: name, Epoch: r.Epoch, Sequence: m.sequence, Load: r.Load}
		state.Resident = slices.Compact(slices.Sorted(slices.Values(r.Resident)))
		h := registrar.Heartbeat{
			Name: name, Epoch: r.Epoch, Term: term, Sequence: m.sequence, Permits: slices.Clone(m.permits[name]),
		}
		// A busy backend server's load differs at each heartbeat. Told exactly, it
		// would travel twice a second to its control host and on to all the others,
		// none of which passes on more than its level.
		if sent, told := m.sent[name]; !told || !state.Equivalent(sent) {
			change := state.ChangeFrom(sent)
			h.Report = &change
			m.sent[name] = state
		}
		m.states[name] = state
		beats = append(beats, h)
	}
	clear(m.renewals)
	return beats
}
