package storer

//go:generate stringer -type=Verdict -trimprefix=Verdict

// Verdict is the outcome of a command.
type Verdict int

// The verdicts.
const (
	// VerdictAccepted means that the command took effect, either now or when it
	// was first applied.
	VerdictAccepted Verdict = iota
	// VerdictConflict means that the condition on the revision failed.
	VerdictConflict
	// VerdictNotFound means that the resource does not exist.
	VerdictNotFound
	// VerdictInvalid means that the content violates a rule, described in Reason.
	VerdictInvalid
	// VerdictInUse means that other resources refer to the resource.
	VerdictInUse
	// VerdictKeyReused means that the idempotency key was used with another body.
	VerdictKeyReused
	// VerdictHeld means that the claim can't be acquired or settled: another
	// holder has it, or the call has ended; Claim is the claim.
	VerdictHeld
	// VerdictStale means that the command is outdated: the membership has ended
	// or was replaced, the log entry was applied before, or the command would
	// change nothing.
	VerdictStale
	// VerdictFull means that the number of claims, of idempotency records or of
	// names of deleted versions has reached its limit; the command had no effect.
	VerdictFull
)

// Result is the state machine's answer to one command.
type Result struct {
	Verdict Verdict `cbor:"1,keyasint,omitempty"`
	Reason  string  `cbor:"2,keyasint,omitempty"`
	// Revision is the resource's revision after the command; on a conflict, its
	// current revision. After a command on suspects or parts, the revision of the state.
	Revision uint64 `cbor:"3,keyasint,omitempty"`
	// Resource is the resource after the command, if the command concerns an
	// existing one; after a deletion, its last content.
	Resource *Resource `cbor:"4,keyasint,omitempty"`
	// Claim is the claim after the command, if the command concerns one.
	Claim *Claim `cbor:"5,keyasint,omitempty"`
	// Replayed means that the result is that of the first application of a
	// resent change.
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
	// Index is the log index of the command that last changed the claim.
	Index uint64 `cbor:"8,keyasint"`
	// Time is the state's time when that command was applied.
	Time Instant `cbor:"9,keyasint"`
}
