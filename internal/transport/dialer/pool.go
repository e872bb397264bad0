// Package dialer keeps one open messenger connection to each address that a process
// uses.
//
// A connection that has ended is replaced at the next use. After a failed dial further
// ones to the same address fail at once until a jittered back-off has passed, so that a
// host that is down is not dialled by every request.
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

// Defaults of Settings.
const (
	DefaultDialTimeout    = time.Second
	DefaultBackOffInitial = 50 * time.Millisecond
	DefaultBackOffMax     = 2 * time.Second
	// DefaultIdleLimit is the time after which an unused connection is closed.
	DefaultIdleLimit = 2 * time.Minute
)

// Settings are the options of a Pool.
type Settings struct {
	Messenger messenger.Settings
	// DialTimeout limits one dial; 0 means DefaultDialTimeout.
	DialTimeout time.Duration
	// BackOffInitial and BackOffMax limit the back-off after failed dials; 0 means the
	// defaults.
	BackOffInitial time.Duration
	BackOffMax     time.Duration
	// IdleLimit is the time after which an unused connection is closed; 0 means
	// DefaultIdleLimit.
	IdleLimit time.Duration
	// Random is the source for the jitter of the back-off. Required.
	Random *rand.Rand
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// NotConnectedError is the error if an address can't be reached. Nothing was sent.
type NotConnectedError struct {
	Address string
	Cause   error
}

// Error returns the address and the cause.
func (n *NotConnectedError) Error() string {
	return "no connection to " + n.Address + ": " + n.Cause.Error()
}

// Unwrap returns the cause.
func (n *NotConnectedError) Unwrap() error { return n.Cause }

// Pool holds connections by address. It is safe for concurrent use.
type Pool struct {
	settings Settings

	mu sync.Mutex
	// peers holds all addresses that were used; guarded by mu.
	peers map[string]*peer
	// closed means that the pool may not be used any more; guarded by mu.
	closed bool
	// random is settings.Random; guarded by mu.
	random  *rand.Rand
	stop    chan struct{}
	sweeper sync.WaitGroup
}

// peer is the state of one address.
type peer struct {
	// dialing is a semaphore that allows one dial at a time.
	dialing chan struct{}

	mu sync.Mutex
	// conn is the open connection, or nil; guarded by mu.
	conn *messenger.Conn
	// superseded holds the suspect connections that were replaced: requests sent on
	// them may still be answered there. Guarded by mu.
	superseded []*messenger.Conn
	// lastUsed is the time of the last use; guarded by mu.
	lastUsed time.Time
	// backOff is the length of the last back-off. Until backOffUntil, dials fail with
	// cause. All are guarded by mu.
	backOff      time.Duration
	backOffUntil time.Time
	cause        error
}

// NewPool returns an empty pool. It panics if s.Random is nil.
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
	p.sweeper.Add(1)
	go p.sweep()
	return p
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// Conn returns an open connection to address, and dials if there is none. The error is
// a *NotConnectedError, or that of the context.
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
	if err := e.backOffError(); err != nil {
		return nil, &NotConnectedError{Address: address, Cause: err}
	}
	return p.dial(ctx, address, e)
}

// Live returns the connection that Conn would return without dialling, or nil.
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
			e.dialFailed(err, p.settings, p.jitter())
		}
		return nil, &NotConnectedError{Address: address, Cause: err}
	}
	c := messenger.NewConn(network, p.settings.Messenger) //nolint:contextcheck // The connection outlives its dial.
	p.mu.Lock()
	closed := p.closed
	if !closed {
		e.dialSucceeded(c)
	}
	p.mu.Unlock()
	if closed {
		return nil, &NotConnectedError{Address: address, Cause: errors.Annotate(c.Close(), "the process is stopping")}
	}
	return c, nil
}

// jitter returns a random factor in [0.5, 1.5).
func (p *Pool) jitter() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return 0.5 + p.random.Float64()
}

// live returns the open connection, or nil if a new one is to be dialled. A connection
// with missing heartbeats is replaced at once: when all connections of a process go
// silent together, such as when a middlebox loses its table, calls on them would each
// wait for the silence limit, although new connections work.
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
		e.superseded = append(e.superseded, e.conn)
		e.conn = nil
		return nil
	default:
		e.lastUsed = time.Now()
		return e.conn
	}
}

// unused removes and returns the connections that were idle for longer than idle or
// have ended, or all connections if all is set.
func (e *peer) unused(idle time.Duration, all bool) []*messenger.Conn {
	e.mu.Lock()
	defer e.mu.Unlock()
	var unused, kept []*messenger.Conn
	for _, c := range e.superseded {
		if all || c.Ended() || c.Idle() > idle {
			unused = append(unused, c)
			continue
		}
		kept = append(kept, c)
	}
	e.superseded = kept
	if e.conn != nil && (all || min(time.Since(e.lastUsed), e.conn.Idle()) > idle) {
		unused = append(unused, e.conn)
		e.conn = nil
	}
	return unused
}

// backOffError returns the error of the last dial during the back-off, and nil
// otherwise.
func (e *peer) backOffError() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.backOffUntil) {
		return e.cause
	}
	return nil
}

func (e *peer) dialFailed(cause error, s Settings, jitter float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.backOff = min(max(2*e.backOff, s.BackOffInitial), s.BackOffMax)
	e.backOffUntil = time.Now().Add(time.Duration(float64(e.backOff) * jitter))
	e.cause = cause
}

func (e *peer) dialSucceeded(c *messenger.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conn, e.lastUsed, e.backOff, e.backOffUntil = c, time.Now(), 0, time.Time{}
}

// sweep closes idle connections. Otherwise an entry would keep one to every companion
// that it ever used.
func (p *Pool) sweep() {
	defer p.sweeper.Done()
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

// Close closes all connections and waits for their handlers. It returns the first
// error.
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
	p.sweeper.Wait()
	var first error
	for _, c := range open {
		if err := c.Close(); err != nil && first == nil {
			first = err
		}
	}
	return errors.Trace(first)
}
