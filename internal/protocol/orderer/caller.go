package orderer

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/regulator"
	"marigoldpoint.example/marigoldpoint/internal/protocol/exchanger"
)

// Settings are the settings of a client. The zero value of every field except Address
// means its default.
type Settings struct {
	// Address is the backend server's IP address and port.
	Address string
	// DialTimeout limits the time to open a connection; 1 s by default.
	DialTimeout time.Duration
	// AnswerTimeout limits a short call from its start to the end of its answer; 5 s by
	// default.
	AnswerTimeout time.Duration
	// LoadTimeout limits a load order; 2 min by default.
	LoadTimeout time.Duration
	// SilenceLimit is the maximum time without a received line on the connection of a
	// stream; 5 s by default. It must exceed the heartbeat interval of the engine.
	SilenceLimit time.Duration
	// ResumeAttempts is the maximum number of consecutive attempts to resume a broken
	// stream that yield no new event; 4 by default.
	ResumeAttempts int
	// ResumePause is the pause before each of these attempts except the first; 200 ms
	// by default.
	ResumePause time.Duration
	// IdleTimeout is the time after which an idle pooled connection is closed; 20 s by
	// default. It must be shorter than the time after which middleboxes drop the state
	// of idle connections.
	IdleTimeout time.Duration
	// MaxEventBytes is the maximum size of one event of a stream; 1 MiB by default.
	MaxEventBytes int
	// MaxAnswerBytes is the maximum size of the answer to a short call; 64 MiB by
	// default.
	MaxAnswerBytes int64
	// Dial opens connections; a net.Dialer by default.
	Dial func(ctx context.Context, network, address string) (net.Conn, error) `json:"-"`
}

func (s Settings) withDefaults() Settings {
	setDefault(&s.DialTimeout, time.Second)
	setDefault(&s.AnswerTimeout, 5*time.Second)
	setDefault(&s.LoadTimeout, 2*time.Minute)
	setDefault(&s.SilenceLimit, 5*time.Second)
	setDefault(&s.ResumeAttempts, 4)
	setDefault(&s.ResumePause, 200*time.Millisecond)
	setDefault(&s.IdleTimeout, 20*time.Second)
	setDefault(&s.MaxEventBytes, 1<<20)
	setDefault(&s.MaxAnswerBytes, 64<<20)
	if s.Dial == nil {
		s.Dial = (&net.Dialer{Timeout: s.DialTimeout}).DialContext
	}
	return s
}

func setDefault[T int | int64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// client sends requests and reports exactly whether a failed request may have begun.
type client struct {
	settings Settings
	// singleUse opens a new connection for each call and never repeats a call, since
	// net/http repeats only calls that failed on a reused connection.
	singleUse *exchanger.Transport
	// pooled reuses connections. It is used only for calls that may be repeated.
	pooled *exchanger.Transport
}

func newClient(s Settings) *client {
	if s.Address == "" {
		panic("orderer: settings without an address")
	}
	s = s.withDefaults()
	c := &client{settings: s}
	c.singleUse = c.transport()
	c.singleUse.DisableKeepAlives = true
	c.pooled = c.transport()
	return c
}

// maxHeadBytes bounds the head of an engine's answer. A faulty engine may send fields without end.
const maxHeadBytes = 16 << 10

func (c *client) transport() *exchanger.Transport {
	return &exchanger.Transport{Transport: &http.Transport{
		DialContext:            c.dial,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    8,
		IdleConnTimeout:        c.settings.IdleTimeout,
		MaxResponseHeaderBytes: maxHeadBytes,
	}}
}

func (c *client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.DialTimeout)
	defer cancel()
	conn, err := c.settings.Dial(ctx, network, address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &sealableConn{Conn: exchanger.NewOrderlyConn(conn)}, nil
}

// Close closes the idle connections. Calls in progress continue.
func (c *client) Close() {
	c.singleUse.CloseIdleConnections()
	c.pooled.CloseIdleConnections()
}

func (c *client) url(path string) string { return "http://" + c.settings.Address + path }

// sendOnce sends the request at most once, on a new connection. It returns an answer of
// any status. The error is always an *Error.
func (c *client) sendOnce(r *http.Request) (*http.Response, error) {
	return send(c.singleUse, r)
}

// sendRepeatable sends the request on a pooled connection. The request may be sent twice.
func (c *client) sendRepeatable(r *http.Request) (*http.Response, error) {
	if r.Header.Get(HeaderIdempotencyKey) == "" {
		// An empty list sends no header, but allows net/http to repeat a request that
		// failed because its reused connection had been closed.
		r.Header[HeaderIdempotencyKey] = []string{}
	}
	answer, err := send(c.pooled, r)
	if err != nil {
		// The cause of this failure may affect the other pooled connections too, and
		// each of them would cost another timeout.
		c.pooled.CloseIdleConnections()
	}
	return answer, err
}

// send sends the request. The error is always an *Error.
func send(t *exchanger.Transport, r *http.Request) (*http.Response, error) {
	conns := &connSet{}
	ctx := httptrace.WithClientTrace(r.Context(), conns.trace())
	answer, err := t.RoundTrip(r.WithContext(ctx))
	if err != nil {
		failure := &Error{MayHaveBegun: conns.seal(), Cause: err}
		if cause := context.Cause(ctx); cause != nil {
			failure.Cause = cause
		}
		return nil, failure
	}
	return answer, nil
}

// refusal converts an answer with an error status to an *Error. It reads the body but
// does not close it.
func refusal(answer *http.Response) *Error {
	e := &Error{
		MayHaveBegun: mayHaveBegun(answer.StatusCode),
		Status:       answer.StatusCode,
		Incarnation:  answer.Header.Get(HeaderIncarnation),
	}
	if seconds, err := strconv.Atoi(answer.Header.Get("Retry-After")); err == nil && seconds > 0 {
		e.RetryAfter = time.Duration(seconds) * time.Second
	}
	var body ErrorBody
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxErrorBytes)).Decode(&body); err == nil {
		e.Type = body.Error.Type
		e.Message = body.Error.Message
	}
	e.Reason = reasonForType(answer.StatusCode, e.Type)
	return e
}

const maxErrorBytes = 64 << 10

// mayHaveBegun reports whether an engine may have begun a call that it answered with the
// status. An engine sends 4xx and 503 before it begins a call, except for a timeout, for
// a request that conflicts with one that has begun, and for a request that has moved.
func mayHaveBegun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusConflict, http.StatusGone:
		return true
	case http.StatusServiceUnavailable:
		return false
	default:
		return status < 400 || status >= 500
	}
}

func reasonForType(status int, errorType string) error {
	switch errorType {
	case TypeNotFound:
		return ErrNotResident
	case TypeFenced:
		return ErrFenced
	case TypeNoSlot:
		return ErrNoSlot
	case TypeInvalid:
		return ErrAlreadyLoaded
	case TypeLoadFailed:
		return ErrLoadFailed
	case TypeMoved:
		return ErrMoved
	}
	if status == http.StatusPreconditionFailed {
		return ErrFenced
	}
	return nil
}

// reportLimit passes on what an answer says about the backend server's limit of requests. A
// malformed limit says nothing, and an answer with an error status does not end one.
func reportLimit(answer *http.Response, report func(regulator.Notice)) {
	if report == nil {
		return
	}
	n, err := regulator.ParseNotice(answer.Header.Values(HeaderRequestLimit))
	if err != nil || n.Kind == regulator.NoticeUnlimited && answer.StatusCode >= http.StatusBadRequest {
		return
	}
	report(n)
}
