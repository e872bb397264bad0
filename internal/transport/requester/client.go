package requester

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/protocol/exchanger"
	"marigoldpoint.example/marigoldpoint/internal/state/pauser"
	"marigoldpoint.example/marigoldpoint/internal/transport/operator"
)

// workspacesPath is the path of the list of workspaces, and the prefix of the paths of
// all resources except members.
const workspacesPath = operator.Prefix + "workspaces"

// resourcePath returns the path of WORKSPACE, WORKSPACE/KIND or
// WORKSPACE/KIND/NAME.
func resourcePath(path string) string { return workspacesPath + "/" + path }

// maxAnswerBytes limits an answer that is read in full.
const maxAnswerBytes = 64 << 20

// Defaults of Settings.
const (
	DefaultAttempts = 5
	DefaultPause    = 300 * time.Millisecond
)

// Settings are the options of a Client.
type Settings struct {
	// Address is the IP:port of an operators' listener. Required.
	Address string
	// Key is the operators' bearer key; empty means none.
	Key string
	// Attempts is the maximum number of times that a change is sent; 0 means
	// DefaultAttempts.
	Attempts int
	// Pause is the time between two attempts; 0 means DefaultPause.
	Pause time.Duration
	// Client sends the requests; nil means one with an exchanger.Transport.
	Client *http.Client
}

// Client sends requests to one operators' listener.
type Client struct{ settings Settings }

// NewClient returns a client with defaults applied to unset options.
func NewClient(s Settings) *Client {
	if s.Attempts <= 0 {
		s.Attempts = DefaultAttempts
	}
	if s.Pause <= 0 {
		s.Pause = DefaultPause
	}
	if s.Client == nil {
		s.Client = &http.Client{Transport: exchanger.NewTransport()}
	}
	return &Client{settings: s}
}

// Conditions are the preconditions of a change.
type Conditions struct {
	// IfMatch is the required revision of the resource; 0 means any.
	IfMatch uint64
	// Create requires that the resource does not exist yet.
	Create bool
	// IdempotencyKey identifies the change; empty means a new key.
	IdempotencyKey string
}

// RefusedError is the error for an answer that refuses the request.
type RefusedError struct {
	Status  int
	Problem operator.Problem
}

// Error returns the status, the reason and the detail.
func (r *RefusedError) Error() string {
	return strconv.Itoa(r.Status) + " " + r.Problem.Reason.String() + ": " + r.Problem.Detail
}

// Get returns the document at path, which is WORKSPACE, WORKSPACE/KIND or
// WORKSPACE/KIND/NAME.
func (c *Client) Get(ctx context.Context, path string) ([]byte, error) {
	return c.request(ctx, http.MethodGet, resourcePath(path), nil, nil)
}

// Put declares the resource at path and returns it as accepted. The error for a refusal
// is a *RefusedError.
func (c *Client) Put(ctx context.Context, path string, document []byte, conditions Conditions) ([]byte, error) {
	return c.change(ctx, http.MethodPut, path, document, conditions)
}

// Delete deletes the resource at path. The error for a refusal is a *RefusedError.
func (c *Client) Delete(ctx context.Context, path string, conditions Conditions) ([]byte, error) {
	return c.change(ctx, http.MethodDelete, path, nil, conditions)
}

// Watch writes the changes at path after a revision to w, one JSON document per line,
// until ctx or the watch ends.
func (c *Client) Watch(ctx context.Context, path string, after uint64, w io.Writer) error {
	query := url.Values{"Watch": {"true"}}
	if after > 0 {
		query.Set("After", strconv.FormatUint(after, 10))
	}
	response, err := c.send(ctx, http.MethodGet, resourcePath(path)+"?"+query.Encode(), nil, nil)
	if err != nil {
		return errors.Trace(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return readRefusal(response)
	}
	if _, err := io.Copy(w, response.Body); err != nil && ctx.Err() == nil {
		return errors.Annotate(err, "the watch broke off")
	}
	return nil
}

// change sends a change until it is accepted, refused with a permanent error, or out of
// attempts.
func (c *Client) change(ctx context.Context, method, path string, document []byte, conditions Conditions) ([]byte, error) {
	header := http.Header{"Content-Type": {"application/json"}}
	key := conditions.IdempotencyKey
	if key == "" {
		key = rand.Text()
	}
	header.Set("Idempotency-Key", key)
	if conditions.IfMatch != 0 {
		header.Set("If-Match", strconv.Quote(strconv.FormatUint(conditions.IfMatch, 10)))
	}
	if conditions.Create {
		header.Set("If-None-Match", "*")
	}
	for attempt := 1; ; attempt++ {
		answer, err := c.request(ctx, method, resourcePath(path), document, header)
		if err == nil || attempt == c.settings.Attempts || !retryable(err) {
			return answer, errors.Trace(err)
		}
		if !pauser.Pause(ctx, c.settings.Pause) {
			return nil, errors.Trace(err)
		}
	}
}

// retryable reports whether a failed change is worth retrying.
func retryable(err error) bool {
	var r *RefusedError
	if !errors.As(err, &r) {
		return true
	}
	return r.Status >= http.StatusInternalServerError || r.Status == http.StatusTooManyRequests
}

func (c *Client) request(ctx context.Context, method, path string, document []byte, header http.Header) ([]byte, error) {
	response, err := c.send(ctx, method, path, document, header)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return nil, readRefusal(response)
	}
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	return answer, errors.Annotate(err, "reading the answer")
}

func (c *Client) send(ctx context.Context, method, path string, document []byte, header http.Header) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.settings.Address+path, bytes.NewReader(document))
	if err != nil {
		return nil, errors.Trace(err)
	}
	if header != nil {
		request.Header = header.Clone()
	}
	if c.settings.Key != "" {
		request.Header.Set("Authorization", "Bearer "+c.settings.Key)
	}
	response, err := c.settings.Client.Do(request)
	return response, errors.Trace(err)
}

func readRefusal(response *http.Response) error {
	r := &RefusedError{Status: response.StatusCode}
	body := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes))
	if err := body.Decode(&r.Problem); err != nil {
		r.Problem.Detail = response.Status
	}
	return r
}
