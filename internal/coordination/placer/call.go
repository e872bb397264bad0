package placer

import (
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/regulator"
)

// Call describes a call for which a backend server is chosen.
type Call struct {
	Service string
	// Model and Adapter are empty for a plain service. Adapter may be empty for an
	// engine, too.
	Model   string
	Adapter string
	// Version is the newest known version of the adapter.
	Version uint64
	// Software is the required software version of the backend server
	// (storer.MemberSpec.SoftwareID); empty means any.
	Software string
	// Parts holds the hashes of the prompt's parts in order, and PartTokens their
	// lengths in tokens. Tokens is the length of the whole prompt.
	Parts      []uint32
	PartTokens []int
	Tokens     int
	// Slack is the longest wait for its turn, at a backend server that limits requests, after
	// which the call is still answered on time, and MaxWait the longest one at all; 0 means
	// any.
	Slack, MaxWait time.Duration
	// AvoidLimited excludes backend servers that limit requests.
	AvoidLimited bool
	// Late reports that the call can only meet its target if it is served immediately.
	Late bool
	// Mixed means that the call is not separated by the length of its prompt.
	Mixed bool
	// Avoid lists backend servers that must not be chosen.
	Avoid []string
}

// Choice is a chosen backend server, together with the estimates behind the choice.
type Choice struct {
	Name        string
	Address     string
	Incarnation string
	// Software is the backend server's software version (storer.MemberSpec.SoftwareID).
	Software string
	Domain   string
	// Weights is the version of the weights of the call's model at the backend server; 0 means
	// unknown.
	Weights uint64
	// Away reports that the backend server is in another failure domain than the entry.
	Away bool
	// Expected is the expected time until the first byte; Backlog, Read and Load are
	// its components.
	Expected time.Duration
	Backlog  time.Duration
	Read     time.Duration
	Load     time.Duration
	// PrefillRate is the learnt prefill rate at the usual speed, in tokens per second; 0 if the
	// assumed one holds.
	PrefillRate float64
	// Running is the estimated number of calls running there.
	Running int
	// Age is the age of the companion's last report; negative if there is none.
	Age time.Duration
	// Prompt is what the choice expects of the prompt's cached parts.
	Prompt PromptChoice
	// Group is the group by the length of the prompt.
	Group GroupChoice
	// Duration is the expected duration of a call to a plain service.
	Duration time.Duration
	// Limit is the backend server's limit of requests, and Turn the expected time until the
	// call's turn. NamedLimit is the limit that it has named to the entry itself.
	Limit      regulator.Limit
	NamedLimit regulator.Limit
	Turn       time.Duration

	backend       *backend
	pool          *pool
	pendingRead   time.Duration
	startedAt     time.Time
	firstByteSeen bool
	sample        rateSample
}

// Outcome is the result of a call at a backend server.
type Outcome int

// The possible outcomes.
const (
	// OutcomeSuccess means that the backend server answered normally.
	OutcomeSuccess Outcome = iota
	// OutcomeServerError means that the backend server answered with an error of its
	// own.
	OutcomeServerError
	// OutcomeNotRun means that the backend server did not run the call.
	OutcomeNotRun
	// OutcomeUnreachable means that the backend server could not be reached.
	OutcomeUnreachable
	// OutcomeBroken means that the answer was cut off or malformed.
	OutcomeBroken
	// OutcomeCanceled means that the call ended for a reason on the caller's side.
	OutcomeCanceled
)
