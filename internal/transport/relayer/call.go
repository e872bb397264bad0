package relayer

import (
	"net/http"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/regulator"
	"marigoldpoint.example/marigoldpoint/internal/protocol/exchanger"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

// Call holds what the relayer needs from a caller's request.
type Call struct {
	// ID is the caller's identifier of this attempt.
	ID string
	// Host and Path select the route.
	Host string
	Path string
	// Key is the digest of the caller's key; the zero value means that there is none.
	Key tracker.KeyDigest
	// Deadline is how long the caller waits for the answer; 0 means unspecified.
	Deadline time.Duration
	// Model and Adapter are empty where the call needs none.
	Model   string
	Adapter string
	// Parts are the shared parts of the prompt, in order.
	Parts []messenger.Part
	// PromptTokens is the length of the prompt, AnswerTokens the maximum length of the
	// answer, both in tokens; 0 means unspecified.
	PromptTokens int
	AnswerTokens int
	// Resumes is the attempt that returned the first event of the stream that the caller
	// resumes, and LastEvent the id of the last event that it received; empty means
	// unspecified.
	Resumes   string
	LastEvent string
	// TokensKnown means that the caller specified PromptTokens and AnswerTokens.
	TokensKnown bool
	// ExpectedTokens is the caller's estimate of the length of the answer, in tokens; 0
	// means unspecified. Its median is correct, but single estimates are often far off.
	ExpectedTokens int
}

// partIDs returns the ids of the parts of the prompt, in order.
func (c *Call) partIDs() []uint64 {
	var ids []uint64
	for _, p := range c.Parts {
		ids = append(ids, p.ID)
	}
	return ids
}

// Attempt holds what a backend server receives in addition to the caller's request.
type Attempt struct {
	// Workspace is the workspace of the caller's key; empty if no key is needed.
	Workspace string
	// TimeLeft is the time that the backend server has to answer.
	TimeLeft time.Duration
	// Incarnation is the incarnation of the backend server that the call is meant for.
	Incarnation string
	// Version is the version of the adapter or, without an adapter, that of the model's weights;
	// 0 means any.
	Version uint64
	// Urgency ranges from 0, the most urgent, to 9; a negative value means none.
	Urgency int
	// Backup is the address at which the backend server keeps a copy of the request's
	// KV cache; empty means that it keeps none.
	Backup string
	// ResumeFrom names the copy of the request's KV cache to resume from; empty means
	// that the request starts anew.
	ResumeFrom string
	// FetchFrom is the address of the backend server from which cached parts of the prompt
	// are fetched; empty means none.
	FetchFrom string
	// LastEvent is the id of the last event that the caller received; empty means that
	// the caller's own header is forwarded.
	LastEvent string
}

// Head holds the metadata from an answer's header.
type Head struct {
	// Request is the id of the request that is answered; empty means that the answer belongs to
	// no request.
	Request string
	// NotRun means that the backend server did not run the request.
	NotRun bool
	// OtherIncarnation means that a different incarnation of the backend server
	// answered; it did not run the request.
	OtherIncarnation bool
	// Signed means that the backend server ran the request and vouches for the answer.
	Signed bool
	// Weights is the version of the model's weights by which the answer was begun; 0 means
	// unspecified.
	Weights uint64
	// Calls is the number of calls in progress at the backend server; a negative value
	// means unspecified.
	Calls int
	// Slowdown is the slowdown factor of the backend server's machine; 0 means unspecified.
	Slowdown float64
	// KeepAlive is how long the connection may stay idle; 0 means unspecified.
	KeepAlive time.Duration
	// Limit is what the answer says about the backend server's limit of requests.
	Limit regulator.Notice
	// Rest is the time for which the backend server asks the entry not to send requests; 0
	// means unspecified.
	Rest time.Duration
	// Leaving means that the backend server leaves, and wants no new requests.
	Leaving bool
}

// Translator implements the protocol of callers and backend servers.
type Translator interface {
	// Call parses a caller's request.
	Call(r *http.Request) (Call, error)
	// Header returns the header of the request to a backend server.
	Header(received http.Header, a Attempt) http.Header
	// Head parses the header of an answer.
	Head(status int, h http.Header) Head
	// AnswerHeader returns the header of the answer to the caller.
	AnswerHeader(h http.Header) http.Header
	// StopRequest returns the request to an engine that stops a run, and StopReply parses its
	// answer.
	StopRequest(s StopRun) *http.Request
	StopReply(a exchanger.Answer) StopReply
}
