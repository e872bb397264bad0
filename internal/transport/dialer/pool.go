// Package dialer keeps one live messenger connection to each address that a
// process talks to.
//
// A connection that ended is replaced at the next use. After a failed dial
// further ones to the same address fail at once until a jittered back-off has
// passed, so that a host which is down is not dialled by every request.
package dialer

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// The defaults of a pool.
const (
	DefaultDialTimeout    = time.Second
	DefaultBackOffInitial = 50 * time.Millisecond
	DefaultBackOffMax     = 2 * time.Second
	// DefaultIdleLimit is the time after which an unused connection is closed.
	DefaultIdleLimit = 2 * time.Minute
)

// Settings are a pool's options.
type Settings struct {
	Messenger messenger.Settings
	// DialTimeout bounds one dial; 0 means DefaultDialTimeout.
	DialTimeout time.Duration
	// BackOffInitial and BackOffMax bound the pause after failed dials; 0 means
	// the defaults.
	BackOffInitial time.Duration
	BackOffMax     time.Duration
	// IdleLimit closes connections nobody asked for; 0 means DefaultIdleLimit.
	IdleLimit time.Duration
	// Random jitters the back-off.
	Random *rand.Rand
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// NotConnectedError is the error of a use of an address that can't be reached:
// nothing was sent.
type NotConnectedError struct {
	Address string
	Cause   error
}

// Error tells the address and cause.
func (n *NotConnectedError) Error() string {
	return "no connection to " + n.Address + ": " + n.Cause.Error()
}

// Unwrap returns the cause.
func (n *NotConnectedError) Unwrap() error { return n.Cause }

// Pool keeps connections by address. It may be used by several goroutines.
type Pool struct {
	settings Settings

	mu sync.Mutex
	// peers holds every address used; guarded by mu.
	peers map[string]*peer
	// closed refuses further use; guarded by mu.
	closed bool
	// random is settings.Random; guarded by mu.
	random *rand.Rand
	stop   chan struct{}
	swept  sync.WaitGroup
}

// peer is the state of one address.
type peer struct {
	// dialing lets one goroutine dial at a time.
	dialing chan struct{}

	mu sync.Mutex
	// conn is the live connection or nil; guarded by mu.
	conn *messenger.Conn
	// former holds connections that were replaced while they were suspect: what
	// was sent on them may still be answered there. Guarded by mu.
	former []*messenger.Conn
	// used is the time of the last use; guarded by mu.
	used time.Time
	// pause is the current back-off, until the end of which dials fail with
	// cause; guarded by mu.
	pause time.Duration
	until time.Time
	cause error
}

// NewPool returns an empty pool.
func NewPool(s Settings) *Pool {
	if s.Random == nil {
		panic("dialer: NewPool needs a random source")
	}
	if s.DialTimeout <= 0 {
		s.DialTimeout = DefaultDialTimeout
	}
	if s.BackOffInitial <= 0 {
		s.BackOffInitial = DefaultBackOffInitial
	}
	if s.BackOffMax <= 0 {
		s.BackOffMax = DefaultBackOffMax
	}
	if s.IdleLimit <= 0 {
		s.IdleLimit = DefaultIdleLimit
	}
	if s.Dial == nil {
		s.Dial = dialTCP
	}
	p := &Pool{settings: s, peers: make(map[string]*peer), random: s.Random, stop: make(chan struct{})}
	p.swept.Add(1)
	go p.sweep()
	return p
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// Conn returns a live connection to address, dialling where there is none. Its
// error is a *NotConnectedError or the context's.
func (p *Pool) Conn(ctx context.Context, address string) (*messenger.Conn, error) {
	e, err := p.peer(address)
	if err != nil {
		return nil, err
	}
	if c := e.live(); c != nil {
		return c, nil
	}
	select {
	case e.dialing <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-e.dialing }()
	if c := e.live(); c != nil {
		return c, nil
	}
	if err := e.pausing(); err != nil {
		return nil, &NotConnectedError{Address: address, Cause: err}
	}
	return p.dial(ctx, address, e)
}

// Live returns the connection that Conn would return without a dial, or nil.
func (p *Pool) Live(address string) *messenger.Conn {
	e, err := p.peer(address)
	if err != nil {
		return nil
	}
	return e.live()
}

func (p *Pool) peer(address string) (*peer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, &NotConnectedError{Address: address, Cause: errors.New("the process is stopping")}
	}
	e := p.peers[address]
	if e == nil {
		e = &peer{dialing: make(chan struct{}, 1)}
		p.peers[address] = e
	}
	return e, nil
}

func (p *Pool) dial(ctx context.Context, address string, e *peer) (*messenger.Conn, error) {
	dialing, cancel := context.WithTimeout(ctx, p.settings.DialTimeout)
	defer cancel()
	network, err := p.settings.Dial(dialing, address)
	if err != nil {
		if ctx.Err() == nil {
			e.failed(err, p.settings, p.jitter())
		}
		return nil, &NotConnectedError{Address: address, Cause: err}
	}
	c := messenger.NewConn(network, p.settings.Messenger) //nolint:contextcheck // The connection outlives its dial.
	p.mu.Lock()
	closed := p.closed
	if !closed {
		e.opened(c)
	}
	p.mu.Unlock()
	if closed {
		return nil, &NotConnectedError{Address: address, Cause: errors.Annotate(c.Close(), "the process is stopping")}
	}
	return c, nil
}

// jitter returns a factor from 0.5 to 1.5.
func (p *Pool) jitter() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return 0.5 + p.random.Float64()
}

