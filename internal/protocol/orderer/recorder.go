package orderer

import (
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/juju/errors"
)

const errSealed = errors.ConstError("connection sealed: its call was given up")

// sealableConn is a connection that records whether a byte of the current request was
// written to it.
//
// Otherwise the outcome of a canceled call would be uncertain: net/http returns from a
// canceled call while its own goroutine may still be about to write the request, and a
// request that was reported as not run could run afterwards. After seal has returned
// false, no byte of the request can be written to the connection any more.
type sealableConn struct {
	net.Conn

	mu     sync.Mutex
	wrote  bool // guarded by mu
	sealed bool // guarded by mu
}

// Write records that a byte may have been sent and writes data to the connection. It
// returns errSealed if the connection is sealed.
func (r *sealableConn) Write(data []byte) (int, error) {
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
		// Nothing was written, for example because the peer has reset the connection. A
		// concurrent seal may have returned true, which is the safe answer.
		r.startRequest()
	}
	return n, err
}

// startRequest marks the start of a new request on the connection.
func (r *sealableConn) startRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wrote = false
}

// seal makes all further writes fail and reports whether a byte of the current request
// was written before.
func (r *sealableConn) seal() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sealed = true
	return r.wrote
}

// connSet collects the connections that one call has used. There is more than one only if
// net/http repeats a call on a pooled connection.
type connSet struct {
	mu    sync.Mutex
	conns []*sealableConn // guarded by mu
}

func (a *connSet) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			r, ok := info.Conn.(*sealableConn)
			if !ok {
				panic("orderer: connection not made by the package's dialer")
			}
			r.startRequest()
			a.mu.Lock()
			defer a.mu.Unlock()
			a.conns = append(a.conns, r)
		},
	}
}

// seal seals all connections of the call and reports whether a byte of the call was
// written to any of them.
func (a *connSet) seal() bool {
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
