package orderer

import (
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/juju/errors"
)

const errSealed = errors.ConstError("connection sealed: its call was given up")

// recorder is a connection that knows whether a byte of the present request was
// handed to it.
//
// Without it the outcome of a call that is given up stays doubtful: net/http
// returns from a cancelled call while its own goroutine may still be about to
// write the request. A caller told "not run" would then meet a request that runs
// a moment later. Sealing settles it: after seal returned false, no byte of the
// request can reach the connection any more.
type recorder struct {
	net.Conn

	mu     sync.Mutex
	wrote  bool // guarded by mu
	sealed bool // guarded by mu
}

// Write notes that a byte may have left, and refuses once the recorder is sealed.
func (r *recorder) Write(data []byte) (int, error) {
	r.mu.Lock()
	if r.sealed {
		r.mu.Unlock()
		return 0, errSealed
	}
	first := !r.wrote
	r.wrote = true
	r.mu.Unlock()
	n, err := r.Conn.Write(data)
	if first && n == 0 && err != nil {
		// The system took nothing, as on a connection that the peer reset. A seal
		// that came in between has answered "may have left", which is only careful.
		r.begin()
	}
	return n, err
}

// begin starts the record of a new request on the connection.
func (r *recorder) begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wrote = false
}

// seal ends all writing and returns whether a byte of the present request was
// handed to the connection before.
func (r *recorder) seal() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sealed = true
	return r.wrote
}

// attempts gathers the connections that one call was given. There is more than
// one only where net/http itself repeats a call on a pooled connection.
type attempts struct {
	mu    sync.Mutex
	conns []*recorder // guarded by mu
}

func (a *attempts) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			r, ok := info.Conn.(*recorder)
			if !ok {
				panic("orderer: connection not made by the package's dialer")
			}
			r.begin()
			a.mu.Lock()
			defer a.mu.Unlock()
			a.conns = append(a.conns, r)
		},
	}
}

// seal seals all connections of the call and returns whether any of them was
// handed a byte of it.
func (a *attempts) seal() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	wrote := false
	for _, r := range a.conns {
		if r.seal() {
			wrote = true
		}
	}
	return wrote
}
