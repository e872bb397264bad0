package demonstrator

import (
	"net"
	"strconv"
	"sync"

	"github.com/juju/errors"
)

// ports reserves loopback addresses before the processes start, since the
// settings of each process contain the addresses of others. It is safe for
// concurrent use.
type ports struct {
	mu sync.Mutex
	// reserved holds the open listeners that no process uses yet, by address;
	// guarded by mu.
	reserved map[string]net.Listener
	// next is the next port, or 0 for any free port; guarded by mu.
	next int
}

// newPorts returns a ports that reserves consecutive ports from first, or any
// free ports if first is 0.
func newPorts(first int) *ports {
	return &ports{reserved: make(map[string]net.Listener), next: first}
}

// reserve opens a listener and returns its address. The listener stays open
// until listen returns it or close closes it.
func (p *ports) reserve() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(p.next)))
	if err != nil {
		return "", errors.Trace(err)
	}
	if p.next != 0 {
		p.next++
	}
	p.reserved[l.Addr().String()] = l
	return l.Addr().String(), nil
}

// listen returns the reserved listener of an address, or a new one if the
// reserved one was already returned, as for a process that restarts.
func (p *ports) listen(address string) (net.Listener, error) {
	p.mu.Lock()
	l, ok := p.reserved[address]
	delete(p.reserved, address)
	p.mu.Unlock()
	if ok {
		return l, nil
	}
	return net.Listen("tcp", address)
}

// close closes the reserved listeners that listen has not returned.
func (p *ports) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.reserved {
		_ = l.Close()
	}
}
