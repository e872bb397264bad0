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

// memberships holds what the heartbeats of a companion contain: its memberships, their
// residency and load, and the permits in use.
type memberships struct {
	// signal wakes the sending goroutine.
	signal chan struct{}

	mu sync.Mutex
	// renewals holds the latest unsent renewal by name; guarded by mu.
	renewals map[string]registrar.Renewal
	// states holds the latest state by name; guarded by mu.
	states map[string]registrar.ServerState
	// sent holds the last state by name that was sent over sentConn; guarded by mu. On
	// another connection the full state is sent first, since what was written to a failed
	// connection may not have arrived.
	sent     map[string]registrar.ServerState
	sentConn *messenger.Conn
	// permits holds the numbers of the permits in use, by backend server; guarded by mu.
	permits map[string][]uint64
	// requests holds the requests for permits that have not ended; guarded by mu.
	requests []permitter.Request
	// sequence numbers states and heartbeats; guarded by mu. It starts at the wall clock in
	// microseconds, so that the numbers of a companion that restarts while its backend
	// server runs, and so keeps its epoch, are higher than its predecessor's.
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

// renew queues a renewal, replacing an unsent one of the same name.
func (m *memberships) renew(r registrar.Renewal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.renewals[r.Name] = r
	m.wake()
}

// renewAll queues a renewal of every membership with its latest state: the control host has
// changed, or a new leader needs the permits in use.
func (m *memberships) renewAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, s := range m.states {
		if _, waits := m.renewals[name]; !waits {
			m.renewals[name] = registrar.Renewal{Name: name, Epoch: s.Epoch, Load: s.Load, Resident: s.Resident}
		}
	}
	m.wake()
}

// remove deletes a membership, and returns false if there is none of this epoch: it was
// replaced already.
func (m *memberships) remove(name string, epoch uint64) bool {
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

// beginRequest records that a permit is requested and returns the request with its place
// among the heartbeats.
func (m *memberships) beginRequest(r permitter.Request) permitter.Request {
	m.mu.Lock()
	defer m.mu.Unlock()
	r.Sequence = m.sequence
	m.requests = append(m.requests, r)
	return r
}

// endRequest records that a permit is no longer requested.
func (m *memberships) endRequest(r permitter.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if i := slices.Index(m.requests, r); i >= 0 {
		m.requests = slices.Delete(m.requests, i, i+1)
	}
}

// requestedLocked returns the sorted versions for which permits are requested for a backend
// server. The caller holds mu.
func (m *memberships) requestedLocked(name string) []string {
	var versions []string
	for _, r := range m.requests {
		if r.Companion == name {
			versions = append(versions, r.Version)
		}
	}
	slices.Sort(versions)
	return slices.Compact(versions)
}

// addPermit records that a permit is in use.
func (m *memberships) addPermit(g permitter.Grant) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !slices.Contains(m.permits[g.Companion], g.Number) {
		m.permits[g.Companion] = append(m.permits[g.Companion], g.Number)
	}
}

// removePermit records that a permit is no longer in use.
func (m *memberships) removePermit(g permitter.Grant) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.permits[g.Companion] = slices.DeleteFunc(m.permits[g.Companion], func(n uint64) bool { return n == g.Number })
}

// take returns the heartbeats to send over a connection, sorted by name, and clears the
// queue.
func (m *memberships) take(conn *messenger.Conn, term uint64) []registrar.Heartbeat {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.sentConn != conn {
		m.sentConn = conn
		clear(m.sent)
	}
	var beats []registrar.Heartbeat
	for _, name := range slices.Sorted(maps.Keys(m.renewals)) {
		r := m.renewals[name]
		m.sequence++
		state := registrar.ServerState{Name: name, Epoch: r.Epoch, Sequence: m.sequence, Load: r.Load}
		state.Resident = slices.Compact(slices.Sorted(slices.Values(r.Resident)))
		h := registrar.Heartbeat{LeaseRenewal: registrar.LeaseRenewal{
			Name: name, Epoch: r.Epoch, Term: term, Sequence: m.sequence, Permits: slices.Clone(m.permits[name]),
			Requested: m.requestedLocked(name),
		}}
		// A busy backend server's load differs at each heartbeat. If every difference were
		// reported, it would be sent twice a second to its control host and from there to
		// all the others, which pass on only its level.
		if sent, known := m.sent[name]; !known || !state.Equivalent(sent) {
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
