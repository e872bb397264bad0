package configurer

import (
	"cmp"
	"time"
)

// Defaults of EntrySettings.
const (
	DefaultMaxHeaderBytes   = 32 * KiB
	DefaultMaxBodyBytes     = 8 * MiB
	DefaultHeaderTimeout    = Duration(5 * time.Second)
	DefaultBodyTimeout      = Duration(30 * time.Second)
	DefaultRequestTimeout   = Duration(2 * time.Minute)
	DefaultMaxInFlight      = 4096
	DefaultEntryQueueTokens = 4_000_000
	DefaultRetryBudget      = 0.1
	DefaultWeight           = 1.0
	DefaultTargetFill       = 0.8
)

// EntrySettings are the settings of an entry.
type EntrySettings struct {
	// Listen is the IP and port that callers reach. Required.
	Listen string

	// MaxHeaderBytes bounds a request's header; DefaultMaxHeaderBytes by
	// default.
	MaxHeaderBytes Size

	// MaxBodyBytes bounds a request's body; DefaultMaxBodyBytes by default.
	MaxBodyBytes Size

	// HeaderTimeout is the longest time in which a caller sends a header;
	// DefaultHeaderTimeout by default.
	HeaderTimeout Duration

	// BodyTimeout is the longest time in which a caller sends a body;
	// DefaultBodyTimeout by default.
	BodyTimeout Duration

	// RequestTimeout is the longest time that a request takes, and its deadline
	// where the caller states none; DefaultRequestTimeout by default.
	RequestTimeout Duration

	// MaxInFlight is the number of requests that the entry holds at once;
	// DefaultMaxInFlight by default.
	MaxInFlight int

	// QueueTokens is the number of tokens, by estimate, of the requests that
	// the entry holds at once; DefaultEntryQueueTokens by default.
	QueueTokens int64

	// RetryBudget is the share of recent successes that may be spent on
	// retries, above 0 and at most 1; DefaultRetryBudget by default.
	RetryBudget float64

	// HedgeAfter is the time after which an idempotent request without a first
	// byte is sent to a second backend server. Zero, the default, never does.
	HedgeAfter Duration

	// StallWeight is what a second of load stall weighs against BatchWeight in
	// the choice of a backend server; DefaultWeight by default.
	StallWeight float64

	// BatchWeight is what an unfilled batch weighs against StallWeight;
	// DefaultWeight by default.
	BatchWeight float64

	// TargetFill is the share of a batch up to which requests are packed on
	// one backend server before they spill to another, above 0 and at most 1;
	// DefaultTargetFill by default.
	TargetFill float64

	// Policy is the way to choose a backend server; PolicyMarigold by default.
	Policy Policy
}

func (e EntrySettings) withDefaults() EntrySettings {
	e.MaxHeaderBytes = cmp.Or(e.MaxHeaderBytes, DefaultMaxHeaderBytes)
	e.MaxBodyBytes = cmp.Or(e.MaxBodyBytes, DefaultMaxBodyBytes)
	e.HeaderTimeout = cmp.Or(e.HeaderTimeout, DefaultHeaderTimeout)
	e.BodyTimeout = cmp.Or(e.BodyTimeout, DefaultBodyTimeout)
	e.RequestTimeout = cmp.Or(e.RequestTimeout, DefaultRequestTimeout)
	e.MaxInFlight = cmp.Or(e.MaxInFlight, DefaultMaxInFlight)
	e.QueueTokens = cmp.Or(e.QueueTokens, DefaultEntryQueueTokens)
	e.RetryBudget = cmp.Or(e.RetryBudget, DefaultRetryBudget)
	e.StallWeight = cmp.Or(e.StallWeight, DefaultWeight)
	e.BatchWeight = cmp.Or(e.BatchWeight, DefaultWeight)
	e.TargetFill = cmp.Or(e.TargetFill, DefaultTargetFill)
	return e
}

// entry checks the section Entry.
func (c *checker) entry(e EntrySettings, stop StopSettings) {
	c.address("Entry.Listen", e.Listen)
	checkRange(c, "Entry.MaxHeaderBytes", e.MaxHeaderBytes, KiB, 16*MiB)
	checkRange(c, "Entry.MaxBodyBytes", e.MaxBodyBytes, KiB, GiB)
	checkRange(c, "Entry.HeaderTimeout", e.HeaderTimeout, minInterval, maxInterval)
	checkRange(c, "Entry.BodyTimeout", e.BodyTimeout, minInterval, Duration(time.Hour))
	checkRange(c, "Entry.RequestTimeout", e.RequestTimeout, minInterval, maxTimeout)
	checkRange(c, "Entry.MaxInFlight", e.MaxInFlight, 1, maxCount)
	checkRange(c, "Entry.QueueTokens", e.QueueTokens, 1, maxTokens)
	checkRange(c, "Entry.RetryBudget", e.RetryBudget, 0.001, 1)
	checkRange(c, "Entry.HedgeAfter", e.HedgeAfter, 0, Duration(time.Hour))
	checkRange(c, "Entry.StallWeight", e.StallWeight, 0.001, 1000)
	checkRange(c, "Entry.BatchWeight", e.BatchWeight, 0.001, 1000)
	checkRange(c, "Entry.TargetFill", e.TargetFill, 0.01, 1)
	checkEnum(c, "Entry.Policy", e.Policy, PolicyConsistentHash)
	if stop.GracePeriod < e.RequestTimeout {
		c.fault("Stop.GracePeriod", "%v is shorter than Entry.RequestTimeout, %v, so that a planned stop cuts requests off", stop.GracePeriod, e.RequestTimeout)
	}
}
