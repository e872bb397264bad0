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

	"marigoldpoint.example/marigoldpoint/internal/state/pauser"
	"marigoldpoint.example/marigoldpoint/internal/transport/operator"
)

// workspacesPath is the path of the list of workspaces, and precedes that of all
// resources but members.
const workspacesPath = operator.Prefix + "workspaces"

// resourcePath returns the path of WORKSPACE, WORKSPACE/KIND or
// WORKSPACE/KIND/NAME.
func resourcePath(path string) string { return workspacesPath + "/" + path }

// maxAnswerBytes bounds an answer that is read whole.
const maxAnswerBytes = 64 << 20

// The defaults of a client.
const (
	DefaultAttempts = 5
	DefaultPause    = 300 * time.Millisecond
)

// Settings are the options of a client.
type Settings struct {
	// Address is an operators' listener, IP:port. Required.
	Address string
	// Key is the operators' bearer key; empty means none.
	Key string
	// Attempts bounds how often a change is sent; 0 means DefaultAttempts.
	Attempts int
	// Pause is the time between attempts where the answer names none; 0 means
	// DefaultPause.
	Pause time.Duration
	// Client sends; nil means one of its own.
	Client *http.Client
}

// Client asks one operators' listener.
type Client struct{ settings Settings }

// NewClient returns a client.
func NewClient(s Settings) *Client {
	if s.Attempts <= 0 {
		s.Attempts = DefaultAttempts
	}
	if s.Pause <= 0 {
		s.Pause = DefaultPause
	}
	if s.Client == nil {
		s.Client = &http.Client{}
	}
	return &Client{settings: s}
}

// Conditions are what a change asks of the resource as it is.
type Conditions struct {
	// IfMatch is the revision last read; 0 means none.
	IfMatch uint64
	// Create asks that the resource does not exist yet.
	Create bool
	// IdempotencyKey identifies the change; empty means a new one.
	IdempotencyKey string
}

// RefusedError is an answer that refuses the request.
type RefusedError struct {
	Status  int
	Problem operator.Problem
}

// Error tells the reason and the detail.
func (r *RefusedError) Error() string {
	return strconv.Itoa(r.Status) + " " + r.Problem.Reason.String() + ": " + r.Problem.Detail
}

// Get returns the document at path, which is WORKSPACE, WORKSPACE/KIND or
// WORKSPACE/KIND/NAME.
func (c *Client) Get(ctx context.Context, path string) ([]byte, error) {
	return c.once(ctx, http.MethodGet, resourcePath(path), nil, nil)
}

// Put declares the resource at path and returns it as accepted.
func (c *Client) Put(ctx context.Context, path string, document []byte, conditions Conditions) ([]byte, error) {
	return c.change(ctx, http.MethodPut, path, document, conditions)
}

// Delete ends the resource at path.
func (c *Client) Delete(ctx context.Context, path string, conditions Conditions) ([]byte, error) {
	return c.change(ctx, http.MethodDelete, path, nil, conditions)
}

// Watch writes the changes at path after a revision to w, one JSON document a
// line, until ctx ends or the watch does.
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
		return refused(response)
	}
	if _, err := io.Copy(w, response.Body); err != nil && ctx.Err() == nil {
		return errors.Annotate(err, "the watch broke off")
	}
	return nil
}

// change sends a change until it is accepted or refused for good.
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
		answer, err := c.once(ctx, method, resourcePath(path), document, header)
		if err == nil || attempt == c.settings.Attempts || !again(err) {
			return answer, errors.Trace(err)
		}
		if !pauser.Pause(ctx, c.settings.Pause) {
			return nil, errors.Trace(err)
		}
	}
}

// again tells whether a failed change is worth sending once more.
func again(err error) bool {
	var r *RefusedError
	if !errors.As(err, &r) {
		return true
	}
	return r.Status >= http.StatusInternalServerError || r.Status == http.StatusTooManyRequests
}

func (c *Client) once(ctx context.Context, method, path string, document []byte, header http.Header) ([]byte, error) {
	response, err := c.send(ctx, method, path, document, header)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return nil, refused(response)
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

func refused(response *http.Response) error {
	r := &RefusedError{Status: response.StatusCode}
	body := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes))
	if err := body.Decode(&r.Problem); err != nil {
		r.Problem.Detail = response.Status
	}
	return r
}
