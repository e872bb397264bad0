package listener

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// Admission decides how fast connections are accepted. It is safe for concurrent use.
type Admission interface {
	// RecordAccepted records an accepted connection.
	RecordAccepted(now time.Time)
	// Pause returns the time for which no connection is to be accepted under the present
	// limit, 0 if one may be accepted now.
	Pause(now time.Time) time.Duration
	// Limited reports whether there is a limit at present.
	Limited() bool
}

const (
	// limitedBacklog is the number of connections that may wait for Accept while there is a
	// limit. Their callers send their requests at once, and those that are refused later
	// have used the link in vain.
	limitedBacklog = 1
	// relistenInterval is the pause before the next attempt to listen again, and the longest
	// time after which a pause is checked against a changed limit.
	relistenInterval = 20 * time.Millisecond
)

// pausingListener stops listening while no connection is to be accepted: callers are then
// refused before they send a request.
type pausingListener struct {
	admission Admission
	address   net.Addr
	// receiveBuffer is the size of the receive buffers of connections, 0 if it is not limited.
	receiveBuffer int
	// limited reports whether current has the backlog for times with a limit. Only Accept
	// uses it.
	limited bool

	mu sync.Mutex
	// current is the open listener; nil while the listener pauses. Guarded by mu.
	current net.Listener
	// closed reports whether the listener is closed; guarded by mu.
	closed bool
	// done is closed with the listener.
	done chan struct{}
}

// newPausingListener returns a listener that takes over network. Accept must be called by one
// goroutine at a time.
func newPausingListener(network net.Listener, a Admission, receiveBuffer int) *pausingListener {
	return &pausingListener{admission: a, receiveBuffer: receiveBuffer, address: network.Addr(), current: network, done: make(chan struct{})}
}

// Accept waits for a connection.
func (l *pausingListener) Accept() (net.Conn, error) {
	for !l.isClosed() {
		pause := l.admission.Pause(time.Now())
		if pause == 0 {
			break
		}
		l.suspend()
		l.wait(min(pause, relistenInterval))
	}
	if l.limited && !l.admission.Limited() {
		l.suspend()
	}
	network, err := l.open()
	if err != nil {
		return nil, err
	}
	conn, err := network.Accept()
	if err != nil {
		return nil, err
	}
	l.admission.RecordAccepted(time.Now())
	return conn, nil
}

// open returns the open listener, and listens again after a pause.
func (l *pausingListener) open() (net.Listener, error) {
	for {
		l.mu.Lock()
		current, closed := l.current, l.closed
		l.mu.Unlock()
		switch {
		case closed:
			return nil, net.ErrClosed
		case current != nil:
			return current, nil
		}
		if err := l.relisten(); err != nil {
			// The address may be in use for a moment.
			l.wait(relistenInterval)
		}
	}
}

// relisten opens the listener again.
func (l *pausingListener) relisten() error {
	limited := l.admission.Limited()
	listen := net.Listen
	if limited {
		listen = listenBriefly
	}
	network, err := listen(l.address.Network(), l.address.String())
	if err != nil {
		return errors.Trace(err)
	}
	limitReceived(network, l.receiveBuffer)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return network.Close()
	}
	l.current, l.limited = network, limited
	return nil
}

func (l *pausingListener) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// suspend stops listening until the next Accept.
func (l *pausingListener) suspend() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current != nil {
		// An error means that the listener is closed already.
		_ = l.current.Close()
	}
	l.current = nil
}

// wait waits for d or until the listener is closed.
func (l *pausingListener) wait(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.done:
	}
}

// Close stops listening for good.
func (l *pausingListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return errors.Trace(net.ErrClosed)
	}
	l.closed = true
	close(l.done)
	if l.current == nil {
		return nil
	}
	return errors.Trace(l.current.Close())
}

// Addr returns the address of the listener.
func (l *pausingListener) Addr() net.Addr { return l.address }

// listenBriefly listens on a TCP address of IPv4 with a backlog of limitedBacklog connections,
// which package net can't set.
func listenBriefly(network, address string) (net.Listener, error) {
	a, err := net.ResolveTCPAddr(network, address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	at := &unix.SockaddrInet4{Port: a.Port}
	if copy(at.Addr[:], a.IP.To4()) != len(at.Addr) {
		return net.Listen(network, address)
	}
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, errors.Trace(err)
	}
	file := os.NewFile(uintptr(fd), "listener")
	defer file.Close()
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return nil, errors.Trace(err)
	}
	if err := unix.Bind(fd, at); err != nil {
		return nil, errors.Trace(err)
	}
	if err := unix.Listen(fd, limitedBacklog); err != nil {
		return nil, errors.Trace(err)
	}
	return net.FileListener(file)
}
