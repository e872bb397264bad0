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
	// WaitMillis is how long the entry waits for the answer.
	WaitMillis int64
}

// Admitted answers Admit once the adapter is ready.
type Admitted struct {
	// Version is the one that is ready, and no older than that in Admit.
	Version uint64
	// State is the backend server's, this request included.
	State BackendState
}

// Release ends what Admit began: the backend server is done with the request, or
// never got it.
type Release struct{ Request string }

// Watch asks a companion to tell of its backend server's state on this connection.
type Watch struct{ Node string }

// AdapterState is one occupied adapter slot.
type AdapterState struct {
	Name    string
	Version uint64
	// Loading means that it can't be used yet.
	Loading bool `json:",omitempty"`
	// Pins is the number of requests that use it.
	Pins int `json:",omitempty"`
}

// BackendState is what a companion tells of its backend server.
type BackendState struct {
	// Name and Incarnation identify the backend server.
	Name        string
	Incarnation string
	// Sequence rises by one with each state of one companion's life, and Life
	// between lives.
	Life     uint64
	Sequence uint64
	// Whole means that Recent and Cached are all that there is; else they add to
	// what was told before.
	Whole bool `json:",omitempty"`
	// Models are those that the backend server holds.
	Models []string `json:",omitempty"`
	// Running is the number of requests admitted and not released.
	Running int
	// BacklogMillis is the estimated time until the prompts admitted so far have
	// been read.
	BacklogMillis int
	Adapters      []AdapterState `json:",omitempty"`
	// AdapterSlots is the number of adapters held at once.
	AdapterSlots int
	// Recent are adapters that left their slots lately, which load fast.
	Recent []string `json:",omitempty"`
	// Cached are the hashes of prompt parts that were read lately, by PartHash.
	Cached []uint32 `json:",omitempty"`
}
