package messenger

// Part is one part of a prompt, either shared by several requests or specific to one
// request.
type Part struct {
	ID     uint64
	Tokens int
}

// Admit asks the companion of a backend server to make an adapter resident and to keep
// it resident until Release. The request itself is sent directly to the backend server,
// not through the companion.
type Admit struct {
	// Request identifies the attempt.
	Request string
	// Incarnation is the incarnation of the backend server that the sender expects.
	Incarnation string
	// Model and Adapter name what the request needs. An empty Adapter means the base
	// model without an adapter.
	Model   string
	Adapter string
	// Version is the newest version known to the entry.
	Version uint64
	// Parts are the parts of the prompt in order. Tokens is the total number of tokens
	// in the prompt.
	Parts  []Part
	Tokens int
	// SlackMillis is the time in milliseconds within which the adapter must be ready
	// for the request to meet its latency target. It is 0 if the target can no longer be
	// met.
	SlackMillis int64
	// WaitMillis is the time in milliseconds that the entry waits for the answer.
	WaitMillis int64
	// Movable means that the request may be sent to another backend server if it would
	// wait here much longer than ExpectedMillis before its prompt is processed.
	Movable        bool
	ExpectedMillis int64
	// ExpectedReadMillis is the time in milliseconds that the entry expects the prefill of the
	// prompt to take; 0 means unspecified. PrefillRate is the prefill rate at the usual speed, in
	// tokens per second, that the entry has learnt; 0 means none.
	ExpectedReadMillis int64   `json:",omitempty"`
	PrefillRate        float64 `json:",omitempty"`
	// MovableWhenSlowed means that the request may be sent to another backend server if the
	// machine is slowed and the prefill would therefore take much longer than
	// ExpectedReadMillis.
	MovableWhenSlowed bool `json:",omitempty"`
	// FetchTokens is the number of tokens that the engine fetches from another one instead of
	// prefilling them.
	FetchTokens int `json:",omitempty"`
	// MaxExcessMillis is the wait in excess of ExpectedMillis from which the request is
	// better prefilled elsewhere; 0 means the companion's own bound.
	MaxExcessMillis int64 `json:",omitempty"`
	// Urgency ranges from 0, the most urgent, to 9. It orders requests that wait for their
	// turn under a limit of requests.
	Urgency int
	// Resumed means that the caller has received a part of the answer. Under a limit of
	// requests its turn is before those of all others.
	Resumed bool `json:",omitempty"`
	// Limit is the limit that the backend server named to the sender; nil if it named none.
	Limit *Limit `json:",omitempty"`
	// DeadlineMillis is the time left until the request's deadline, in milliseconds; 0 means
	// that it is not known, as with entries of earlier versions.
	DeadlineMillis int64 `json:",omitempty"`
	// Ration means that requests wait by rank, and that this one is refused with
	// ReasonOverloaded as soon as it would wait until after its deadline.
	Ration bool `json:",omitempty"`
}

// Limit reports what a backend server's answer to a request said about its limit of
// requests.
type Limit struct {
	// Request is the request that was answered, and Incarnation the backend server's.
	Request     string
	Incarnation string
	// Named means that the answer named a limit, Rate requests per second.
	Named bool
	Rate  float64
	// AgeMillis is the time since the answer arrived, in milliseconds.
	AgeMillis int64
}

// Admitted answers Admit once the adapter is ready.
type Admitted struct {
	// Version is the version that is ready. It is not older than Admit.Version.
	Version uint64
}

// Release ends the admission that Admit requested: the backend server has finished the
// request, or never received it.
type Release struct{ Request string }

// Watch asks a companion to report the state of its backend server on this connection,
// starting with the complete state. An entry that missed a delta sends Watch again.
type Watch struct {
	Node string
	// FailureDomain is the failure domain of the entry.
	FailureDomain string
	// End ends the subscription instead.
	End bool `json:",omitempty"`
}
