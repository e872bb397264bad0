package messenger

// Part is one part of a prompt that several requests share, or the request's own.
type Part struct {
	ID     uint64
	Tokens int
}

// Admit asks the companion beside a backend server to have an adapter ready, and to
// keep it there until Release. The request itself goes to the backend server
// without the companion.
type Admit struct {
	// Request identifies the attempt.
	Request string
	// Incarnation is the life of the backend server that is meant.
	Incarnation string
	// Model and Adapter name what the request needs; an empty Adapter means the
	// model alone.
	Model   string
	Adapter string
	// Version is the newest that the entry knows of.
	Version uint64
	// Parts are the prompt's, in order, Tokens all tokens of the prompt.
	Parts  []Part
	Tokens int
	// SlackMillis is the time by which the adapter must be ready for the request to
	// meet its target; none where it can't any more.
	SlackMillis int64
	// WaitMillis is how long the entry waits for the answer.
	WaitMillis int64
	// Movable tells that the request may go elsewhere where it would wait much longer
	// than ExpectedMillis, until its prompt is read.
	Movable        bool
	ExpectedMillis int64
}

// Admitted answers Admit once the adapter is ready.
type Admitted struct {
	// Version is the one that is ready, and no older than that in Admit.
	Version uint64
}

// Release ends what Admit began: the backend server is done with the request, or
// never got it.
type Release struct{ Request string }

// Watch asks a companion to tell of its backend server's state on this connection,
// the whole of it first. An entry that missed a part asks again.
type Watch struct {
	Node string
	// FailureDomain is the entry's.
	FailureDomain string
}
