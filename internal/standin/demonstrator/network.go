package demonstrator

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

// network carries the connections of a deployment through relays, one for each
// pair of a dialling process and an address, and injects network faults: it can
// hold back or delay what a process sends or receives, and blackhole connections
// as a middlebox does that drops connection state.
//
// Data that is held back is delivered after the cut ends, as TCP does by
// retransmission. network is safe for concurrent use.
type network struct {
	// done is closed by close.
	done chan struct{}
	// pumps counts the goroutines of the relays.
	pumps sync.WaitGroup

	mu sync.Mutex
	// owners maps each listening address to its process; guarded by mu.
	owners map[string]string
	// relays holds the open relays by route; guarded by mu.
	relays map[route]*relay
	// cuts holds the directions cut for each process; guarded by mu.
	cuts map[string]cut
	// delays holds the delay of data sent to each process; guarded by mu.
	delays map[string]time.Duration
	// changed is closed and replaced when cuts or delays change; guarded by mu.
	changed chan struct{}
	closed  bool // guarded by mu
	// beforeDial, if not nil, is called with the dialling and the dialled process
	// before each dial, so that a test can act at that point; guarded by mu.
	beforeDial func(from, to string)
}

// route identifies a relay by the dialling process and the dialled address.
type route struct {
	from    string
	address string
}

// cut selects the directions in which the traffic of one process is held back:
// both for a partition, one for an asymmetric link.
type cut struct {
	// outbound holds back what the process sends, inbound what others send to it.
	outbound bool
	inbound  bool
}

func newNetwork() *network {
	return &network{
		done:    make(chan struct{}),
		owners:  make(map[string]string),
		relays:  make(map[route]*relay),
		cuts:    make(map[string]cut),
		delays:  make(map[string]time.Duration),
		changed: make(chan struct{}),
	}
}

// setOwner records that process listens on an address.
func (n *network) setOwner(address, process string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.owners[address] = process
}

// dialFrom returns the dial function of a process.
func (n *network) dialFrom(process string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		n.mu.Lock()
		to, beforeDial := n.owners[address], n.beforeDial
		n.mu.Unlock()
		if beforeDial != nil {
			beforeDial(process, to)
		}
		// The handshake needs both directions, so a cut of either blocks it.
		if err := n.waitUncut(ctx, process, to, true); err != nil {
			return nil, errors.Trace(err)
		}
		r, err := n.relay(route{from: process, address: address}, to)
		if err != nil {
			return nil, errors.Trace(err)
		}
		return r.dial(ctx)
	}
}

// openRelay opens a relay to an address and returns the relay's own address. It
// serves clients that dial by address and not through dialFrom, such as that of a
// companion for its engine.
func (n *network) openRelay(from, to, address string) (string, error) {
	r, err := n.relay(route{from: from, address: address}, to)
	if err != nil {
		return "", errors.Trace(err)
	}
	return r.listener.Addr().String(), nil
}

// relay returns the relay of a route, and opens it on first use.
func (n *network) relay(at route, to string) (*relay, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if r, ok := n.relays[at]; ok {
		return r, nil
	}
	if n.closed {
		return nil, errors.New("the network is closed")
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Trace(err)
	}
	r := &relay{network: n, listener: l, from: at.from, to: to, target: at.address, pendingFar: make(chan net.Conn, 1)}
	n.relays[at] = r
	n.pumps.Go(r.accept)
	return r, nil
}

// onDial sets the function that is called before each dial; nil removes it.
func (n *network) onDial(f func(from, to string)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.beforeDial = f
}

// setCut holds back traffic of a process; the zero cut ends this.
func (n *network) setCut(process string, c cut) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[process] = c
	n.signalChange()
}

// setDelay delays data sent to a process by d per read of a relay; 0 ends this.
func (n *network) setDelay(process string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delays[process] = d
	n.signalChange()
}

// signalChange wakes the goroutines in waitUncut. The caller holds mu.
func (n *network) signalChange() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// blackhole makes the open connections between matching processes discard all
// data in both directions, including the end of the connection. New connections
// are not affected. It returns the number of connections.
func (n *network) blackhole(match func(from, to string) bool) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for _, r := range n.relays {
		if match(r.from, r.to) {
			count += r.blackhole()
		}
	}
	return count
}

// waitUncut waits until no cut blocks traffic from sender to receiver and, with
// bothWays, from receiver to sender. It returns an error when ctx ends or the
// network is closed.
func (n *network) waitUncut(ctx context.Context, sender, receiver string, bothWays bool) error {
	for {
		n.mu.Lock()
		s, r, changed := n.cuts[sender], n.cuts[receiver], n.changed
		n.mu.Unlock()
		blocked := s.outbound || r.inbound || bothWays && (s.inbound || r.outbound)
		if !blocked {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Annotate(ctx.Err(), "no answer from the network")
		case <-n.done:
			return errors.New("the network is closed")
		}
	}
}

// delay sleeps for the delay of data sent to receiver, or until the network is
// closed.
func (n *network) delay(receiver string) {
	n.mu.Lock()
	d := n.delays[receiver]
	n.mu.Unlock()
	if d == 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-n.done:
	}
}

// close closes all relays with their connections and waits for their goroutines.
// Further calls do nothing.
func (n *network) close() {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return
	}
	n.closed = true
	close(n.done)
	for _, r := range n.relays {
		r.close()
	}
	n.mu.Unlock()
	n.pumps.Wait()
}
