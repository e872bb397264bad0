package demonstrator

import (
	"net"
	"sync"

	"github.com/juju/errors"
)

// ports reserves loopback addresses before the processes start, since each
// process's settings name the others' addresses.
type ports struct {
	mu sync.Mutex
	// reserved holds the open listeners not yet taken, by address; guarded by mu.
	reserved map[string]net.Listener
}

func newPorts() *ports { return &ports{reserved: make(map[string]net.Listener)} }

// reserve returns a free address that stays taken until listen.
func (p *ports) reserve() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Trace(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
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
