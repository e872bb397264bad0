package demonstrator

import (
	"net"
	"strconv"
	"sync"

	"github.com/juju/errors"
)

// ports reserves loopback addresses before the processes start, since each
// process's settings name the others' addresses.
type ports struct {
	mu sync.Mutex
	// reserved holds the open listeners not yet taken, by address; guarded by mu.
	reserved map[string]net.Listener
	// next is the next port, or 0 for any free ones; guarded by mu.
	next int
}

// newPorts reserves ports from first on, or any free ones where first is 0.
func newPorts(first int) *ports {
	return &ports{reserved: make(map[string]net.Listener), next: first}
}

// reserve returns a free address that stays taken until listen.
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

// listen hands out the reserved listener, or opens the address anew for a
// process that restarts.
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

// close frees what was reserved and never taken.
func (p *ports) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.reserved {
		_ = l.Close()
	}
}
