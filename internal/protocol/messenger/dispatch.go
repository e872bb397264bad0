package messenger

//go:generate stringer -type=CallKind -trimprefix=CallKind
//go:generate stringer -type=Outcome -trimprefix=Outcome

// CallKind tells what a dispatched request asks for.
type CallKind int

// The kinds of calls.
const (
	CallKindChat CallKind = iota
	CallKindCompletion
	CallKindService
)

// Outcome tells what became of a request.
type Outcome int

// The outcomes.
const (
	// OutcomeUnknown means that the request may have begun; it is the zero value
	// so that a missing outcome never claims more than is known.
	OutcomeUnknown Outcome = iota
	// OutcomeCompleted means that the whole answer was given.
	OutcomeCompleted
	// OutcomeNotRun means that no backend server can have begun the request.
	OutcomeNotRun
)

// HeaderField is one header of a plain service's request or answer.
type HeaderField struct{ Name, Value string }

// Dispatch hands one attempt at a request to a companion.
type Dispatch struct {
	// Request identifies the caller's request, the same for all attempts.
	Request string
	// Attempt counts the dispatches of the request from 1.
	Attempt   int
	Kind      CallKind
	Workspace string
	// Share weighs the workspace in the fair queue; 0 means 1.
	Share int
	// Version is WORKSPACE/ADAPTER@VERSION; empty for a plain service.
	Version   string
	Source    string
	BaseModel string
	// Priority ranges from 0, last, to 9, first.
	Priority int
	// DeadlineMillis is the time left to the caller's deadline; 0 means none.
	DeadlineMillis int64
	// Tokens is the estimate of prompt and answer together.
	Tokens int64
	// MaxTokens is the most tokens the answer may have; 0 means not told.
	MaxTokens  int64
	Idempotent bool
	Stream     bool
	// Epoch is the membership meant: a companion with another one refuses, since
	// the entry chose it by the facts of a former life.
	Epoch  uint64
	Method string
	// Path is the engine's path, or the plain service's with its query.
	Path   string
	Header []HeaderField
	Body   []byte
}

// Accepted answers a Dispatch or Resume that the companion took on.
type Accepted struct {
	// Incarnation identifies this life of the companion.
	Incarnation string
	Load        Load
}

// Resume asks for the answer to a request from an offset on.
type Resume struct {
	Request string
	Attempt int
	Offset  int64
}

// Acknowledge frees the answer's bytes before Offset. Ended frees the whole.
type Acknowledge struct {
	Request string
	Attempt int
	Offset  int64
	Ended   bool
}

// Cancel gives up a request whose caller has left.
type Cancel struct {
	Request string
	Attempt int
}

// Piece is a part of an answer. Pieces may arrive late, twice or out of order;
// Offset puts them right.
type Piece struct {
	Request string
	Attempt int
	// Offset is the position of Data's first byte in the answer.
	Offset int64
	Data   []byte
	// Head stands in the first piece.
	Head *Head
	// End stands in the last piece; the answer then has Offset+len(Data) bytes.
	End *End
}

// Head begins an answer.
type Head struct {
	Status      int
	ContentType string
	// Model is the version which the engine says it uses.
	Model  string
	Header []HeaderField
}

// End ends an answer.
type End struct {
	Outcome Outcome
	Reason  Reason
	Detail  string
	// RetryAfterMillis tells when to ask again after OutcomeNotRun.
	RetryAfterMillis int64
	// Model is the version which the engine says it used.
	Model string
	// StallMillis is the time the request spent waiting for its version to load.
	StallMillis float64
	// QueueMillis is the time the request spent waiting for a place in the batch.
	QueueMillis float64
	// PromptTokens and AnswerTokens are the engine's counts.
	PromptTokens int64
	AnswerTokens int64
	// CachedTokens is the part of PromptTokens found in the prefix cache.
	CachedTokens int64
	Load         Load
	// EndedLives names the lives of the backend server that ended while they ran the
	// request.
	EndedLives []string `json:",omitempty"`
}

// Load is a backend server's load at one moment, as its companion knows it.
type Load struct {
	// Sequence rises with every report of one companion's life.
	Sequence uint64
	Running  int
	Queued   int
	MaxBatch int
	// QueuedTokens is the estimate of the work waiting.
	QueuedTokens int64
	// Slots and SlotsFree count the engine's adapter slots.
	Slots     int
	SlotsFree int
	// LoadsWaiting counts the versions waiting for a load.
	LoadsWaiting int
	// LoadMillis is the recent mean time of one load, permit included.
	LoadMillis int64
	// AtUnixNano is the companion's clock at the report.
	AtUnixNano int64
}
