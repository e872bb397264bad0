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
