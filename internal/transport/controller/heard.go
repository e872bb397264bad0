package controller

import "sync"

// heard remembers the latest heartbeat of each backend server that came to this host.
// Routine heartbeats never enter the log, so that no other memory tells one that was
// overtaken on its way: it would renew the lease of a server that has crashed since.
type heard struct {
	mu     sync.Mutex
	latest map[string]heartbeat
}

type heartbeat struct {
	incarnation string
	sequence    uint64
}

// heardLimit bounds what is remembered: some times the backend servers of the largest
// deployment planned.
const heardLimit = 50_000

// note takes a heartbeat in, and reports whether it is none that was overtaken by a
// later one of the same life. A sequence of 0 tells nothing.
func (h *heard) note(name, incarnation string, sequence uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	last := h.latest[name]
	if last.incarnation == incarnation && sequence > 0 && sequence < last.sequence {
		return false
	}
	if h.latest == nil || len(h.latest) >= heardLimit {
		h.latest = make(map[string]heartbeat)
	}
	h.latest[name] = heartbeat{incarnation: incarnation, sequence: sequence}
	return true
}
