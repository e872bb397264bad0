package orderer

import "time"

// Paths of the engine protocol. Those marked vLLM are published by vLLM or
// OpenAI, the others are this project's own.
const (
	PathCompletions     = "/v1/completions"         // vLLM
	PathChatCompletions = "/v1/chat/completions"    // vLLM
	PathModels          = "/v1/models"              // vLLM
	PathLoadAdapter     = "/v1/load_lora_adapter"   // vLLM
	PathUnloadAdapter   = "/v1/unload_lora_adapter" // vLLM
	PathHealth          = "/health"                 // vLLM
	PathStreams         = "/v1/streams/"
	PathRole            = "/v1/role"
	PathExportKV        = "/v1/kv/export"
	PathImportKV        = "/v1/kv/import"
	PathState           = "/v1/state"
	PathLoad            = "/v1/load"
	PathCacheEvents     = "/v1/cache/events"
)

// CancelSuffix follows a request id under PathStreams to cancel that request.
const CancelSuffix = "/cancel"

// Query parameters of the engine protocol.
const (
	// QueryStartingAfter is the number of the last stream event that was received.
	QueryStartingAfter = "starting_after"
	// QueryAfter is the number of the last cache event or record entry received.
	QueryAfter = "after"
)

// Headers of the engine protocol.
const (
	// HeaderRequest carries the request id both ways.
	HeaderRequest = "X-Request-Id"
	// HeaderFence carries the fencing number of an order in decimal.
	HeaderFence = "Fencing-Number"
	// HeaderIncarnation names, on every answer of an engine, its present incarnation.
	HeaderIncarnation = "Engine-Incarnation"
	// HeaderIdempotencyKey carries the at-most-once identity of a call.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// DoneMark is the data of the event that ends a whole stream.
const DoneMark = "[DONE]"

// AdapterOrder is the body of a load or an unload order, as vLLM publishes it.
type AdapterOrder struct {
	// Name is the name by which generation calls address the adapter.
	Name string `json:"lora_name"`
	// Path tells the engine where to fetch the weights. It is empty on an unload.
	Path string `json:"lora_path,omitempty"`
	// InPlace asks to replace the weights of a resident adapter of that name.
	InPlace bool `json:"load_inplace,omitempty"`
}

// RoleOrder is the body of an order to change role.
type RoleOrder struct {
	Role Role `json:"role"`
}

// ExportOrder is the body of an order to export the KV cache of a request.
type ExportOrder struct {
	Request string `json:"request_id"`
}

// EngineState is what an engine says of itself. It is exact at the moment of the
// answer, unlike LoadReport.
type EngineState struct {
	// Incarnation is drawn anew each time the engine starts.
	Incarnation string
	BaseModel   string
	// Slots is the number of adapters that fit. len(Adapters) never exceeds it.
	Slots    int
	MaxBatch int
	// BlockTokens is the number of tokens in one block of the prefix cache.
	BlockTokens   int
	Adapters      []AdapterState
	Running       int
	Waiting       int
	ChecksFencing bool
	Role          Role
	// HighestFence is the highest fencing number seen in this incarnation.
	HighestFence uint64
}

// AdapterState is one occupied adapter slot of an engine.
type AdapterState struct {
	Name  string
	Path  string
	Phase AdapterPhase
	// InUse counts the accepted requests that name the adapter.
	InUse int
}

// LoadReport is an engine's report of its load. It lags: Measured tells the
// moment it was true, by the engine's clock.
type LoadReport struct {
	Incarnation string
	Measured    time.Time
	// Age is the age of the report at the moment of the answer, by the engine's
	// clock, so that a reader needs no synchronised clock.
	Age       time.Duration
	Running   int
	Waiting   int
	MaxBatch  int
	SlotsFree int
	// Steps counts the steps of the batch since the engine started.
	Steps int64
	// SequenceSteps counts the sequences summed over those steps. Divided by
	// Steps × MaxBatch it gives the mean fill of the batch.
	SequenceSteps int64
}

// CacheEvent tells of blocks that entered or left an engine's prefix cache.
type CacheEvent struct {
	// Number rises by one for each event. A number that is missing was lost.
	Number int64
	Kind   CacheEventKind
	Model  string
	// Hashes are the values of BlockHashes for the blocks concerned.
	Hashes []uint64
}

// CacheEvents is a run of an engine's cache events in rising order of Number.
type CacheEvents struct {
	Incarnation string
	Events      []CacheEvent
}

// Cancellation is an engine's answer to a cancel order.
type Cancellation struct {
	// Known tells whether the engine knows of the request at all.
	Known bool
	// Began tells whether the request ever reached the batch. A request that is
	// cancelled before it began never runs.
	Began bool
	// Ended tells whether the request had ended before the cancel order came.
	Ended bool
}
