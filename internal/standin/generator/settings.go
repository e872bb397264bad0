package generator

import (
	"math/rand/v2"
	"net/http"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
)

const fetchTimeout = 2 * time.Minute

// Settings are the settings of an Engine. The zero value of each field means its
// default. TimeScale multiplies simulated processing times, but not the times that
// concern connections and reports.
type Settings struct {
	// BaseModel is the base model's name; "base" by default.
	BaseModel string
	// Slots is the number of adapter slots; 4 by default.
	Slots int
	// MaxBatch is the maximum number of sequences in the batch; 16 by default.
	MaxBatch int
	// MaxWaiting is the maximum number of waiting sequences; 256 by default.
	MaxWaiting int
	// Role is the initial role.
	Role orderer.Role
	// ChecksFencing makes the engine refuse orders with an outdated fencing number.
	ChecksFencing bool

	// TimeScale multiplies simulated processing times; 1 by default.
	TimeScale float64
	// StepBase is the fixed duration of a step; 20 ms by default.
	StepBase time.Duration
	// StepPerSequence is added to a step for each running sequence; 250 µs by default.
	StepPerSequence time.Duration
	// PrefillPerToken is added to a sequence's first step for each prompt token
	// that is not in the prefix cache; 100 µs by default.
	PrefillPerToken time.Duration
	// ActivationTime is the duration of a load after the weights were fetched; 300 ms by
	// default.
	ActivationTime time.Duration
	// TransferPerToken is the time to export or import one token's KV cache; 20 µs
	// by default.
	TransferPerToken time.Duration

	// WeightStore is the weight store's base URL. If it is empty, fetching weights takes
	// no time.
	WeightStore string
	// Client fetches weights; by default a client with a timeout of 2 min.
	Client *http.Client `json:"-"`

	// BlockTokens is the number of tokens in a block of the prefix cache; 16 by
	// default.
	BlockTokens int
	// CachedBlocks is the capacity of the prefix cache in blocks; 4096 by default.
	CachedBlocks int
	// CacheEventLag is the delay of each cache event.
	CacheEventLag time.Duration
	// CacheEventLoss is the probability that a cache event is lost.
	CacheEventLoss float64
	// ReportLag is the age of load reports.
	ReportLag time.Duration

	// StreamGrace is the time for which a request without a connected client continues;
	// 5 s by default.
	StreamGrace time.Duration
	// StreamKept is the time for which an ended stream can be resumed; 30 s by default.
	StreamKept time.Duration
	// HeartbeatInterval is the maximum time without data on a stream; 1 s by default.
	HeartbeatInterval time.Duration

	// Seed seeds the random source if Random is nil; 1 by default.
	Seed uint64
	// Random decides on random losses and failures. The engine takes ownership of it.
	Random *rand.Rand `json:"-"`
	// Faults are the initially active faults.
	Faults Faults
}

func (s Settings) withDefaults() Settings {
	setDefault(&s.BaseModel, "base")
	setDefault(&s.Slots, 4)
	setDefault(&s.MaxBatch, 16)
	setDefault(&s.MaxWaiting, 256)
	setDefault(&s.TimeScale, 1)
	setDefault(&s.StepBase, 20*time.Millisecond)
	setDefault(&s.StepPerSequence, 250*time.Microsecond)
	setDefault(&s.PrefillPerToken, 100*time.Microsecond)
	setDefault(&s.ActivationTime, 300*time.Millisecond)
	setDefault(&s.TransferPerToken, 20*time.Microsecond)
	setDefault(&s.BlockTokens, 16)
	setDefault(&s.CachedBlocks, 4096)
	setDefault(&s.StreamGrace, 5*time.Second)
	setDefault(&s.StreamKept, 30*time.Second)
	setDefault(&s.HeartbeatInterval, time.Second)
	setDefault(&s.Seed, 1)
	if s.Client == nil {
		s.Client = &http.Client{Transport: &http.Transport{}, Timeout: fetchTimeout}
	}
	if s.Random == nil {
		s.Random = rand.New(rand.NewPCG(s.Seed, 0))
	}
	return s
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// scaled returns a processing time multiplied by TimeScale.
func (s *Settings) scaled(length time.Duration) time.Duration {
	return time.Duration(float64(length) * s.TimeScale)
}

// stepTime returns the duration of a step with the number of running sequences that
// computes prefill uncached prompt tokens.
func (s *Settings) stepTime(running, prefill int) time.Duration {
	work := s.StepBase + time.Duration(running)*s.StepPerSequence + time.Duration(prefill)*s.PrefillPerToken
	return s.scaled(work)
}
