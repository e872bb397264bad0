package relayer

import (
	"net/http"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

// Call is what the relayer needs to know of a caller's request.
type Call struct {
	// ID is the caller's name for this attempt of its own.
	ID string
	// Host and Path select the route.
	Host string
	Path string
	// Key stands for the key that the caller brings; zero means none.
	Key tracker.KeyDigest
	// Deadline is how long the caller waits; 0 means not told.
	Deadline time.Duration
	// Model and Adapter are empty where the call needs none.
	Model   string
	Adapter string
	// Parts are the shared parts of the prompt in order.
	Parts []messenger.Part
	// PromptTokens is the size of the prompt, AnswerTokens the most that the
	// answer may have; 0 means not told.
	PromptTokens int
	AnswerTokens int
	// TokensKnown tells that the caller gave these two.
	TokensKnown bool
	// ExpectedTokens is the caller's own guess at the size of the answer; 0 means
	// not told. It is right at the median, and often far off.
	ExpectedTokens int
}

// Attempt is what a backend server is told beside the caller's own request.
type Attempt struct {
	// Workspace is the one that the caller's key belongs to; empty where none is needed.
	Workspace string
	// TimeLeft is the time that the backend server has.
	TimeLeft time.Duration
	// Incarnation is the incarnation of the backend server that is meant.
	Incarnation string
	// Version is the adapter's; 0 means that none is meant.
	Version uint64
	// Urgency ranges from 0, first, to 9; negative means none.
	Urgency int
	// Backup is where the backend server keeps a copy of the request's memory;
	// empty means nowhere.
	Backup string
	// ResumeFrom is where the request's memory was kept, for a request that goes on
	// from it; empty means that it begins anew.
	ResumeFrom string
	// LastEvent is the last event that the caller has; empty means as the caller
	// sent it.
	LastEvent string
}

// Head is what an answer's head tells.
type Head struct {
	// Request is the id of the request that is answered; empty means not told.
	Request string
	// NotRun means that the backend server has not run the request.
	NotRun bool
	// OtherIncarnation means that another incarnation of the backend server than the one meant
	// has answered; it has not run the request.
	OtherIncarnation bool
	// Signed means that the backend server has run it and vouches for the answer.
	Signed bool
	// Calls is the number of calls at the backend server; negative means not
	// told.
	Calls int
	// KeepAlive is for how long the connection may stay idle; 0 means not told.
	KeepAlive time.Duration
}

// Translator knows the protocol of callers and backend servers.
type Translator interface {
	// Call reads a caller's request.
	Call(r *http.Request) (Call, error)
	// Header returns the head of the request to a backend server.
	Header(received http.Header, a Attempt) http.Header
	// Head reads the head of an answer.
	Head(status int, h http.Header) Head
	// AnswerHeader returns the head of the answer to the caller.
	AnswerHeader(h http.Header) http.Header
}
