package linker

import (
	"cmp"
	"context"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"

	"marigoldpoint.example/marigoldpoint/internal/state/pauser"
)

const (
	// segmentBytes is the largest number of bytes that are sent at once, and headerBytes the
	// number of further bytes that each segment takes.
	segmentBytes = 1460
	headerBytes  = 54
	// DefaultWindow is the default of Settings.Window.
	DefaultWindow = 16 << 10
)

// Settings are the settings of a Link.
type Settings struct {
	// Rate is the number of bytes per second in each direction; required.
	Rate float64
	// Delay is the time from the end of a segment's transmission to its arrival.
	Delay time.Duration
	// Window is the number of bytes of one connection that may be in transit in each
	// direction; 0 means DefaultWindow.
	Window int
}

// Link is the link of one host. It is safe for concurrent use.
type Link struct {
	settings Settings
	// inward and outward serialize the segments to and from the host.
	inward, outward *rate.Limiter

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// NewLink returns an idle link. It panics if the settings have no rate.
func NewLink(s Settings) *Link {
	if s.Rate <= 0 {
		panic("linker: settings need a rate")
	}
	s.Window = cmp.Or(s.Window, DefaultWindow)
	l := &Link{settings: s}
	l.inward, l.outward = rate.NewLimiter(rate.Limit(s.Rate), segmentBytes+headerBytes), rate.NewLimiter(rate.Limit(s.Rate), segmentBytes+headerBytes)
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l
}

// Expose listens on address, and connects each connection to the host through the link to target.
func (l *Link) Expose(address, target string) error {
	network, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Trace(err)
	}
	context.AfterFunc(l.ctx, func() { _ = network.Close() })
	l.tasks.Go(func() {
		for {
			near, err := network.Accept()
			if err != nil {
				return
			}
			l.tasks.Go(func() { l.receive(near, target) })
		}
	})
	return nil
}

// Dial opens a connection of the host to a TCP address through the link.
func (l *Link) Dial(ctx context.Context, address string) (net.Conn, error) {
	if !l.transmit(ctx, l.outward) {
		return nil, errors.Trace(cmp.Or(context.Cause(ctx), net.ErrClosed))
	}
	far, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	// A refusal is a segment too.
	arrived := l.transmit(ctx, l.inward)
	switch {
	case err != nil:
		return nil, errors.Trace(err)
	case !arrived:
		_ = far.Close()
		return nil, errors.Trace(cmp.Or(context.Cause(ctx), net.ErrClosed))
	}
	near, host := net.Pipe()
	l.tasks.Go(func() { l.join(l.read(near), l.read(far), l.outward, l.inward) })
	return dialedConn{Conn: host, remote: far.RemoteAddr()}, nil
}

// dialedConn is the host's end of a connection that it opened.
type dialedConn struct {
	net.Conn
	remote net.Addr
}

// RemoteAddr returns the address that was dialed.
func (c dialedConn) RemoteAddr() net.Addr { return c.remote }

// Close ends all connections and waits for the link's goroutines.
func (l *Link) Close() error {
	l.cancel()
	l.tasks.Wait()
	return nil
}

// receive connects a connection to the host with the target, unless its peer leaves first.
func (l *Link) receive(near net.Conn, target string) {
	from := l.read(near)
	if !l.transmit(l.ctx, l.inward) || from.ended() {
		reset(near)
		return
	}
	far, err := (&net.Dialer{}).DialContext(l.ctx, "tcp", target)
	if err != nil || !l.transmit(l.ctx, l.outward) {
		reset(near)
		return
	}
	l.join(from, l.read(far), l.inward, l.outward)
}

// join forwards between the two ends of a connection until either fails.
func (l *Link) join(near, far *source, forth, back *rate.Limiter) {
	stop := context.AfterFunc(l.ctx, func() {
		reset(near.conn)
		reset(far.conn)
	})
	defer stop()
	var both sync.WaitGroup
	both.Go(func() { l.forward(far.conn, near, forth) })
	both.Go(func() { l.forward(near.conn, far, back) })
	both.Wait()
	_ = near.conn.Close()
	_ = far.conn.Close()
}

// transmit waits for the transmission and the delay of a segment without content. It returns false
// if ctx or the link ends first.
func (l *Link) transmit(ctx context.Context, direction *rate.Limiter) bool {
	return pauser.Pause(ctx, direction.ReserveN(time.Now(), headerBytes).Delay()+l.settings.Delay) && l.ctx.Err() == nil
}

// source is one end of a connection, whose bytes are read ahead up to the window.
type source struct {
	conn net.Conn
	// segments holds the bytes that were read; it is closed with the last of them.
	segments chan []byte
	// gone is closed when the end has closed the connection.
	gone chan struct{}
}

// read starts to read from one end of a connection.
func (l *Link) read(conn net.Conn) *source {
	s := &source{conn: conn, segments: make(chan []byte, max(1, l.settings.Window/segmentBytes)), gone: make(chan struct{})}
	l.tasks.Go(func() {
		defer close(s.segments)
		defer close(s.gone)
		for {
			b := make([]byte, segmentBytes)
			n, err := conn.Read(b)
			if n > 0 {
				select {
				case s.segments <- b[:n]:
				case <-l.ctx.Done():
					return
				}
			}
			if err != nil {
				return
			}
		}
	})
	return s
}

// ended reports whether the end has closed the connection.
func (s *source) ended() bool {
	select {
	case <-s.gone:
		return true
	default:
		return false
	}
}

// transit is a segment on its way.
type transit struct {
	bytes   []byte
	arrives time.Time
}

// forward forwards the bytes from one end of a connection to the other.
func (l *Link) forward(to net.Conn, from *source, direction *rate.Limiter) {
	onWay := make(chan transit, max(1, l.settings.Window/segmentBytes))
	l.tasks.Go(func() {
		defer close(onWay)
		for b := range from.segments {
			arrives := time.Now().Add(direction.ReserveN(time.Now(), len(b)+headerBytes).Delay() + l.settings.Delay)
			select {
			case onWay <- transit{bytes: b, arrives: arrives}:
			case <-l.ctx.Done():
				return
			}
		}
	})
	for t := range onWay {
		if !pauser.Pause(l.ctx, time.Until(t.arrives)) {
			return
		}
		if _, err := to.Write(t.bytes); err != nil {
			// What is still on its way has no receiver any more.
			reset(from.conn)
			reset(to)
		}
	}
	if tcp, ok := to.(*net.TCPConn); ok {
		// It fails if the connection has ended.
		_ = tcp.CloseWrite()
		return
	}
	_ = to.Close()
}

// reset closes a connection without delivering what was sent on it.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// It fails if the connection has ended.
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
