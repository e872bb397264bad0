package messenger

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/jsonrpc2"

	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
)

// The defaults of a connection.
const (
	// DefaultHeartbeatInterval is the time between two heartbeats.
	DefaultHeartbeatInterval = 500 * time.Millisecond
	// DefaultSilenceLimit is the silence after which a connection is given up.
	DefaultSilenceLimit = 2 * time.Second
	// refusalCode is the JSON-RPC error code of a Refusal.
	refusalCode = -32050
)

// Handler serves what the other end sends. A notification's result is dropped;
// its handling must be quick, since it holds up what comes after. An error that
// is not a *Refusal crosses as ReasonInternal.
type Handler interface {
	Handle(ctx context.Context, c *Conn, method Method, params json.RawMessage) (any, error)
}

// HandlerFunc is a Handler made of a function.
type HandlerFunc func(ctx context.Context, c *Conn, method Method, params json.RawMessage) (any, error)

// Handle calls the function.
func (f HandlerFunc) Handle(ctx context.Context, c *Conn, m Method, p json.RawMessage) (any, error) {
	return f(ctx, c, m, p)
}

// Settings are a connection's options.
type Settings struct {
	// HeartbeatInterval is the time between heartbeats, the same at both ends; 0
	// means DefaultHeartbeatInterval.
	HeartbeatInterval time.Duration
	// SilenceLimit is the silence after which the connection is closed; 0 means
	// DefaultSilenceLimit. It must exceed twice the HeartbeatInterval.
	SilenceLimit time.Duration
	// QuietInterval takes the place of HeartbeatInterval on a connection that neither
	// end attends; 0 means that there is no such pace. It must be the same at both
	// ends, and longer than HeartbeatInterval.
	QuietInterval time.Duration
	// Recorder stamps messages and records silent connections; it may be nil.
	Recorder *recorder.Recorder
	// Handler serves the other end's calls; nil refuses them all.
	Handler Handler
	// Allow decides whether the other end of a network connection may send a
	// message, before Handler is given it; its error, a *Refusal, is the answer.
	// Nil allows all.
	Allow func(network net.Conn, method Method, params json.RawMessage) error
	Log   zerolog.Logger
}

// Conn is one connection between two processes. It may be used by several
// goroutines.
type Conn struct {
	settings Settings
	rpc      *jsonrpc2.Conn
	stream   *stream
	network  net.Conn
	// heard is the time of the last message received, in nanoseconds since
	// began.
	heard atomic.Int64
	// worked is the time of the last message either way which was no heartbeat,
	// in nanoseconds since began.
	worked atomic.Int64
	// sent is the time of the last message sent, in nanoseconds since began.
	sent  atomic.Int64
	began time.Time
	// attending tells that this end wants the full pace, since attendedAt, in
	// nanoseconds since began.
	attending  atomic.Bool
	attendedAt atomic.Int64
	// peerPaces tells that the other end knows of paces, and peerAttends that it wants
	// the full one.
	peerPaces   atomic.Bool
	peerAttends atomic.Bool
	// hurry has a heartbeat sent at once.
	hurry chan struct{}
	// ready is closed once rpc is set, since the read loop starts before that.
	ready  chan struct{}
	cancel context.CancelFunc

	mu sync.Mutex
	// closing means that no handler begins any more; guarded by mu, so that
	// none begins while Close waits.
	closing bool
	serving sync.WaitGroup
}

// NewConn serves and uses an open network connection until it closes.
func NewConn(network net.Conn, s Settings) *Conn {
	if s.HeartbeatInterval <= 0 {
		s.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if s.SilenceLimit <= 0 {
		s.SilenceLimit = DefaultSilenceLimit
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Conn{settings: s, network: network, began: time.Now(), ready: make(chan struct{}), cancel: cancel, hurry: make(chan struct{}, 1)}
	c.stream = newStream(network, func(n notice) { rpcHandler{c}.noticed(ctx, n) })
	c.rpc = jsonrpc2.NewConn(
		ctx, c.stream, rpcHandler{c},
		jsonrpc2.OnRecv(c.received), jsonrpc2.OnSend(c.stamp), jsonrpc2.SetLogger(quietLogger{s.Log}),
	)
	// A handler may close the connection: beat is counted before any begins, or
	// Close would not wait for it.
	c.serving.Add(1)
	close(c.ready)
	go c.beat(ctx)
	if s.QuietInterval > 0 {
		c.sendPace()
	}
	return c
}

// Peer returns the other end's address.
func (c *Conn) Peer() string { return c.network.RemoteAddr().String() }

// Idle returns the time since the last message either way, heartbeats left out.
func (c *Conn) Idle() time.Duration {
	return time.Since(c.began) - time.Duration(c.worked.Load())
}

// Suspect reports whether two heartbeats in a row have failed to come, by this
// end's own HeartbeatInterval: both ends must beat at the same, or else the one
// with the shorter interval takes every connection for suspect. The connection may
// yet recover; a new one is the better choice for what is new.
func (c *Conn) Suspect() bool {
	silence, _ := c.Silence()
	return silence > 2*c.settings.HeartbeatInterval+c.settings.HeartbeatInterval/4
}

// Silence returns for how long a message of the other end has been due: at the full
// pace, the time since the last one, or since this end began to attend; at the quiet
// pace, what exceeds the time between two heartbeats of it. Where none has come yet it
// counts from the connection's begin, and ok is false.
func (c *Conn) Silence() (silence time.Duration, ok bool) {
	heard := c.heard.Load()
	since := time.Since(c.began)
	switch {
	case c.quiet():
		return max(0, since-time.Duration(heard)-c.settings.QuietInterval), heard > 0
	case c.attending.Load():
		return since - time.Duration(max(heard, c.attendedAt.Load())), heard > 0
	default:
		return since - time.Duration(heard), heard > 0
	}
}

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.rpc.DisconnectNotify() }

// Ended reports whether the connection has ended.
func (c *Conn) Ended() bool {
	select {
	case <-c.Done():
		return true
	default:
		return false
	}
}

// Close ends the connection and waits for its handlers. A handler must not call
// it.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	err := c.abort()
	c.serving.Wait()
	return err
}

