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

	"marigoldpoint.example/marigoldpoint/internal/coordination/allotter"
	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
)

// Defaults of Settings.
const (
	// DefaultHeartbeatInterval is the time between two heartbeats.
	DefaultHeartbeatInterval = 500 * time.Millisecond
	// DefaultSilenceLimit is the time without a received message after which a
	// connection is closed.
	DefaultSilenceLimit = 2 * time.Second
	// refusalCode is the JSON-RPC error code of a Refusal.
	refusalCode = -32050
)

// Handler handles the calls and notifications of the peer. The result of a notification
// is discarded. Notifications must be handled quickly, since they block the messages
// that follow. An error that is not a *Refusal reaches the peer as ReasonInternal.
type Handler interface {
	Handle(ctx context.Context, c *Conn, method Method, params json.RawMessage) (any, error)
}

// HandlerFunc adapts a function to a Handler.
type HandlerFunc func(ctx context.Context, c *Conn, method Method, params json.RawMessage) (any, error)

// Handle calls f.
func (f HandlerFunc) Handle(ctx context.Context, c *Conn, m Method, p json.RawMessage) (any, error) {
	return f(ctx, c, m, p)
}

// Settings are a connection's options.
type Settings struct {
	// HeartbeatInterval is the time between heartbeats at the full pace. It must be
	// the same at both ends; 0 means DefaultHeartbeatInterval.
	HeartbeatInterval time.Duration
	// SilenceLimit is the time without a received message after which the connection
	// is closed; 0 means DefaultSilenceLimit. It must exceed twice the
	// HeartbeatInterval.
	SilenceLimit time.Duration
	// QuietInterval replaces HeartbeatInterval while neither end requests the full
	// pace; 0 means that heartbeats are always sent at the full pace. It must be the
	// same at both ends and longer than HeartbeatInterval.
	QuietInterval time.Duration
	// Recorder provides the clock that timestamps messages and records silent
	// connections; it may be nil.
	Recorder *recorder.Recorder
	// Handler handles the calls of the peer; nil refuses all of them.
	Handler Handler
	// Allow decides whether the peer of a network connection may send a message. It
	// is called before Handler. Its error, a *Refusal, is returned to the peer. Nil
	// allows all messages.
	Allow func(network net.Conn, method Method, params json.RawMessage) error
	// Account counts long messages while they are received, and may be evicted until the first message;
	// nil means no limit.
	Account *allotter.Account
	Log     zerolog.Logger
}

// Conn is a connection between two processes. It is safe for concurrent use.
type Conn struct {
	settings Settings
	rpc      *jsonrpc2.Conn
	stream   *stream
	network  net.Conn
	// lastReceived is the time of the last message received, in nanoseconds since
	// started.
	lastReceived atomic.Int64
	// lastActivity is the time of the last message in either direction other than a
	// heartbeat, in nanoseconds since started.
	lastActivity atomic.Int64
	// lastSent is the time of the last message sent, in nanoseconds since started.
	lastSent atomic.Int64
	started  time.Time
	// fullPace reports whether this end requests the full pace. It has done so since
	// fullPaceSince, in nanoseconds since started.
	fullPace      atomic.Bool
	fullPaceSince atomic.Int64
	// peerSendsPace reports whether the peer has sent a Pace, and peerFullPace whether
	// it requests the full pace.
	peerSendsPace atomic.Bool
	peerFullPace  atomic.Bool
	// heartbeatNow requests that a heartbeat be sent immediately.
	heartbeatNow chan struct{}
	// ready is closed once rpc is set. The read loop starts before that.
	ready  chan struct{}
	cancel context.CancelFunc

	mu sync.Mutex
	// closing means that no further handler may start; guarded by mu, so that none
	// starts while Close waits.
	closing bool
	serving sync.WaitGroup
}

