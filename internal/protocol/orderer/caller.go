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
)

// Settings are the settings of a client. The zero value of each field but Address
// means its default.
type Settings struct {
	// Address is the backend server's IP address and port.
	Address string
	// DialTimeout bounds the making of a connection; 1 s by default.
	DialTimeout time.Duration
	// AnswerTimeout bounds a short call from its start to the end of its answer;
	// 5 s by default.
	AnswerTimeout time.Duration
	// LoadTimeout bounds a load order; 2 min by default.
	LoadTimeout time.Duration
	// SilenceLimit is the longest time without a byte on the connection of a
	// stream; 5 s by default. It must exceed the engine's heartbeat interval.
	SilenceLimit time.Duration
	// ResumeAttempts is the number of times in a row that a broken stream is asked
	// after without getting anything new; 4 by default.
	ResumeAttempts int
	// ResumePause is the pause before a second and later of these; 200 ms by default.
	ResumePause time.Duration
	// IdleTimeout is the time after which a pooled connection is closed; 20 s by
	// default. It must be below the time in which middle boxes forget connections.
	IdleTimeout time.Duration
	// MaxEventBytes bounds one event of a stream; 1 MiB by default.
	MaxEventBytes int
	// MaxAnswerBytes bounds the answer of a short call; 64 MiB by default.
	MaxAnswerBytes int64
	// Dial makes connections; a net.Dialer by default.
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

// caller sends requests and tells exactly whether one that failed may have begun.
type caller struct {
	settings Settings
	// fresh makes one connection for each call and never repeats a call: net/http
	// repeats only calls that failed on a reused connection.
	fresh *http.Transport
	// pooled reuses connections. It serves only calls that may be repeated.
	pooled *http.Transport
}

func newCaller(s Settings) *caller {
	if s.Address == "" {
		panic("orderer: settings without an address")
	}
	s = s.withDefaults()
	c := &caller{settings: s}
	c.fresh = c.transport()
	c.fresh.DisableKeepAlives = true
	c.pooled = c.transport()
	return c
}

func (c *caller) transport() *http.Transport {
	return &http.Transport{
		DialContext:         c.dial,
		DisableCompression:  true,
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     c.settings.IdleTimeout,
	}
}

func (c *caller) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.DialTimeout)
	defer cancel()
	conn, err := c.settings.Dial(ctx, network, address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &recorder{Conn: conn}, nil
}

// Close closes the idle connections. Calls in progress go on.
func (c *caller) Close() {
	c.fresh.CloseIdleConnections()
	c.pooled.CloseIdleConnections()
}

func (c *caller) url(path string) string { return "http://" + c.settings.Address + path }

// once sends the request on a connection of its own, at most once. The answer is
// returned whatever its status; an error is always an *Error.
func (c *caller) once(r *http.Request) (*http.Response, error) {
	return send(c.fresh, r)
}

// repeatable sends the request on a pooled connection. It may be sent twice.
func (c *caller) repeatable(r *http.Request) (*http.Response, error) {
	if r.Header.Get(HeaderIdempotencyKey) == "" {
		// An empty list sends no header and tells net/http that it may repeat a
		// request that failed because its reused connection had been closed.
		r.Header[HeaderIdempotencyKey] = []string{}
	}
	answer, err := send(c.pooled, r)
	if err != nil {
		// Whatever made this connection fail may have silenced the others of the
		// pool too; each would cost another timeout.
		c.pooled.CloseIdleConnections()
	}
	return answer, err
}

func send(t *http.Transport, r *http.Request) (*http.Response, error) {
	tried := &attempts{}
	ctx := httptrace.WithClientTrace(r.Context(), tried.trace())
	answer, err := t.RoundTrip(r.WithContext(ctx))
	if err != nil {
		failure := &Error{MayHaveBegun: tried.seal(), Cause: err}
		if cause := context.Cause(ctx); cause != nil {
			failure.Cause = cause
		}
		return nil, failure
	}
	return answer, nil
}

// refusal turns an answer that is not a success into an *Error.
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
	e.Reason = reasonOf(answer.StatusCode, e.Type)
	return e
}

const maxErrorBytes = 64 << 10

// mayHaveBegun tells whether an engine may have begun a call that it answered with
// the status. An engine gives 4xx and 503 before it begins, but for a timeout,
// for a request that conflicts with one that did begin, and for one that moved.
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

func reasonOf(status int, kind string) error {
	switch kind {
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
