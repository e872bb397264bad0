package placer

// AdapterState is one occupied adapter slot.
type AdapterState struct {
	Name    string
	Version uint64
	// Loading means that it can't be used yet.
	Loading bool `json:",omitempty"`
	// Pins is the number of requests that use it.
	Pins int `json:",omitempty"`
}

// EngineState is what a companion tells of the engine beside it.
type EngineState struct {
	// Name and Incarnation identify the engine.
	Name        string
	Incarnation string
	// Sequence rises by one with each state of one companion's life, and Life
	// between lives.
	Life     uint64
	Sequence uint64
	// Whole means that Recent and Cached are all that there is; else they add to
	// what was told before.
	Whole bool `json:",omitempty"`
	// Models are those that the engine holds.
	Models []string `json:",omitempty"`
	// Running is the number of requests admitted and not released.
	Running int
	// BacklogMillis is the estimated time until the prompts admitted so far have
	// been read.
	BacklogMillis int
	Adapters      []AdapterState `json:",omitempty"`
	// Entries is the number of entries that the companion tells.
	Entries int
	// MaxAdapters is the number of adapters held at once.
	MaxAdapters int
	// Recent are adapters that left their slots lately, which load fast.
	Recent []string `json:",omitempty"`
	// Cached are the hashes of prompt parts that were read lately, by PartHash.
	Cached []uint32 `json:",omitempty"`
}
