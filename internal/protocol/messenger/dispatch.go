package messenger

//go:generate stringer -type=CallKind -trimprefix=CallKind
//go:generate stringer -type=Outcome -trimprefix=Outcome

// CallKind is the kind of a dispatched request.
type CallKind int

// The kinds of calls.
const (
	CallKindChat CallKind = iota
	CallKindCompletion
	CallKindService
)

// Outcome is the outcome of a request.
type Outcome int

// The outcomes.
const (
	// OutcomeUnknown means that a backend server may have started the request. It is
	// the zero value so that a missing outcome never claims more than is known.
	OutcomeUnknown Outcome = iota
	// OutcomeCompleted means that the complete answer was delivered.
	OutcomeCompleted
	// OutcomeNotRun means that no backend server can have started the request.
	OutcomeNotRun
)

// HeaderField is one header field of a request to a plain service or of its answer.
type HeaderField struct{ Name, Value string }

// Dispatch sends one attempt of a request to a companion.
type Dispatch struct {
	// Request is the id of the caller's request. It is the same for all attempts.
	Request string
	// Attempt counts the dispatches of the request from 1.
	Attempt   int
	Kind      CallKind
	Workspace string
	// Share is the weight of the workspace in the fair queue; 0 means 1.
	Share int
	// Version is WORKSPACE/ADAPTER@VERSION; empty for a plain service.
	Version   string
	Source    string
	BaseModel string
	// Priority ranges from 0 (lowest) to 9 (highest).
	Priority int
	// DeadlineMillis is the time in milliseconds until the caller's deadline; 0 means
	// that there is none.
	DeadlineMillis int64
	// Tokens is the estimated number of tokens of prompt and answer together.
	Tokens int64
	// MaxTokens is the maximum number of tokens of the answer; 0 means unspecified.
	MaxTokens  int64
	Idempotent bool
	Stream     bool
	// Epoch is the epoch of the membership that the entry selected. A companion with
	// another epoch refuses, since the entry selected it by the state of a previous
	// incarnation.
	Epoch  uint64
	Method string
	// Path is the path at the engine, or the path with query at the plain service.
	Path   string
	Header []HeaderField
	Body   []byte
}

// Accepted answers a Dispatch or Resume that the companion accepted.
type Accepted struct {
	// Incarnation is the incarnation of the companion.
	Incarnation string
	Load        Load
}

// Resume requests the answer to a request from a byte offset on.
type Resume struct {
	Request string
	Attempt int
	Offset  int64
}

// Acknowledge lets the companion free the bytes of an answer before Offset, or the
// complete answer if Ended is set.
type Acknowledge struct {
	Request string
	Attempt int
	Offset  int64
	Ended   bool
}

// Cancel cancels a request whose caller has disconnected.
type Cancel struct {
	Request string
	Attempt int
}

// Piece is a part of an answer. Pieces may arrive late, twice or out of order; the
// receiver orders them by Offset.
type Piece struct {
	Request string
	Attempt int
	// Offset is the position of Data's first byte in the answer.
	Offset int64
	Data   []byte
	// Head is set in the first piece.
	Head *Head
	// End is set in the last piece. The answer then has Offset+len(Data) bytes.
	End *End
}

// Head is the status and header of an answer.
type Head struct {
	Status      int
	ContentType string
	// Model is the version that the engine reports it uses.
	Model  string
	Header []HeaderField
}

// End describes how an answer ended.
type End struct {
	Outcome Outcome
	Reason  Reason
	Detail  string
	// RetryAfterMillis is the time in milliseconds before the request may be sent
	// again after OutcomeNotRun.
	RetryAfterMillis int64
	// Model is the version that the engine reports it used.
	Model string
	// StallMillis is the time the request waited for its version to load.
	StallMillis float64
	// QueueMillis is the time the request waited for a free batch slot.
	QueueMillis float64
	// PromptTokens and AnswerTokens are the counts reported by the engine.
	PromptTokens int64
	AnswerTokens int64
	// CachedTokens is the part of PromptTokens found in the prefix cache.
	CachedTokens int64
	Load         Load
	// EndedLives lists the incarnations of the backend server that ended while they
	// ran the request.
	EndedLives []string `json:",omitempty"`
}

// Load is the load of a backend server at one time, as known to its companion.
type Load struct {
	// Sequence increases with every report of one incarnation of the companion.
	Sequence uint64
	Running  int
	Queued   int
	MaxBatch int
	// QueuedTokens is the estimated number of tokens of the queued requests.
	QueuedTokens int64
	// Slots and SlotsFree are the numbers of all and of free adapter slots of the
	// engine.
	Slots     int
	SlotsFree int
	// LoadsWaiting is the number of versions waiting to be loaded.
	LoadsWaiting int
	// LoadMillis is the recent mean duration of one load in milliseconds, including the
	// wait for its permit.
	LoadMillis int64
	// AtUnixNano is the time of the report by the companion's clock, in nanoseconds
	// since the Unix epoch.
	AtUnixNano int64
}