// NewConn returns a Conn on an open network connection and starts to serve it. The Conn
// owns the network connection.
func NewConn(network net.Conn, s Settings) *Conn {
	if s.HeartbeatInterval <= 0 {
		s.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if s.SilenceLimit <= 0 {
		s.SilenceLimit = DefaultSilenceLimit
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &Conn{settings: s, network: network, started: time.Now(), ready: make(chan struct{}), cancel: cancel, heartbeatNow: make(chan struct{}, 1)}
	c.stream = newStream(network, s.Account, func(n notice) { rpcHandler{c}.handleNotice(ctx, n) })
	c.rpc = jsonrpc2.NewConn(
		ctx, c.stream, rpcHandler{c},
		jsonrpc2.OnRecv(c.received), jsonrpc2.OnSend(c.stamp), jsonrpc2.SetLogger(debugLogger{s.Log}),
	)
	// A handler may close the connection. runHeartbeats is added to serving before any
	// handler can start; otherwise Close might not wait for it.
	c.serving.Add(1)
	close(c.ready)
	go c.runHeartbeats(ctx)
	if s.QuietInterval > 0 {
		c.sendPace()
	}
	return c
}

// Peer returns the network address of the peer.
func (c *Conn) Peer() string { return c.network.RemoteAddr().String() }

// Idle returns the time since the last message in either direction, not counting
// heartbeats.
func (c *Conn) Idle() time.Duration {
	return time.Since(c.started) - time.Duration(c.lastActivity.Load())
}

// Suspect reports whether two consecutive heartbeats are missing, judged by the
// HeartbeatInterval of this end. Both ends must use the same interval; otherwise the end
// with the shorter one considers every connection suspect. The connection may still
// recover, but new calls should prefer a new connection.
func (c *Conn) Suspect() bool {
	silence, _ := c.Silence()
	return silence > 2*c.settings.HeartbeatInterval+c.settings.HeartbeatInterval/4
}

// Silence returns the time for which a message of the peer has been due. At the full
// pace this is the time since the last message received or since this end requested the
// full pace, whichever is later. At the quiet pace it is the time since the last message
// in excess of QuietInterval. If no message has been received yet, the time counts from
// the start of the connection and ok is false.
func (c *Conn) Silence() (silence time.Duration, ok bool) {
	lastReceived := c.lastReceived.Load()
	since := time.Since(c.started)
	switch {
	case c.atQuietPace():
		return max(0, since-time.Duration(lastReceived)-c.settings.QuietInterval), lastReceived > 0
	case c.fullPace.Load():
		return since - time.Duration(max(lastReceived, c.fullPaceSince.Load())), lastReceived > 0
	default:
		return since - time.Duration(lastReceived), lastReceived > 0
	}
}

// Done returns a channel that is closed when the connection has ended.
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

// Close closes the connection and waits for its handlers to return. A handler must not
// call it.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	err := c.abort()
	c.serving.Wait()
	return err
}

// beginHandler adds a handler to serving and reports whether it may start. It returns
// false if the connection is closing.
func (c *Conn) beginHandler() bool {
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

// Call sends a request and waits for its answer. The error is a *Refusal, a
// *BrokenError or the error of ctx. After an error of ctx the call may still take
// effect.
func (c *Conn) Call(ctx context.Context, method Method, params, result any) error {
	waiter, err := c.rpc.DispatchCall(ctx, string(method), params)
	if err != nil {
		return c.brokenError(err)
	}
	if err = waiter.Wait(ctx, result); errors.Is(err, jsonrpc2.ErrClosed) {
		<-c.Done()
	}
	return callError(err)
}

// brokenError returns the error of a message that could not be sent. After a failed
// write it closes the connection, so that Done is closed before the error is returned.
// The library does not close Done after a failed write, and when a connection closes it
// fails pending calls before it closes Done, which is why Call waits for Done. Otherwise
// a caller that immediately asks its pool for a connection would get the same one again
// and conclude that the peer is unreachable.
func (c *Conn) brokenError(err error) error {
	var failed *writeError
	if errors.As(err, &failed) {
		if err := c.abort(); err != nil {
			c.settings.Log.Debug().Err(err).Str("Peer", c.Peer()).Msg("cannot close broken connection")
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

// Notify sends a notification and does not wait until it is handled.
func (c *Conn) Notify(ctx context.Context, method Method, params any) error {
	if sentAsNotice(method) {
		return c.sendNotice(method, params)
	}
	if err := c.rpc.Notify(ctx, string(method), params); err != nil {
		return c.brokenError(err)
	}
	return nil
}

// sendNotice sends a notification as a notice.
func (c *Conn) sendNotice(method Method, params any) error {
	if c.Ended() {
		return &BrokenError{Cause: jsonrpc2.ErrClosed}
	}
	var t recorder.Timestamp
	if c.settings.Recorder != nil {
		t = c.settings.Recorder.Clock().Now()
	}
	if method != MethodHeartbeat && method != MethodPace {
		c.lastActivity.Store(int64(time.Since(c.started)))
	}
	c.lastSent.Store(int64(time.Since(c.started)))
	if err := c.stream.writeNotice(method, t, params); err != nil {
		return c.brokenError(err)
	}
	return nil
}

// closeSilent closes a connection that has exceeded the silence limit and records this.
func (c *Conn) closeSilent() {
	c.settings.Recorder.Record(recorder.Event{Kind: recorder.KindConnectionSilent, Detail: c.Peer()})
	if err := c.abort(); err != nil {
		c.settings.Log.Debug().Err(err).Str("Peer", c.Peer()).Msg("cannot close silent connection")
	}
}

// recordActivity records the time of a message unless it is a heartbeat.
func (c *Conn) recordActivity(request *jsonrpc2.Request) {
	if request == nil || Method(request.Method) != MethodHeartbeat {
		c.lastActivity.Store(int64(time.Since(c.started)))
	}
}

// received records the arrival of a message and observes its timestamp.
func (c *Conn) received(request *jsonrpc2.Request, response *jsonrpc2.Response) {
	c.lastReceived.Store(int64(time.Since(c.started)))
	c.recordActivity(request)
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

// stamp adds the reading of the hybrid logical clock to an outgoing message.
func (c *Conn) stamp(request *jsonrpc2.Request, response *jsonrpc2.Response) {
	c.recordActivity(request)
	c.lastSent.Store(int64(time.Since(c.started)))
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
