package storer

//go:generate stringer -type=Verdict -trimprefix=Verdict

// Verdict tells how the state machine answered a command.
type Verdict int

// The verdicts.
const (
	// VerdictAccepted means that the command took effect, now or when it was
	// first sent.
	VerdictAccepted Verdict = iota
	// VerdictConflict means that the condition on the revision failed.
	VerdictConflict
	// VerdictNotFound means that the resource does not exist.
	VerdictNotFound
	// VerdictInvalid means that the content breaks a rule, told in Reason.
	VerdictInvalid
	// VerdictInUse means that other resources refer to the resource.
	VerdictInUse
	// VerdictKeyReused means that the idempotency key belongs to another body.
	VerdictKeyReused
	// VerdictHeld means that another holder has the claim; Claim tells it.
	VerdictHeld
	// VerdictStale means that the membership meant has ended or been replaced.
	VerdictStale
)

// Result is the state machine's answer to one command.
type Result struct {
	Verdict Verdict
	Reason  string
	// Revision is the resource's revision after the command; on a conflict the
	// current one.
	Revision uint64
	// Resource is the resource after the command, where the command concerns
	// one that exists.
	Resource *Resource
	// Claim is the claim after the command, where the command concerns one.
	Claim *Claim
	// Replayed means that the answer is the first one, given again.
	Replayed bool
}

// Claim is the replicated record of one non-idempotent call.
type Claim struct {
	Workspace string
	Key       string
	Digest    []byte
	Holder    string
	State     ClaimState
	Backend   string
	Request   string
	// Index is the log index of the command which last changed the claim.
	Index uint64
	Time  Instant
}
