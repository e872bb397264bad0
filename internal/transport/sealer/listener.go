package sealer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
)

// sealedListener performs the handshakes of the connections that network accepts, each in a
// goroutine of its own, so that a silent dialler does not block the others.
type sealedListener struct {
	network net.Listener
	sealer  *Sealer
	// ctx is cancelled by Close, and aborts the handshakes in progress.
	ctx       context.Context
	cancel    context.CancelFunc
	conns     chan net.Conn
	tasks     sync.WaitGroup
	ended     chan struct{}
	acceptErr error // Written before ended is closed.
}

// Listen returns a listener whose connections are *Conn, with authenticated peers. Its
// Close also closes network.
func (s *Sealer) Listen(network net.Listener) net.Listener {
	l := &sealedListener{network: network, sealer: s, conns: make(chan net.Conn), ended: make(chan struct{})}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.tasks.Go(l.acceptLoop)
	return l
}

func (l *sealedListener) acceptLoop() {
	defer close(l.ended)
	for {
		network, err := l.network.Accept()
		if err != nil {
			l.acceptErr = err
			return
		}
		l.tasks.Go(func() { l.handshake(network) })
	}
}

func (l *sealedListener) handshake(network net.Conn) {
	ctx, cancel := context.WithTimeout(l.ctx, l.sealer.settings.HandshakeTimeout)
	defer cancel()
	c, err := establish(ctx, tls.Server(network, l.sealer.current().serverConfig(l.sealer.settings.Now)), sendAcceptance)
	l.sealer.countHandshake(err, "accepting", network.RemoteAddr().String())
	if err != nil {
		return
	}
	select {
	case l.conns <- c:
	case <-l.ctx.Done():
		c.NetConn().Close()
	}
}

// Accept implements net.Listener.
func (l *sealedListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.ended:
		return nil, l.acceptErr
	}
}

// Addr implements net.Listener.
func (l *sealedListener) Addr() net.Addr { return l.network.Addr() }

// Close stops accepting, aborts the handshakes in progress and waits for them.
func (l *sealedListener) Close() error {
	err := l.network.Close()
	l.cancel()
	l.tasks.Wait()
	return err
}
