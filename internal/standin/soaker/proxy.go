package soaker

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/juju/errors"
)

// proxyBufferBytes is the largest number of bytes that a proxy forwards at once.
const proxyBufferBytes = 32 << 10

// proxy forwards the connections that other processes open to one process, and disturbs them. It
// is safe for concurrent use.
type proxy struct {
	listener net.Listener
	target   string
	ctx      context.Context
	cancel   context.CancelFunc
	tasks    sync.WaitGroup

	state linkState

	mu sync.Mutex
	// pairs holds the open connections; guarded by mu.
	pairs map[*pair]struct{}
}

// pair is one connection through a proxy: near is its side to the other process, far that to the
// target.
type pair struct {
	near, far net.Conn
	// silent means that the connection discards all bytes and its end. Guarded by proxy.mu.
	silent bool
}

// newProxy starts a proxy for target that accepts connections at l, which it owns.
func newProxy(l net.Listener, target string) *proxy {
	p := idleProxy(target)
	p.listener = l
	p.tasks.Go(p.accept)
	return p
}

// idleProxy returns a proxy that accepts no connections.
func idleProxy(target string) *proxy {
	p := &proxy{target: target, pairs: make(map[*pair]struct{})}
	p.state.changed = make(chan struct{})
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p
}

// disturb begins a link fault and returns a function that ends it.
func (p *proxy) disturb(e LinkEvent) (end func()) {
	p.state.add(e, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		switch e.Fault {
		case Reset:
			// A silenced connection doesn't deliver a reset either.
			if !c.silent {
				reset(c.near)
				reset(c.far)
			}
		case Silence:
			c.silent = true
		case Delay, CutInward, CutOutward:
		}
	}
	return func() { p.state.add(e, -1) }
}

// accept serves connections until the proxy is closed.
func (p *proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.tasks.Go(func() { p.serve(near) })
	}
}

// serve connects near with the target. The address of a process that doesn't run accepts
// connections and resets them.
func (p *proxy) serve(near net.Conn) {
	if p.state.resetting() {
		reset(near)
		return
	}
	far, err := (&net.Dialer{}).DialContext(p.ctx, "tcp", p.target)
	if err != nil {
		reset(near)
		return
	}
	p.join(near, far)
}

// join forwards between the two sides of a connection until both directions have ended.
func (p *proxy) join(near, far net.Conn) {
	c := &pair{near: near, far: far}
	p.mu.Lock()
	// A fault that began during the dial did not find the pair among the open ones.
	c.silent = p.state.silencing()
	p.pairs[c] = struct{}{}
	p.mu.Unlock()
	if p.state.resetting() {
		reset(near)
		reset(far)
	}
	stop := context.AfterFunc(p.ctx, func() {
		reset(near)
		reset(far)
	})
	defer stop()
	var both sync.WaitGroup
	both.Go(func() { p.pump(c, far, near, CutInward) })
	both.Go(func() { p.pump(c, near, far, CutOutward) })
	both.Wait()
	p.mu.Lock()
	delete(p.pairs, c)
	p.mu.Unlock()
	_ = near.Close()
	_ = far.Close()
}

// pump forwards bytes until the connection ends or the proxy is closed. The fault cut holds them
// back.
func (p *proxy) pump(c *pair, to, from net.Conn, cut LinkFault) {
	buffer := make([]byte, proxyBufferBytes)
	for {
		count, readErr := from.Read(buffer)
		if !p.state.pass(p.ctx, cut) {
			return
		}
		switch {
		case p.isSilent(c) && readErr != nil:
			return
		case p.isSilent(c):
			continue
		}
		if _, err := to.Write(buffer[:count]); err != nil {
			reset(from)
			reset(to)
			return
		}
		if readErr != nil {
			forwardEnd(to, readErr)
			return
		}
	}
}

func (p *proxy) isSilent(c *pair) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.silent
}

// close ends all connections and waits for the goroutines of the proxy.
func (p *proxy) close() {
	p.cancel()
	_ = p.listener.Close()
	p.tasks.Wait()
}

// forwardEnd ends the sending on a connection as cause, the error of a read of its other side, says.
func forwardEnd(to net.Conn, cause error) {
	tcp, ok := to.(*net.TCPConn)
	switch {
	case ok && errors.Is(cause, io.EOF):
		_ = tcp.CloseWrite()
	case errors.Is(cause, syscall.ECONNRESET):
		reset(to)
	default:
		_ = to.Close()
	}
}

// reset closes a connection without delivering what was sent on it.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// It fails if the connection has ended.
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
