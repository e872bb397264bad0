package demonstrator

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
)

// relayBuffer is the most bytes that a relay passes on at once.
const relayBuffer = 32 << 10

// relay passes on the connections of one process to one address.
type relay struct {
	network  *network
	listener net.Listener
	from     string
	to       string
	target   string

	// dialling lets one dialler at a time hand over its connection.
	dialling sync.Mutex
	// dialled holds the far half of a connection whose near half is being made.
	dialled chan net.Conn

	mu sync.Mutex
	// pairs holds the open connections; guarded by mu.
	pairs  map[*pair]struct{}
	closed bool // guarded by mu
}

// pair is one connection through a relay.
type pair struct {
	near      net.Conn
	far       net.Conn
	forgotten atomic.Bool
}

// dial connects through the relay. The far half is made first: a host that
// refuses connections must refuse the dialler too.
func (r *relay) dial(ctx context.Context) (net.Conn, error) {
	far, err := (&net.Dialer{}).DialContext(ctx, "tcp", r.target)
	if err != nil {
		return nil, errors.Trace(err)
	}
	r.dialling.Lock()
	defer r.dialling.Unlock()
	select {
	case r.dialled <- far:
	case <-r.network.done:
		_ = far.Close()
		return nil, errors.New("the network is closed")
	}
	near, err := (&net.Dialer{}).DialContext(ctx, "tcp", r.listener.Addr().String())
	if err != nil {
		select {
		case <-r.dialled:
		default:
		}
		_ = far.Close()
		return nil, errors.Trace(err)
	}
	return near, nil
}

// accept serves the near halves until the relay closes.
func (r *relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		far, err := r.farHalf()
		if err != nil {
			_ = near.Close()
			continue
		}
		r.serve(&pair{near: near, far: far})
	}
}

// farHalf returns the connection that a dialler made, or a new one.
func (r *relay) farHalf() (net.Conn, error) {
	select {
	case far := <-r.dialled:
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

// pump passes on what sender sends, until it ends.
func (r *relay) pump(p *pair, to, from net.Conn, sender, receiver string) {
	buffer := make([]byte, relayBuffer)
	for {
		count, ended := from.Read(buffer)
		if err := r.network.await(context.Background(), sender, receiver, false); err != nil {
			return
		}
		r.network.slow(receiver)
		switch {
		case p.forgotten.Load() && ended != nil:
			return // The other end isn't told.
		case p.forgotten.Load():
			continue
		}
		if _, err := to.Write(buffer[:count]); err != nil {
			_ = from.Close()
			return
		}
		if ended != nil {
			end(to, ended)
			return
		}
	}
}

// end tells the end of a connection to the other side.
func end(to net.Conn, cause error) {
	tcp, ok := to.(*net.TCPConn)
	if ok && errors.Is(cause, io.EOF) {
		_ = tcp.CloseWrite()
		return
	}
	_ = to.Close()
}

// forget has the connections open now deliver nothing more.
func (r *relay) forget() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.forgotten.Store(true)
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
	case far := <-r.dialled:
		_ = far.Close()
	default:
	}
}

func (p *pair) close() {
	_ = p.near.Close()
	_ = p.far.Close()
}
