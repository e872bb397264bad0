package controller

import (
	"maps"
	"slices"
	"sync"

	"marigoldpoint.example/marigoldpoint/internal/coordination/registrar"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// relay gathers what this host passes on for the companions connected to it.
type relay struct {
	mu sync.Mutex
	// renewals holds those of the present tick, by name; guarded by mu.
	renewals map[string]registrar.LeaseRenewal
	// companions holds the connection from which each backend server's last
	// renewal came; guarded by mu.
	companions map[string]*messenger.Conn
	// conns holds the connection to each other host that was last used for
	// digests; guarded by mu.
	conns map[string]*messenger.Conn
	// sending names the hosts to which a send is under way; guarded by mu.
	sending map[string]struct{}
	// senders counts the sends under way.
	senders sync.WaitGroup
}

func newRelay() *relay {
	return &relay{
		renewals:   make(map[string]registrar.LeaseRenewal),
		companions: make(map[string]*messenger.Conn),
		conns:      make(map[string]*messenger.Conn),
		sending:    make(map[string]struct{}),
	}
}

// renew notes a renewal for the next batch.
func (r *relay) renew(conn *messenger.Conn, l registrar.LeaseRenewal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old, ok := r.renewals[l.Name]; !ok || old.Epoch <= l.Epoch {
		r.renewals[l.Name] = l
	}
	r.companions[l.Name] = conn
}

// take returns the renewals since the last call, sorted by name.
func (r *relay) take() []registrar.LeaseRenewal {
	r.mu.Lock()
	defer r.mu.Unlock()
	batch := make([]registrar.LeaseRenewal, 0, len(r.renewals))
	for _, name := range slices.Sorted(maps.Keys(r.renewals)) {
		batch = append(batch, r.renewals[name])
	}
	clear(r.renewals)
	return batch
}

// companion returns the connection of a backend server's companion, or nil.
func (r *relay) companion(name string) *messenger.Conn {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.companions[name]
}

// forget drops the companions on a connection that ended.
func (r *relay) forget(conn *messenger.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.companions, func(_ string, c *messenger.Conn) bool { return c == conn })
}

// names returns the backend servers whose companions are connected here.
func (r *relay) names() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.companions))
}

// newConn reports whether conn is another connection to a host than the one
// last used.
func (r *relay) newConn(address string, conn *messenger.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conns[address] == conn {
		return false
	}
	r.conns[address] = conn
	return true
}

// send calls f in a goroutine of its own, unless one for the same host is under
// way: a host that does not answer must not hold up the others. What is left
// out is made good by the next one.
func (r *relay) send(address string, f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, busy := r.sending[address]; busy {
		delete(r.conns, address)
		return
	}
	r.sending[address] = struct{}{}
	r.senders.Add(1)
	go func() {
		defer r.senders.Done()
		defer func() {
			r.mu.Lock()
			delete(r.sending, address)
			r.mu.Unlock()
		}()
		f()
	}()
}
