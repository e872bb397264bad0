package controller

import "sync"

// lastHeartbeats holds the last heartbeat of each backend server received by this host.
// Heartbeats without changes are not in the log, so only this record can identify one
// that arrives after a later one. Such a heartbeat would renew the lease of a server that
// may have crashed since. Its methods are safe for concurrent use.
type lastHeartbeats struct {
	mu     sync.Mutex
	latest map[string]heartbeat
}

type heartbeat struct {
	incarnation string
	sequence    uint64
}

// maxLastHeartbeats bounds the number of entries: several times the backend servers of
// the largest planned deployment.
const maxLastHeartbeats = 50_000

// observe records a heartbeat. It returns false if a later one of the same incarnation
// was received before. A sequence of 0 means that the sender does not number its
// heartbeats.
func (h *lastHeartbeats) observe(name, incarnation string, sequence uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	last := h.latest[name]
	if last.incarnation == incarnation && sequence > 0 && sequence < last.sequence {
		return false
	}
	if h.latest == nil || len(h.latest) >= maxLastHeartbeats {
		h.latest = make(map[string]heartbeat)
	}
	h.latest[name] = heartbeat{incarnation: incarnation, sequence: sequence}
	return true
}
