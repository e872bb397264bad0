package storer

// Envelope carries one command through the replicated log.
type Envelope struct {
	// Time is the proposer's clock. The state machine never lets its own time
	// go back: it applies max(Time, latest applied).
	Time Instant
	// IdempotencyKey identifies a resent change; empty means none.
	IdempotencyKey string
	// Digest is the SHA-256 of the change as the operator sent it. A key reused
	// with another digest is refused.
	Digest  []byte
	Command Command
}

// Command changes the replicated state: one of PutResource, DeleteResource,
// ClaimCall, SettleClaim, JoinMember, LeaveMember and ExpireMembers.
type Command interface{ command() }

// PutResource writes a resource.
type PutResource struct {
	Resource Resource
	// IfMatch is the revision the writer last read; 0 means no condition.
	IfMatch uint64
	// IfNoneMatch makes the write create, and fail where the resource exists.
	IfNoneMatch bool
}

// DeleteResource ends a resource.
type DeleteResource struct {
	Key     Key
	IfMatch uint64
}

// ClaimCall reserves the single run of a non-idempotent call for its holder.
type ClaimCall struct {
	Workspace string
	// Key is the caller's idempotency key.
	Key string
	// Digest is the SHA-256 of the call.
	Digest []byte
	// Holder names the entry and request which may dispatch the call.
	Holder string
}

//go:generate stringer -type=ClaimState -trimprefix=ClaimState

// ClaimState tells how far a claimed call has come.
type ClaimState int

// The states of a claim.
const (
	// ClaimStateClaimed means that the holder may have dispatched the call.
	ClaimStateClaimed ClaimState = iota
	// ClaimStateReleased means that the call provably did not run; another
	// holder may claim the key.
	ClaimStateReleased
	// ClaimStateDone means that the call ran and its answer was seen whole.
	ClaimStateDone
	// ClaimStateUnknown means that the call may have run.
	ClaimStateUnknown
)

// SettleClaim records the outcome of a claimed call. Only the holder may.
type SettleClaim struct {
	Workspace string
	Key       string
	Holder    string
	State     ClaimState
	// Backend names the member which may hold the kept answer, Request the id
	// under which it is kept there.
	Backend string
	Request string
}

// JoinMember begins or renews a backend server's membership under a name. A
// join with another incarnation or another companion ends the former one.
type JoinMember struct {
	Name   string
	Member MemberSpec
}

// LeaveMember marks a membership as leaving, or ends it.
type LeaveMember struct {
	Name string
	// Epoch is the membership meant; a later one is left alone.
	Epoch uint64
	// Ended removes the membership instead of marking it.
	Ended bool
}

// MemberEpoch names one membership.
type MemberEpoch struct {
	Name  string
	Epoch uint64
}

// ExpireMembers ends the memberships whose leases ran out.
type ExpireMembers struct{ Members []MemberEpoch }

func (PutResource) command()    {}
func (DeleteResource) command() {}
func (ClaimCall) command()      {}
func (SettleClaim) command()    {}
func (JoinMember) command()     {}
func (LeaveMember) command()    {}
func (ExpireMembers) command()  {}