// live returns the open connection, or nil where a new one is to be dialled: when
// all connections of a process go silent at once, as when a middle box loses its
// table, calls given to them would each wait for the silence limit, although new
// connections work.
func (e *peer) live() *messenger.Conn {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn == nil {
		return nil
	}
	switch {
	case e.conn.Ended():
		e.conn = nil
		return nil
	case e.conn.Suspect():
		e.former = append(e.former, e.conn)
		e.conn = nil
		return nil
	default:
		e.used = time.Now()
		return e.conn
	}
}

// unused removes and returns the connections that nobody needs any more, or all
// of them.
func (e *peer) unused(idle time.Duration, all bool) []*messenger.Conn {
	e.mu.Lock()
	defer e.mu.Unlock()
	var unused, kept []*messenger.Conn
	for _, c := range e.former {
		if all || c.Ended() || c.Idle() > idle {
			unused = append(unused, c)
			continue
		}
		kept = append(kept, c)
	}
	e.former = kept
	if e.conn != nil && (all || min(time.Since(e.used), e.conn.Idle()) > idle) {
		unused = append(unused, e.conn)
		e.conn = nil
	}
	return unused
}

// pausing returns the last dial's error during the back-off.
func (e *peer) pausing() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.until) {
		return e.cause
	}
	return nil
}

func (e *peer) failed(cause error, s Settings, jitter float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pause = min(max(2*e.pause, s.BackOffInitial), s.BackOffMax)
	e.until = time.Now().Add(time.Duration(float64(e.pause) * jitter))
	e.cause = cause
}

func (e *peer) opened(c *messenger.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conn, e.used, e.pause, e.until = c, time.Now(), 0, time.Time{}
}

// sweep closes idle connections: an entry would otherwise keep one to every
// companion it ever used.
func (p *Pool) sweep() {
	defer p.swept.Done()
	ticker := time.NewTicker(p.settings.IdleLimit / 4)
	defer ticker.Stop()
	for {
		select {
		case <-p.stop:
			return
		case <-ticker.C:
			for _, c := range p.idle() {
				go c.Close() //nolint:errcheck // An idle connection's closing error means nothing.
			}
		}
	}
}

func (p *Pool) idle() []*messenger.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var idle []*messenger.Conn
	for _, e := range p.peers {
		idle = append(idle, e.unused(p.settings.IdleLimit, false)...)
	}
	return idle
}

// Close ends all connections and waits for their handlers.
func (p *Pool) Close() error {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil
	}
	p.closed = true
	close(p.stop)
	var open []*messenger.Conn
	for _, e := range p.peers {
		open = append(open, e.unused(0, true)...)
	}
	p.mu.Unlock()
	p.swept.Wait()
	var first error
	for _, c := range open {
		if err := c.Close(); err != nil && first == nil {
			first = err
		}
	}
	return errors.Trace(first)
}
