package storer

// Envelope carries one command through the replicated log.
type Envelope struct {
	// Time is the clock of the leader that accepted the command; the leader
	// overwrites the proposer's value. The state's own time follows it, but
	// never decreases and advances by a limited step: see Retention.
	Time Instant
	// IdempotencyKey identifies a change that may be resent; empty means none.
	IdempotencyKey string
	// Digest is the SHA-256 of the change as the operator sent it. Reuse of the
	// key with another digest is refused.
	Digest  []byte
	Command Command
}

// Command changes the replicated state: one of PutResource, DeleteResource,
// ClaimCall, SettleClaim, JoinMember, LeaveMember, ExpireMembers,
// SetRetention, PutRouting, NameNewest, AnnounceMember, RetireMember, CountEnds,
// ClearSuspects, ReviewSuspects, CountPartEnds, CountPartAnswers and ReviewParts.
type Command interface{ command() }

// PutResource writes a resource.
type PutResource struct {
	Resource Resource `cbor:"1,keyasint,omitempty"`
	// IfMatch is the revision that the writer last read; 0 means no condition.
	IfMatch uint64 `cbor:"2,keyasint,omitempty"`
	// IfNoneMatch makes the write fail if the resource exists.
	IfNoneMatch bool `cbor:"3,keyasint,omitempty"`
}

// DeleteResource deletes a resource.
type DeleteResource struct {
	Key     Key    `cbor:"1,keyasint,omitempty"`
	IfMatch uint64 `cbor:"2,keyasint,omitempty"`
}

// ClaimCall reserves the single execution of a non-idempotent call for its
// holder.
type ClaimCall struct {
	Workspace string `cbor:"1,keyasint,omitempty"`
	// Key is the caller's idempotency key.
	Key string `cbor:"2,keyasint,omitempty"`
	// Digest is the SHA-256 of the call.
	Digest []byte `cbor:"3,keyasint,omitempty"`
	// Holder identifies the entry and request that may dispatch the call.
	Holder string `cbor:"4,keyasint,omitempty"`
}

//go:generate stringer -type=ClaimState -trimprefix=ClaimState

// ClaimState is the state of a claimed call.
type ClaimState int

// The states of a claim.
const (
	// ClaimStateClaimed means that the holder may have dispatched the call.
	ClaimStateClaimed ClaimState = iota
	// ClaimStateReleased means that the call definitely did not run; another
	// holder may claim the key.
	ClaimStateReleased
	// ClaimStateDone means that the call ran and that its complete answer was
	// received.
	ClaimStateDone
	// ClaimStateUnknown means that the call may have run.
	ClaimStateUnknown
)

// SettleClaim records the outcome of a claimed call. It is accepted from the
// holder of the claim only.
type SettleClaim struct {
	Workspace string     `cbor:"1,keyasint,omitempty"`
	Key       string     `cbor:"2,keyasint,omitempty"`
	Holder    string     `cbor:"3,keyasint,omitempty"`
	State     ClaimState `cbor:"4,keyasint,omitempty"`
	// Backend is the name of the member that may hold the retained answer,
	// Request the ID under which the answer is retained there.
	Backend string `cbor:"5,keyasint,omitempty"`
	Request string `cbor:"6,keyasint,omitempty"`
}

// JoinMember begins or renews a backend server's membership under a name. A
// join with another incarnation or another companion replaces the previous
// membership.
type JoinMember struct {
	Name   string     `cbor:"1,keyasint,omitempty"`
	Member MemberSpec `cbor:"2,keyasint,omitempty"`
}

// LeaveMember marks a membership as leaving, or ends it.
type LeaveMember struct {
	Name string `cbor:"1,keyasint,omitempty"`
	// Epoch identifies the membership; a later membership is not changed.
	Epoch uint64 `cbor:"2,keyasint,omitempty"`
	// Ended removes the membership instead of marking it as leaving.
	Ended bool `cbor:"3,keyasint,omitempty"`
}

// MemberEpoch identifies one membership.
type MemberEpoch struct {
	Name  string `cbor:"1,keyasint,omitempty"`
	Epoch uint64 `cbor:"2,keyasint,omitempty"`
}

// ExpireMembers ends memberships whose leases have expired.
type ExpireMembers struct {
	Members []MemberEpoch `cbor:"1,keyasint,omitempty"`
}

// SetRetention sets the retention limits. The leader proposes it if its settings
// differ from the retention in the state.
type SetRetention struct {
	Retention Retention `cbor:"1,keyasint"`
}

// PutRouting declares a complete routing configuration. The highest number takes
// effect; an equal or lower one is accepted without effect.
type PutRouting struct {
	Number uint64 `cbor:"1,keyasint,omitempty"`
	// Document is the configuration as packed by package packer.
	Document []byte `cbor:"2,keyasint,omitempty"`
}

// NameNewest sets the newest version of an adapter, or of a model, that no
// workspace owns. An equal or lower version than the stored one is accepted
// without effect.
type NameNewest struct {
	Name    string `cbor:"1,keyasint,omitempty"`
	Version uint64 `cbor:"2,keyasint,omitempty"`
}

// AnnounceMember is a backend server's own announcement, under the name of its
// address. Unlike JoinMember, it never reverts the leave or the end of an
// incarnation: such an announcement was delayed.
type AnnounceMember struct {
	Name   string     `cbor:"1,keyasint,omitempty"`
	Member MemberSpec `cbor:"2,keyasint,omitempty"`
}

// RetireMember ends an incarnation of a backend server permanently, whether or not it has
// a membership.
type RetireMember struct {
	// Name is the name of the membership, if the sender knows it. Hosts of an earlier
	// version look the membership up by Name only.
	Name        string `cbor:"1,keyasint,omitempty"`
	Incarnation string `cbor:"2,keyasint,omitempty"`
	// Instance, if set, also ends every incarnation of that backend server that has a
	// membership. It is empty if Incarnation identifies the one that ended.
	Instance string `cbor:"3,keyasint,omitempty"`
}

// Ends reports whether the command ends a membership.
func (c RetireMember) Ends(m MemberSpec) bool {
	return m.Incarnation == c.Incarnation || c.Instance != "" && m.ServerID() == c.Instance
}

func (PutResource) command()    {}
func (DeleteResource) command() {}
func (ClaimCall) command()      {}
func (SettleClaim) command()    {}
func (JoinMember) command()     {}
func (LeaveMember) command()    {}
func (ExpireMembers) command()  {}
func (SetRetention) command()   {}
func (PutRouting) command()     {}
func (NameNewest) command()     {}
func (AnnounceMember) command() {}
func (RetireMember) command()   {}
