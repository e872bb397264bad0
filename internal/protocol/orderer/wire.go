package orderer

import "time"

// Paths of the engine protocol. Those marked vLLM are published by vLLM or OpenAI, the
// others are specific to this project.
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

// CancelSuffix is the path suffix after PathStreams and a request id that cancels the
// request.
const CancelSuffix = "/cancel"

// Query parameters of the engine protocol.
const (
	// QueryStartingAfter carries the number of the last stream event received.
	QueryStartingAfter = "starting_after"
	// QueryAfter carries the number of the last cache event or record entry received.
	QueryAfter = "after"
)

// Headers of the engine protocol.
const (
	// HeaderRequest carries the request id in requests and answers.
	HeaderRequest = "X-Request-Id"
	// HeaderFence carries the fencing number of an order in decimal.
	HeaderFence = "Fencing-Number"
	// HeaderIncarnation carries the current incarnation in every answer of an engine.
	HeaderIncarnation = "Engine-Incarnation"
	// HeaderIdempotencyKey carries the idempotency key of a call.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderRequestLimit carries the number of requests per second that the backend server
	// takes from all senders together, in decimal, for as long as its answers name it.
	HeaderRequestLimit = "Request-Limit"
)

// DoneMark is the data of the event that ends a complete stream.
const DoneMark = "[DONE]"

// AdapterOrder is the body of a load or an unload order, as vLLM publishes it.
type AdapterOrder struct {
	// Name is the name by which generation calls address the adapter.
	Name string `json:"lora_name"`
	// Path is the location from which the engine loads the weights. It is empty in an
	// unload order.
	Path string `json:"lora_path,omitempty"`
	// InPlace requests that the weights of a resident adapter of the same name be
	// replaced.
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

// EngineState is the state that an engine reports. Unlike LoadReport, it is exact at the
// time of the answer.
type EngineState struct {
	// Incarnation is an id that the engine generates each time it starts.
	Incarnation string
	BaseModel   string
	// Slots is the number of adapter slots. It is never less than len(Adapters).
	Slots    int
	MaxBatch int
	// BlockTokens is the number of tokens per block of the prefix cache.
	BlockTokens   int
	Adapters      []AdapterState
	Running       int
	Waiting       int
	ChecksFencing bool
	Role          Role
	// HighestFence is the highest fencing number received in this incarnation.
	HighestFence uint64
}

// AdapterState is one occupied adapter slot of an engine.
type AdapterState struct {
	Name  string
	Path  string
	Phase AdapterPhase
	// InUse is the number of accepted requests that use the adapter.
	InUse int
}

// LoadReport is the load of an engine. It lags behind the actual load: Measured is the
// time of the measurement by the engine's clock.
type LoadReport struct {
	Incarnation string
	Measured    time.Time
	// Age is the age of the report at the time of the answer by the engine's clock, so
	// that the receiver needs no synchronized clock.
	Age       time.Duration
	Running   int
	Waiting   int
	MaxBatch  int
	SlotsFree int
	// Steps is the number of batch steps since the engine started.
	Steps int64
	// SequenceSteps is the sum over these steps of the number of sequences in the
	// batch. Divided by Steps × MaxBatch it is the mean batch utilization.
	SequenceSteps int64
}

// CacheEvent is a change to blocks of the prefix cache of an engine.
type CacheEvent struct {
	// Number increases by one with each event. A missing number means a lost event.
	Number int64
	Kind   CacheEventKind
	Model  string
	// Hashes are the values of BlockHashes for the blocks.
	Hashes []uint64
}

// CacheEvents is a sequence of cache events of an engine in ascending order of Number.
type CacheEvents struct {
	Incarnation string
	Events      []CacheEvent
}

// Cancellation is the answer of an engine to a cancel order.
type Cancellation struct {
	// Known reports whether the engine knows the request.
	Known bool
	// Began reports whether the request has entered the batch. A request that is
	// canceled before it began never runs.
	Began bool
	// Ended reports whether the request had ended before the cancel order arrived.
	Ended bool
}
