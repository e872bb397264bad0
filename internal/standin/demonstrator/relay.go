package demonstrator

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/juju/errors"
)

// relayBufferBytes is the largest number of bytes that a relay forwards at once.
const relayBufferBytes = 32 << 10

// relay forwards the connections of one process to one address. It is safe for
// concurrent use.
type relay struct {
	network  *network
	listener net.Listener
	from     string
	to       string
	target   string

	// dialMu serializes dialling through the relay.
	dialMu sync.Mutex
	// pendingFar holds the connection to the target while the dialler connects to
	// the listener.
	pendingFar chan net.Conn

	mu sync.Mutex
	// pairs holds the open connections; guarded by mu.
	pairs  map[*pair]struct{}
	closed bool // guarded by mu
}

// pair is one connection through a relay: near is its side to the dialler, far
// that to the target.
type pair struct {
	near       net.Conn
	far        net.Conn
	blackholed atomic.Bool
}

// dial connects through the relay. It connects to the target first, so that the
// dialler gets the error if the target refuses the connection.
func (r *relay) dial(ctx context.Context) (net.Conn, error) {
	far, err := (&net.Dialer{}).DialContext(ctx, "tcp", r.target)
	if err != nil {
		return nil, errors.Trace(err)
	}
	r.dialMu.Lock()
	defer r.dialMu.Unlock()
	select {
	case r.pendingFar <- far:
	case <-r.network.done:
		_ = far.Close()
		return nil, errors.New("the network is closed")
	}
	near, err := (&net.Dialer{}).DialContext(ctx, "tcp", r.listener.Addr().String())
	if err != nil {
		select {
		case <-r.pendingFar:
		default:
		}
		_ = far.Close()
		return nil, errors.Trace(err)
	}
	return near, nil
}

// accept serves the connections of diallers until the relay is closed.
func (r *relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		far, err := r.farConn()
		if err != nil {
			_ = near.Close()
			continue
		}
		r.serve(&pair{near: near, far: far})
	}
}

// farConn returns the connection to the target that dial made, or a new one for a
// client that connected to the listener directly.
func (r *relay) farConn() (net.Conn, error) {
	select {
	case far := <-r.pendingFar:
		return far, nil
	default:
		return (&net.Dialer{}).DialContext(context.Background(), "tcp", r.target)
	}
}

func (r *relay) serve(p *pair) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		p.close()
		return
	}
	if r.pairs == nil {
		r.pairs = make(map[*pair]struct{})
	}
	r.pairs[p] = struct{}{}
	r.network.pumps.Go(func() {
		var back sync.WaitGroup
		back.Go(func() { r.pump(p, p.near, p.far, r.to, r.from) })
		r.pump(p, p.far, p.near, r.from, r.to)
		back.Wait()
		p.close()
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.pairs, p)
	})
}

// pump forwards data of sender from one side to the other until the connection
// ends or the network is closed.
func (r *relay) pump(p *pair, to, from net.Conn, sender, receiver string) {
	buffer := make([]byte, relayBufferBytes)
	for {
		count, readErr := from.Read(buffer)
		if err := r.network.waitUncut(context.Background(), sender, receiver, false); err != nil {
			return
		}
		r.network.delay(receiver)
		switch {
		case p.blackholed.Load() && readErr != nil:
			return // A blackholed connection does not propagate its end.
		case p.blackholed.Load():
			continue
		}
		if _, err := to.Write(buffer[:count]); err != nil {
			_ = from.Close()
			return
		}
		if readErr != nil {
			propagateEnd(to, readErr)
			return
		}
	}
}

// propagateEnd closes the other side of a connection after a read failed with
// cause: half-closes it after EOF, resets it after a reset, closes it otherwise.
func propagateEnd(to net.Conn, cause error) {
	tcp, ok := to.(*net.TCPConn)
	if ok && errors.Is(cause, io.EOF) {
		_ = tcp.CloseWrite()
		return
	}
	if ok && errors.Is(cause, syscall.ECONNRESET) {
		// This fails if the other side is closed already.
		_ = tcp.SetLinger(0)
	}
	_ = to.Close()
}

// blackhole makes the open connections discard all further data and returns their
// number.
func (r *relay) blackhole() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.blackholed.Store(true)
	}
	return len(r.pairs)
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for p := range r.pairs {
		p.close()
	}
	select {
	case far := <-r.pendingFar:
		_ = far.Close()
	default:
	}
}

func (p *pair) close() {
	_ = p.near.Close()
	_ = p.far.Close()
}