// begin counts a handler in, unless the connection is closing.
func (c *Conn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.serving.Add(1)
	return true
}

func (c *Conn) abort() error {
	c.cancel()
	if err := c.rpc.Close(); err != nil && !errors.Is(err, jsonrpc2.ErrClosed) {
		return errors.Trace(err)
	}
	return nil
}

// Call sends a request and waits for its answer. Its errors are a *Refusal, a
// *BrokenError, or the context's error; after the latter the call may still
// take effect.
func (c *Conn) Call(ctx context.Context, method Method, params, result any) error {
	waiter, err := c.rpc.DispatchCall(ctx, string(method), params)
	if err != nil {
		return c.broken(err)
	}
	if err = waiter.Wait(ctx, result); errors.Is(err, jsonrpc2.ErrClosed) {
		<-c.Done()
	}
	return callError(err)
}

// broken returns the error of a message that could not be sent. By then Done is
// closed, as it is when a call learns that its connection closed: the library
// tells waiting calls before it closes Done, and for a write that failed it
// doesn't. A caller that asked its pool at once would be given the same
// connection again, and take the other end for one that can't be reached.
func (c *Conn) broken(err error) error {
	var failed *writeError
	if errors.As(err, &failed) {
		if err := c.abort(); err != nil {
			c.settings.Log.Debug().Err(err).Str("Peer", c.Peer()).Msg("closing a broken connection")
		}
	}
	return &BrokenError{Sent: !errors.Is(err, jsonrpc2.ErrClosed), Cause: err}
}

func callError(err error) error {
	if err == nil {
		return nil
	}
	var remote *jsonrpc2.Error
	if !errors.As(err, &remote) {
		if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
			return err
		}
		return &BrokenError{Sent: true, Cause: err}
	}
	refusal := &Refusal{Reason: ReasonInternal, Detail: remote.Message}
	if remote.Code == refusalCode && remote.Data != nil {
		if err := json.Unmarshal(*remote.Data, refusal); err != nil {
			return &BrokenError{Sent: true, Cause: err}
		}
	}
	return refusal
}

// Notify sends a message without waiting for its effect.
func (c *Conn) Notify(ctx context.Context, method Method, params any) error {
	if frequent(method) {
		return c.notice(method, params)
	}
	if err := c.rpc.Notify(ctx, string(method), params); err != nil {
		return c.broken(err)
	}
	return nil
}

// notice sends a frequent notification.
func (c *Conn) notice(method Method, params any) error {
	if c.Ended() {
		return &BrokenError{Cause: jsonrpc2.ErrClosed}
	}
	var t recorder.Timestamp
	if c.settings.Recorder != nil {
		t = c.settings.Recorder.Clock().Now()
	}
	if method != MethodHeartbeat && method != MethodPace {
		c.worked.Store(int64(time.Since(c.began)))
	}
	c.sent.Store(int64(time.Since(c.began)))
	if err := c.stream.writeNotice(method, t, params); err != nil {
		return c.broken(err)
	}
	return nil
}

// fallSilent gives the connection up.
func (c *Conn) fallSilent() {
	c.settings.Recorder.Record(recorder.Event{Kind: recorder.KindConnectionSilent, Detail: c.Peer()})
	if err := c.abort(); err != nil {
		c.settings.Log.Debug().Err(err).Str("Peer", c.Peer()).Msg("closing a silent connection")
	}
}

// noteWork notes a message which is no heartbeat.
func (c *Conn) noteWork(request *jsonrpc2.Request) {
	if request == nil || Method(request.Method) != MethodHeartbeat {
		c.worked.Store(int64(time.Since(c.began)))
	}
}

// received notes the arrival of a message and observes its timestamp.
func (c *Conn) received(request *jsonrpc2.Request, response *jsonrpc2.Response) {
	c.heard.Store(int64(time.Since(c.began)))
	c.noteWork(request)
	meta := (*json.RawMessage)(nil)
	switch {
	case response != nil:
		meta = response.Meta
	case request != nil:
		meta = request.Meta
	}
	if meta == nil || c.settings.Recorder == nil {
		return
	}
	var t recorder.Timestamp
	if err := json.Unmarshal(*meta, &t); err == nil {
		c.settings.Recorder.Clock().Observe(t)
	}
}

// stamp puts the hybrid logical clock's reading on a message.
func (c *Conn) stamp(request *jsonrpc2.Request, response *jsonrpc2.Response) {
	c.noteWork(request)
	c.sent.Store(int64(time.Since(c.began)))
	if c.settings.Recorder == nil {
		return
	}
	data, err := json.Marshal(c.settings.Recorder.Clock().Now())
	if err != nil {
		return
	}
	meta := json.RawMessage(data)
	switch {
	case request != nil:
		request.Meta = &meta
	case response != nil:
		response.Meta = &meta
	}
}
