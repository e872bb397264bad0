package registrar

import (
	"time"

	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// Lease is a membership as granted to a companion.
type Lease struct {
	Name string
	// Epoch names the membership and fences its orders.
	Epoch uint64
	// Until is the life of the lease from when the companion sent its request.
	Until time.Duration
}

// JoinRequest asks for a membership.
type JoinRequest struct {
	Name   string
	Member storer.MemberSpec
}

// LeaveRequest announces that a membership is ending.
type LeaveRequest struct {
	Name  string
	Epoch uint64
	// Ended removes the membership; otherwise it is marked as leaving.
	Ended bool
}

// Void tells a companion that memberships it renews have ended: it must join
// again.
type Void struct{ Members []storer.MemberEpoch }

// Renewal is a companion's heartbeat for one backend server.
type Renewal struct {
	Name  string
	Epoch uint64
	// Load is the backend server's load now.
	Load Load
	// Resident lists all versions, WORKSPACE/ADAPTER@VERSION, that are loaded
	// now. The subscriber sends only what changed.
	Resident []string
}

// Heartbeat is a Renewal on its way from a companion to its control host.
type Heartbeat struct {
	Name  string
	Epoch uint64
	// Term is the newest leader's term that the companion heard of. It takes no
	// permit of an older one any more.
	Term uint64
	// Sequence rises with each heartbeat of the companion.
	Sequence uint64
	// Permits are the load permits that the companion holds.
	Permits []uint64 `json:",omitempty"`
	// Report is the backend server's state; nil means unchanged.
	Report *ServerChange `json:",omitempty"`
}

// LeaseRenewal is one lease within a RenewBatch.
type LeaseRenewal struct {
	Name     string
	Epoch    uint64
	Term     uint64
	Sequence uint64
	Permits  []uint64 `json:",omitempty"`
}

// RenewBatch carries all renewals that one control host received in one tick
// to the leader.
type RenewBatch struct {
	// Host is the control host's node name.
	Host string
	// FailureDomain is that of the host.
	FailureDomain string
	Leases        []LeaseRenewal
}

// RenewAnswer answers a RenewBatch.
type RenewAnswer struct {
	// Void are the memberships in the batch that have ended.
	Void []storer.MemberEpoch
}
