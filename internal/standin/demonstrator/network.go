package demonstrator

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

// network carries the connections of a deployment through relays, one for each
// pair of processes, so that what happens between hosts can be produced: it may
// hold back what a host sends or is sent, slow it down, and forget connections
// as a middle box does that lost track of them.
//
// What is held back is delivered late, as TCP does once packets pass again.
type network struct {
	// done is closed by close.
	done  chan struct{}
	pumps sync.WaitGroup

	mu sync.Mutex
	// owners names the process at each address; guarded by mu.
	owners map[string]string
	// relays holds the open relays; guarded by mu.
	relays map[route]*relay
	// cuts holds the processes that are cut off; guarded by mu.
	cuts map[string]cut
	// delays slow down what is sent to a process; guarded by mu.
	delays map[string]time.Duration
	// changed is closed and replaced when cuts or delays change; guarded by mu.
	changed chan struct{}
	closed  bool // guarded by mu
	// dialling, if set, is called with the processes before each dial, so that a
	// process can be ended at that very moment; guarded by mu.
	dialling func(from, to string)
}

// route is one direction of connecting.
type route struct {
	from    string
	address string
}

// cut says what is held back of one process. Both is a partition, one alone an
// asymmetric link.
type cut struct {
	// outbound holds back what the process sends, inbound what it is sent.
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

// own tells which process listens on an address.
func (n *network) own(address, process string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.owners[address] = process
}

// dialFrom returns the dialler of a process.
func (n *network) dialFrom(process string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		n.mu.Lock()
		to, dialling := n.owners[address], n.dialling
		n.mu.Unlock()
		if dialling != nil {
			dialling(process, to)
		}
		// The packets that open a connection are lost in a cut of either way.
		if err := n.await(ctx, process, to, true); err != nil {
			return nil, errors.Trace(err)
		}
		r, err := n.relay(route{from: process, address: address}, to)
		if err != nil {
			return nil, errors.Trace(err)
		}
		return r.dial(ctx)
	}
}

// front opens a relay for clients that dial by address, such as a companion's
// to its engine, and returns the address for them.
func (n *network) front(from, to, address string) (string, error) {
	r, err := n.relay(route{from: from, address: address}, to)
	if err != nil {
		return "", errors.Trace(err)
	}
	return r.listener.Addr().String(), nil
}

// relay returns the relay of a route, opening it at its first use.
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
	r := &relay{network: n, listener: l, from: at.from, to: to, target: at.address, dialled: make(chan net.Conn, 1)}
	n.relays[at] = r
	n.pumps.Go(r.accept)
	return r, nil
}

// onDial has f called before each dial; nil ends that.
func (n *network) onDial(f func(from, to string)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dialling = f
}

// setCut cuts a process off; the zero cut mends it.
func (n *network) setCut(process string, c cut) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[process] = c
	n.change()
}

// setDelay slows down what is sent to a process; 0 ends it.
func (n *network) setDelay(process string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delays[process] = d
	n.change()
}

// change wakes who waits for a cut to end. The caller holds mu.
func (n *network) change() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// forget has all connections open now between the processes that match deliver
// nothing more either way, not even their end. New ones work. It returns the
// number of connections.
func (n *network) forget(match func(from, to string) bool) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for _, r := range n.relays {
		if match(r.from, r.to) {
			count += r.forget()
		}
	}
	return count
}

// await waits until what sender sends receiver passes, with bothWays also the
// opposite.
func (n *network) await(ctx context.Context, sender, receiver string, bothWays bool) error {
	for {
		n.mu.Lock()
		s, r, changed := n.cuts[sender], n.cuts[receiver], n.changed
		n.mu.Unlock()
		held := s.outbound || r.inbound || bothWays && (s.inbound || r.outbound)
		if !held {
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

// slow waits for the delay of what is sent to the receiver.
func (n *network) slow(receiver string) {
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

// close ends all connections and waits.
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
