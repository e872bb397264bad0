package exchanger

import (
	"bufio"
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// Defaults of Settings.
const (
	// DefaultDialTimeout limits the time to connect to a backend server. It is a hundred
	// times the round-trip time between failure domains, so that only packet loss
	// exceeds it.
	DefaultDialTimeout = 300 * time.Millisecond
	// DefaultIdleLimit is the time for which an idle connection may be reused if the
	// peer announced no limit.
	DefaultIdleLimit = 4 * time.Second
	// DefaultIdleMargin is subtracted from the limit that the peer announced: a request
	// sent while the peer closes the connection would have an unknown outcome.
	DefaultIdleMargin = 700 * time.Millisecond
	// DefaultUserTimeout is the time without an acknowledgement after which the
	// operating system closes a connection, for example one whose state a middlebox has
	// lost.
	DefaultUserTimeout = 1500 * time.Millisecond
)

// Settings are the settings of a Pool. The zero value of a field means the default of the
// same name, or the default stated at the field.
type Settings struct {
	DialTimeout time.Duration
	IdleLimit   time.Duration
	IdleMargin  time.Duration
	UserTimeout time.Duration
	// SocketBuffer is the size of the send and the receive buffer of each TCP connection in
	// bytes, of which the operating system may use twice as much; 0 means that it chooses.
	SocketBuffer int
	// ReceiveBuffer is the size of the receive buffer; 0 means SocketBuffer.
	ReceiveBuffer int
	// Now returns the current time with a monotonic reading; nil means time.Now.
	Now func() time.Time
	// Dial opens a connection; nil means Dialer(UserTimeout).
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Pool manages the idle connections to backend servers. It is safe for concurrent use.
type Pool struct {
	settings Settings

	mu sync.Mutex
	// idle contains the idle connections by address, the most recently used last;
	// guarded by mu.
	idle map[string][]*Conn
	// open is the number of open connections by address; guarded by mu.
	open   map[string]int
	closed bool
}

// NewPool returns an empty pool.
func NewPool(s Settings) *Pool {
	s.DialTimeout = cmp.Or(s.DialTimeout, DefaultDialTimeout)
	s.IdleLimit = cmp.Or(s.IdleLimit, DefaultIdleLimit)
	s.IdleMargin = cmp.Or(s.IdleMargin, DefaultIdleMargin)
	s.UserTimeout = cmp.Or(s.UserTimeout, DefaultUserTimeout)
	if s.Now == nil {
		s.Now = time.Now
	}
	if s.Dial == nil {
		s.Dial = Dialer(s.UserTimeout)
	}
	return &Pool{settings: s, idle: make(map[string][]*Conn), open: make(map[string]int)}
}

// socketBuffers is implemented by TCP connections.
type socketBuffers interface {
	SetReadBuffer(bytes int) error
	SetWriteBuffer(bytes int) error
}

// limitBuffers sets the sizes of a connection's buffers.
func (s *Settings) limitBuffers(c socketBuffers) {
	// A connection that has ended already fails when it is used.
	if n := cmp.Or(s.ReceiveBuffer, s.SocketBuffer); n > 0 {
		_ = c.SetReadBuffer(n)
	}
	if s.SocketBuffer > 0 {
		_ = c.SetWriteBuffer(s.SocketBuffer)
	}
}

// Dialer returns a function that opens TCP connections with the given TCP_USER_TIMEOUT.
// The operating system closes such a connection when sent bytes, or keep-alive probes
// while it is idle, stay unacknowledged for that time.
func Dialer(userTimeout time.Duration) func(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			return errors.Trace(cmp.Or(err, failed))
		},
	}
	return func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
}

// Get returns an idle connection that is not stale, or a new one.
func (p *Pool) Get(ctx context.Context, address string) (*Conn, error) {
	for {
		c := p.takeIdle(address)
		if c == nil {
			break
		}
		if !c.stale() {
			return c, nil
		}
		c.Abort()
	}
	return p.Open(ctx, address)
}

// Exchange sends a request to an address and reads the head of its answer, like
// Conn.Exchange. Until Finish, the end of ctx aborts the exchange. An error that matches
// ErrNotSent means that no new connection to the address could be opened or written to,
// or that ctx ended.
//
// A pooled connection may end after it was checked and before the request is written,
// because the server closes idle connections or a middlebox loses their state. In this
// case nothing was sent and the failure says nothing about the server, so the next
// connection is tried immediately. If it were reported as a failure of the server, a
// healthy server would be skipped, and a call without an alternative server rejected.
func (p *Pool) Exchange(
	ctx context.Context, address string, request func() *http.Request, accept func(http.Header) bool,
) (*Conn, *http.Response, error) {
	for {
		// Get does not check the context when it returns an idle connection.
		if err := ctx.Err(); err != nil {
			return nil, nil, errors.Annotatef(ErrNotSent, "%v", err)
		}
		c, err := p.Get(ctx, address)
		if err != nil {
			return nil, nil, err
		}
		reused := c.Reused()
		c.bindContext(ctx)
		response, err := c.Exchange(request(), accept)
		if err == nil {
			return c, response, nil
		}
		if !reused || !errors.Is(err, ErrNotSent) {
			return nil, nil, err
		}
	}
}

