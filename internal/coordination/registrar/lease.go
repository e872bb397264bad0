package registrar

import (
	"time"

	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// Lease is a membership granted to a companion.
type Lease struct {
	Name string
	// Epoch identifies the membership and fences its orders.
	Epoch uint64
	// Until is the duration of the lease, counted from the time at which the companion sent its
	// request.
	Until time.Duration
}

// JoinRequest requests a membership.
type JoinRequest struct {
	Name   string
	Member storer.MemberSpec
}

// LeaveRequest announces that a membership is ending.
type LeaveRequest struct {
	Name  string
	Epoch uint64
	// Ended ends the membership; otherwise it is marked as leaving.
	Ended bool
}

// Void notifies a companion that memberships which it renews have ended: it must join again.
type Void struct{ Members []storer.MemberEpoch }

// Renewal is a companion's heartbeat for one backend server.
type Renewal struct {
	Name  string
	Epoch uint64
	// Load is the current load of the backend server.
	Load Load
	// Resident lists all loaded versions, as WORKSPACE/ADAPTER@VERSION. The subscriber sends only
	// the differences.
	Resident []string
}

// Heartbeat is a Renewal in the form in which a companion sends it to its control host.
type Heartbeat struct {
	LeaseRenewal
	// Report is the change of the backend server's state; nil means unchanged.
	Report *ServerChange `json:",omitempty"`
}

// LeaseRenewal is the part of a Heartbeat that control hosts forward to the leader, in a
// RenewBatch.
type LeaseRenewal struct {
	Name  string
	Epoch uint64
	// Term is the highest leader's term that the companion has seen. It accepts no permits of older
	// terms.
	Term uint64
	// Sequence increases with each heartbeat of the companion.
	Sequence uint64
	// Permits are the load permits that the companion holds.
	Permits []uint64 `json:",omitempty"`
	// Requested are the versions for which the companion requests load permits.
	Requested []string `json:",omitempty"`
}

// RenewBatch carries all renewals that a control host received in one tick to the leader.
type RenewBatch struct {
	// Host is the node name of the control host.
	Host string
	// FailureDomain is the failure domain of the control host.
	FailureDomain string
	Leases        []LeaseRenewal
	// Entries is the number of entries connected to the host.
	Entries int `json:",omitempty"`
}

// RenewAnswer is the answer to a RenewBatch.
type RenewAnswer struct {
	// Void lists the memberships in the batch that have ended.
	Void []storer.MemberEpoch
}
