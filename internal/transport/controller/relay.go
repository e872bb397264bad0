package controller

import (
	"maps"
	"slices"
	"sync"

	"marigoldpoint.example/marigoldpoint/internal/coordination/registrar"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// relay collects the renewals of the companions connected to this host, and tracks the
// sends to other processes. Its methods are safe for concurrent use.
type relay struct {
	mu sync.Mutex
	// renewals holds the renewals of the current tick by member name; guarded by mu.
	renewals map[string]registrar.LeaseRenewal
	// companions holds the connection of each backend server's last renewal; guarded by
	// mu.
	companions map[string]*messenger.Conn
	// digestConns holds the connection last used for digests to each other host; guarded
	// by mu.
	digestConns map[string]*messenger.Conn
	// inProgress names the targets of sends in progress; guarded by mu.
	inProgress map[string]struct{}
	// senders tracks the goroutines of sends in progress.
	senders sync.WaitGroup
}

func newRelay() *relay {
	return &relay{
		renewals:    make(map[string]registrar.LeaseRenewal),
		companions:  make(map[string]*messenger.Conn),
		digestConns: make(map[string]*messenger.Conn),
		inProgress:  make(map[string]struct{}),
	}
}

// renew adds a renewal to the next batch.
func (r *relay) renew(conn *messenger.Conn, l registrar.LeaseRenewal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old, ok := r.renewals[l.Name]; !ok || old.Epoch <= l.Epoch {
		r.renewals[l.Name] = l
	}
	r.companions[l.Name] = conn
}

// takeRenewals returns the renewals since the last call, sorted by name.
func (r *relay) takeRenewals() []registrar.LeaseRenewal {
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

// forgetConn drops the companions of a connection that has ended.
func (r *relay) forgetConn(conn *messenger.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.companions, func(_ string, c *messenger.Conn) bool { return c == conn })
}

// connectedBackends returns the sorted names of the backend servers whose companions are
// connected here.
func (r *relay) connectedBackends() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Sorted(maps.Keys(r.companions))
}

// replaceConn records conn as the connection used for digests to a host, and reports
// whether it differs from the previous one.
func (r *relay) replaceConn(address string, conn *messenger.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.digestConns[address] == conn {
		return false
	}
	r.digestConns[address] = conn
	return true
}

// sendAsync calls f in a new goroutine, unless a send to the same target is in progress:
// a host that does not answer must not block sends to others. A skipped send is
// compensated by the next one.
func (r *relay) sendAsync(address string, f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, busy := r.inProgress[address]; busy {
		delete(r.digestConns, address)
		return
	}
	r.inProgress[address] = struct{}{}
	r.senders.Add(1)
	go func() {
		defer r.senders.Done()
		defer func() {
			r.mu.Lock()
			delete(r.inProgress, address)
			r.mu.Unlock()
		}()
		f()
	}()
}