// Open opens a new connection. Its error matches ErrNotSent and wraps the error of the dial.
func (p *Pool) Open(ctx context.Context, address string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.settings.DialTimeout)
	defer cancel()
	network, err := p.settings.Dial(ctx, address)
	if err != nil {
		return nil, errors.WithType(err, ErrNotSent)
	}
	if buffered, ok := network.(socketBuffers); ok {
		p.settings.limitBuffers(buffered)
	}
	c := &Conn{pool: p, network: network}
	c.reader = bufio.NewReaderSize(c, bufferBytes)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[address]++
	return c, nil
}

// IsListening reports whether a process accepts connections at an address. It returns
// false if the connection is refused, which means that the host is reachable but the
// process has ended. An error means that the state is unknown, for example because the
// host does not answer.
//
// No new connection is opened if an idle one is not stale, since it would have been
// closed when the process ended.
func (p *Pool) IsListening(ctx context.Context, address string) (bool, error) {
	if p.hasUsableIdle(address) {
		return true, nil
	}
	ctx, cancel := context.WithTimeout(ctx, p.settings.DialTimeout)
	defer cancel()
	network, err := p.settings.Dial(ctx, address)
	switch {
	case err == nil:
		return true, network.Close()
	case errors.Is(err, syscall.ECONNREFUSED):
		return false, nil
	default:
		return false, errors.Trace(err)
	}
}

// hasUsableIdle reports whether an idle connection exists that is not stale. It checks
// only the most recently used one.
func (p *Pool) hasUsableIdle(address string) bool {
	c := p.takeIdle(address)
	if c == nil {
		return false
	}
	if c.stale() {
		c.Abort()
		return false
	}
	p.addIdle(c)
	return true
}

// addIdle adds a connection to the idle ones, or closes it if the pool is closed.
func (p *Pool) addIdle(c *Conn) {
	address := c.network.RemoteAddr().String()
	p.mu.Lock()
	closed := p.closed
	if !closed {
		p.idle[address] = append(p.idle[address], c)
	}
	p.mu.Unlock()
	if closed {
		c.Abort()
	}
}

// takeIdle removes and returns the most recently used idle connection, or nil if there is
// none. It closes connections whose idle limit has expired.
func (p *Pool) takeIdle(address string) *Conn {
	now := p.settings.Now()
	for {
		p.mu.Lock()
		list := p.idle[address]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		p.idle[address] = list[:len(list)-1]
		p.mu.Unlock()
		if now.Sub(c.idleSince) < c.idleLimit {
			return c
		}
		c.Abort()
	}
}

// recycle retains a connection for later requests. The parameter limit is the idle time
// that the peer announced; 0 means none.
func (p *Pool) recycle(c *Conn, limit time.Duration) {
	c.idleSince = p.settings.Now()
	c.idleLimit = p.settings.IdleLimit
	if limit > 0 {
		c.idleLimit = limit - p.settings.IdleMargin
	}
	if c.idleLimit <= 0 {
		c.Abort()
		return
	}
	p.addIdle(c)
}

func (p *Pool) connClosed(c *Conn) {
	address := c.network.RemoteAddr().String()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[address]--; p.open[address] <= 0 {
		delete(p.open, address)
	}
}

// Connections returns the number of open connections to an address.
func (p *Pool) Connections(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open[address]
}

// Sweep closes the idle connections whose idle limit has expired or that are stale, and all idle
// connections to addresses for which inUse returns false. A stale connection may hold bytes that nobody
// reads.
func (p *Pool) Sweep(inUse func(address string) bool) {
	now := p.settings.Now()
	var expired []*Conn
	p.mu.Lock()
	for address, list := range p.idle {
		retained := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) >= c.idleLimit || !inUse(address) || c.stale() {
				expired = append(expired, c)
				continue
			}
			retained = append(retained, c)
		}
		if p.idle[address] = retained; len(retained) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.Abort()
	}
}

// Close closes the idle connections. Connections in use are closed when they are returned
// to the pool. The error is always nil.
func (p *Pool) Close() error {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Sweep(func(string) bool { return false })
	return nil
}
