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
	// DefaultDialTimeout is the time to reach a backend server: a hundred times the
	// round trip between failure domains, so that only a loss exceeds it.
	DefaultDialTimeout = 300 * time.Millisecond
	// DefaultIdleLimit is for how long an idle connection is kept where the other
	// end told nothing.
	DefaultIdleLimit = 4 * time.Second
	// DefaultIdleMargin is taken off what the other end told: a request that
	// crosses its close would be of unknown outcome.
	DefaultIdleMargin = 700 * time.Millisecond
	// DefaultSilence is the time without an acknowledgement after which the
	// system gives a connection up that was silently forgotten on its way.
	DefaultUserTimeout = 1500 * time.Millisecond
)

// Settings are a Pool's options. The zero value of a field means its documented
// default.
type Settings struct {
	DialTimeout time.Duration
	IdleLimit   time.Duration
	IdleMargin  time.Duration
	UserTimeout time.Duration
	// Now is a clock with monotonic readings; nil means time.Now.
	Now func() time.Time
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Pool keeps the idle connections to backend servers. Several goroutines may use
// it.
type Pool struct {
	settings Settings

	mu sync.Mutex
	// idle holds the idle connections by address, the last used at the end;
	// guarded by mu.
	idle map[string][]*Conn
	// open counts the connections by address; guarded by mu.
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

// Dialer returns a function that opens TCP connections which end after silence:
// bytes that stay without acknowledgement for so long, or probes while idle.
func Dialer(silence time.Duration) func(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
			})
			return errors.Trace(cmp.Or(err, failed))
		},
	}
	return func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }
}

// Get returns an idle connection that is still sound, or a new one.
func (p *Pool) Get(ctx context.Context, address string) (*Conn, error) {
	for {
		c := p.take(address)
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

// Exchange sends a request to an address and reads the head of its answer, as
// Conn.Exchange. The end of the context ends the exchange until Finish. An error that
// matches ErrNotSent tells that the address could not be reached by a new connection, or
// that the context ended.
//
// A kept connection may end between the look at it and the writing: a server closes idle
// ones, a middle box forgets them. Nothing was sent then, and it is no word from the
// server: the next one is tried at once. Taken for that, it would have a server passed
// over that is well, and the last call for which there is no other refused.
func (p *Pool) Exchange(
	ctx context.Context, address string, request func() *http.Request, accept func(http.Header) bool,
) (*Conn, *http.Response, error) {
	for {
		// A connection kept idle would be handed out whatever became of the context.
		if err := ctx.Err(); err != nil {
			return nil, nil, errors.Annotatef(ErrNotSent, "%v", err)
		}
		c, err := p.Get(ctx, address)
		if err != nil {
			return nil, nil, err
		}
		kept := c.Reused()
		c.bind(ctx)
		response, err := c.Exchange(request(), accept)
		if err == nil {
			return c, response, nil
		}
		if !kept || !errors.Is(err, ErrNotSent) {
			return nil, nil, err
		}
	}
}

// Open returns a new connection.
func (p *Pool) Open(ctx context.Context, address string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.settings.DialTimeout)
	defer cancel()
	network, err := p.settings.Dial(ctx, address)
	if err != nil {
		return nil, errors.Annotatef(ErrNotSent, "%v", err)
	}
	c := &Conn{pool: p, network: network, reader: bufio.NewReaderSize(network, bufferBytes)}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open[address]++
	return c, nil
}

// Listens reports whether anybody takes connections at an address. An address that refuses
// them has no process any more, though its host is there. The error tells that neither is
// known, as where nobody answers.
//
// An idle connection that is still sound spares the new one: the end of its process would
// have ended it.
func (p *Pool) IsListening(ctx context.Context, address string) (bool, error) {
	if p.soundIdle(address) {
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

// soundIdle reports whether there is an idle connection that is still sound.
func (p *Pool) soundIdle(address string) bool {
	c := p.take(address)
	if c == nil {
		return false
	}
	if c.stale() {
		c.Abort()
		return false
	}
	p.keep(c)
	return true
}

// keep puts a connection among the idle ones, unless the pool is closed.
func (p *Pool) keep(c *Conn) {
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

// take takes the idle connection that was used last, and closes those whose time
// is over.
func (p *Pool) take(address string) *Conn {
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

// put keeps a connection for later requests. Limit is what the other end told; 0
// means nothing.
func (p *Pool) put(c *Conn, limit time.Duration) {
	c.idleSince = p.settings.Now()
	c.idleLimit = p.settings.IdleLimit
	if limit > 0 {
		c.idleLimit = limit - p.settings.IdleMargin
	}
	if c.idleLimit <= 0 {
		c.Abort()
		return
	}
	p.keep(c)
}

func (p *Pool) ended(c *Conn) {
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

// Sweep closes the idle connections whose time is over, and all those to an
// address that keep does not hold any more.
func (p *Pool) Sweep(keep func(address string) bool) {
	now := p.settings.Now()
	var over []*Conn
	p.mu.Lock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) >= c.idleLimit || !keep(address) {
				over = append(over, c)
				continue
			}
			kept = append(kept, c)
		}
		if p.idle[address] = kept; len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range over {
		c.Abort()
	}
}

// Close closes the idle connections. Those in use close when they are given back.
func (p *Pool) Close() error {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Sweep(func(string) bool { return false })
	return nil
}
