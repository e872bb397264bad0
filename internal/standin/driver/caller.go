package driver

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
	"marigoldpoint.example/marigoldpoint/internal/protocol/translator"
)

// deadlineGrace is the time that a caller waits beyond the call's deadline, so that it
// still receives a refusal that is sent at the deadline.
const deadlineGrace = 2 * time.Second

// newClient returns a client that keeps up to parallelism idle connections to each host.
func newClient(parallelism int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 3 * time.Second}).DialContext,
		MaxIdleConnsPerHost: parallelism,
		DisableCompression:  true,
	}}
}

// caller sends calls. It is safe for concurrent use.
type caller struct {
	client  *http.Client
	service string
	// bearer holds the value of the Authorization header by workspace.
	bearer []string
	// now returns the time since the start of the run.
	now func() time.Duration
}

// call sends q to the entry and reads the answer. An error is stored in Answer.Failure.
func (c *caller) call(ctx context.Context, entry string, q *Call) Answer {
	a := Answer{Sent: c.now(), SentAt: time.Now()}
	timeLeft := max(q.Intended+q.Deadline-a.Sent, time.Millisecond)
	ctx, cancel := context.WithTimeout(ctx, timeLeft+deadlineGrace)
	defer cancel()
	if err := c.exchangeHTTP(ctx, entry, q, timeLeft, &a); err != nil {
		a.Failure = errors.Cause(err).Error()
	}
	a.Ended = c.now()
	return a
}

func (c *caller) exchangeHTTP(ctx context.Context, entry string, q *Call, timeLeft time.Duration, a *Answer) error {
	r, err := c.request(ctx, entry, q)
	if err != nil {
		return err
	}
	r.Header.Set(translator.HeaderAuthorization, c.bearer[q.Workspace])
	r.Header.Set(translator.HeaderDeadline, timeLeft.Round(time.Millisecond).String())
	if q.Key != "" {
		r.Header.Set(translator.HeaderIdempotencyKey, q.Key)
		r.GetBody = nil // Prevents net/http from retrying calls that have an Idempotency-Key.
	}
	answer, err := c.client.Do(r)
	if err != nil {
		return errors.Trace(err)
	}
	defer answer.Body.Close()
	a.Status = answer.StatusCode
	a.readFields(answer.Header)
	b := bodyReader{answer: a, now: c.now}
	read := b.readWhole
	switch {
	case strings.HasPrefix(answer.Header.Get(translator.HeaderContentType), "text/event-stream"):
		read = b.readStream
	case q.Kind.isService():
		read = b.readService
	}
	if err := read(answer.Body); err != nil {
		return err
	}
	a.readFields(answer.Trailer)
	return nil
}

// request returns the HTTP request for a call.
func (c *caller) request(ctx context.Context, entry string, q *Call) (*http.Request, error) {
	base := "http://" + entry
	switch q.Kind {
	case ServiceRead:
		return newRequest(ctx, http.MethodGet, base+"/services/"+c.service+q.Path, http.NoBody)
	case ServiceWrite:
		return newRequest(ctx, http.MethodPost, base+"/services/"+c.service+q.Path, strings.NewReader(q.Prompt))
	default:
	}
	body := orderer.CompletionRequest{Model: q.Model, MaxTokens: q.MaxTokens, Stream: q.Kind.isStreamed()}
	path := translator.PathCompletion
	if q.Kind.isChat() {
		path = translator.PathChat
		body.Messages = q.messages()
	} else {
		body.Prompt = q.Prompt
	}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	r, err := newRequest(ctx, http.MethodPost, base+path, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	r.Header.Set(translator.HeaderContentType, "application/json")
	return r, nil
}

func newRequest(ctx context.Context, method, url string, body io.Reader) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, method, url, body)
	return r, errors.Trace(err)
}
