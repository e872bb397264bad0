package placer

// AdapterState describes one occupied adapter slot.
type AdapterState struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Version uint64
	// Loading reports that the adapter is not usable yet.
	Loading bool
	// Pins is the number of requests using the adapter.
	Pins int
}

// EngineState is a companion's report on its engine. The first report is complete;
// later ones carry only what has changed. Every entry receives the reports of every
// engine, so their size dominates the traffic between failure domains.
type EngineState struct {
	_ struct{} `cbor:",toarray"`
	// Name and Incarnation identify the engine.
	Name        string
	Incarnation string
	// Sequence increases by one with each report of one companion process; Life
	// increases with each incarnation of the companion.
	Life     uint64
	Sequence uint64
	// Whole marks a complete state. Otherwise the report is a delta against the state
	// with the preceding Sequence; empty values of Incarnation, Life, Models and
	// MaxAdapters are unchanged.
	Whole bool
	// Models lists the models that the engine has loaded.
	Models []string
	// Running is the number of requests admitted and not yet released.
	Running int
	// BacklogMillis is the estimated time, in milliseconds, until all prompts admitted
	// so far have been read.
	BacklogMillis int
	// WaitingMillis is the time, in milliseconds, to read the prompts of requests that
	// wait for their adapter or model.
	WaitingMillis int
	// Adapters lists the slots that have changed; Gone lists the adapters that have
	// been evicted.
	Adapters []AdapterState
	Gone     []string
	// MaxAdapters is the number of adapter slots.
	MaxAdapters int
	// Recent lists recently evicted adapters, which load quickly from the engine's
	// memory.
	Recent []string
	// Cached lists the hashes, by PartHash, of recently read prompt parts.
	Cached []uint32
}
