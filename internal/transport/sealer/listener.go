package sealer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
)

// sealedListener does the handshakes of the connections that network accepts,
// each in a goroutine of its own: a dialler that says nothing must not keep the
// others waiting.
type sealedListener struct {
	network net.Listener
	sealer  *Sealer
	// ctx ends with Close, and with it the handshakes in progress.
	ctx     context.Context
	cancel  context.CancelFunc
	sealed  chan net.Conn
	tasks   sync.WaitGroup
	ended   chan struct{}
	failure error // Set before ended is closed.
}

// Listen returns a listener whose connections are *Conn of peers that have proved
// who they are. It closes network.
func (s *Sealer) Listen(network net.Listener) net.Listener {
	l := &sealedListener{network: network, sealer: s, sealed: make(chan net.Conn), ended: make(chan struct{})}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.tasks.Go(l.run)
	return l
}

func (l *sealedListener) run() {
	defer close(l.ended)
	for {
		network, err := l.network.Accept()
		if err != nil {
			l.failure = err
			return
		}
		l.tasks.Go(func() { l.handshake(network) })
	}
}

func (l *sealedListener) handshake(network net.Conn) {
	ctx, cancel := context.WithTimeout(l.ctx, l.sealer.settings.HandshakeTimeout)
	defer cancel()
	c, err := open(ctx, tls.Server(network, l.sealer.current().server(l.sealer.settings.Now)), accept)
	l.sealer.count(err, "accepting", network.RemoteAddr().String())
	if err != nil {
		return
	}
	select {
	case l.sealed <- c:
	case <-l.ctx.Done():
		c.NetConn().Close()
	}
}

// Accept implements net.Listener.
func (l *sealedListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.sealed:
		return c, nil
	case <-l.ended:
		return nil, l.failure
	}
}

// Addr implements net.Listener.
func (l *sealedListener) Addr() net.Addr { return l.network.Addr() }

// Close stops accepting, ends the handshakes in progress and waits for them.
func (l *sealedListener) Close() error {
	err := l.network.Close()
	l.cancel()
	l.tasks.Wait()
	return err
}
