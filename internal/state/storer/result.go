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
	// VerdictFull means that the store holds as many records of calls, of
	// changes or of deleted versions as it may; the command had no effect.
	VerdictFull
)

// Result is the state machine's answer to one command.
type Result struct {
	Verdict Verdict `cbor:"1,keyasint,omitempty"`
	Reason  string  `cbor:"2,keyasint,omitempty"`
	// Revision is the resource's revision after the command; on a conflict the
	// current one.
	Revision uint64 `cbor:"3,keyasint,omitempty"`
	// Resource is the resource after the command, where the command concerns
	// one that exists; after a deletion, its last content.
	Resource *Resource `cbor:"4,keyasint,omitempty"`
	// Claim is the claim after the command, where the command concerns one.
	Claim *Claim `cbor:"5,keyasint,omitempty"`
	// Replayed means that the answer is the first one, given again.
	Replayed bool `cbor:"-"`
}

// Claim is the replicated record of one non-idempotent call.
type Claim struct {
	Workspace string     `cbor:"1,keyasint"`
	Key       string     `cbor:"2,keyasint"`
	Digest    []byte     `cbor:"3,keyasint,omitempty"`
	Holder    string     `cbor:"4,keyasint"`
	State     ClaimState `cbor:"5,keyasint,omitempty"`
	Backend   string     `cbor:"6,keyasint,omitempty"`
	Request   string     `cbor:"7,keyasint,omitempty"`
	// Index is the log index of the command which last changed the claim.
	Index uint64 `cbor:"8,keyasint"`
	// Time is the state's time when that command was applied.
	Time Instant `cbor:"9,keyasint"`
}
