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
	// Listen is the IP and port to which callers connect. Required.
	Listen string

	// MaxHeaderBytes is the maximum size of a request header; DefaultMaxHeaderBytes
	// by default.
	MaxHeaderBytes Size

	// MaxBodyBytes is the maximum size of a request body; DefaultMaxBodyBytes by
	// default.
	MaxBodyBytes Size

	// HeaderTimeout is the maximum time in which a caller must send a header;
	// DefaultHeaderTimeout by default.
	HeaderTimeout Duration

	// BodyTimeout is the maximum time in which a caller must send a body;
	// DefaultBodyTimeout by default.
	BodyTimeout Duration

	// RequestTimeout is the maximum duration of a request, and its deadline if the
	// caller sets none; DefaultRequestTimeout by default.
	RequestTimeout Duration

	// MaxInFlight is the maximum number of requests in progress in the entry;
	// DefaultMaxInFlight by default.
	MaxInFlight int

	// QueueTokens is the maximum estimated number of tokens of the requests in
	// progress in the entry; DefaultEntryQueueTokens by default.
	QueueTokens int64

	// RetryBudget is the maximum ratio of retries to recent successes, greater than 0
	// and at most 1; DefaultRetryBudget by default.
	RetryBudget float64

	// HedgeAfter is the time after which an idempotent request whose answer has not
	// started is sent to a second backend server. 0, the default, disables this.
	HedgeAfter Duration

	// StallWeight is the weight of one second of load stall in the choice of a
	// backend server, relative to BatchWeight; DefaultWeight by default.
	StallWeight float64

	// BatchWeight is the weight of an unfilled batch, relative to StallWeight;
	// DefaultWeight by default.
	BatchWeight float64

	// TargetFill is the ratio up to which the batch of one backend server is filled
	// before requests are sent to another, greater than 0 and at most 1;
	// DefaultTargetFill by default.
	TargetFill float64

	// Policy is the policy for the choice of a backend server; PolicyMarigold by
	// default.
	Policy Policy

	// PromptCache specifies how cached beginnings of prompts affect the choice of a
	// backend server; PromptCacheAuto by default.
	PromptCache PromptCache
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
	checkEnum(c, "Entry.PromptCache", e.PromptCache, PromptCacheWeighed)
	if stop.GracePeriod < e.RequestTimeout {
		c.addProblem("Stop.GracePeriod", "%v is shorter than Entry.RequestTimeout, %v, so that a planned stop cuts requests off", stop.GracePeriod, e.RequestTimeout)
	}
}
