package permitter

import "time"

// Request asks for the permit to load one version into one backend server.
type Request struct {
	// Companion is the name of the backend server that is to load. With Version
	// it identifies the request: another one with both equal replaces it.
	Companion string
	// Workspace is the one that the version belongs to.
	Workspace string
	// Version is WORKSPACE/ADAPTER@VERSION.
	Version string
	// Waiters is the number of calls that wait for the version there.
	Waiters int
	// Share weighs the workspace; under 1 means 1.
	Share int
}

// Grant is a permit to load.
type Grant struct {
	// Number rises with each grant, also over leaders. It fences the load.
	Number    uint64
	Companion string
	Version   string
	// Expiry is the life of the permit from when its holder was last heard of.
	Expiry time.Duration
}

// Finish ends a permit, or withdraws a request.
type Finish struct {
	// Number is the grant's; 0 where none was received. Then the request for
	// Companion and Version is withdrawn, and a grant of it ended: its answer
	// was lost.
	Number    uint64
	Companion string
	Version   string
}

// termShift places a leader's term above the counter of its grants.
const termShift = 32

// Term returns the leader's term in which a permit was granted.
func Term(number uint64) uint64 { return number >> termShift }

// FallbackRate returns the loads per second that one companion allows itself
// while it can't reach a control host: an equal part of half the store's rate.
// The other half is left to the companions that still get permits.
func FallbackRate(rate float64, companions int) float64 {
	const fallbackShare = 0.5
	return rate * fallbackShare / float64(max(companions, 1))
}

// PermitRequest carries a Request over the network.
type PermitRequest struct {
	Request
	// TimeoutMillis is the time that the sender waits.
	TimeoutMillis int64
	Forwarded     bool `json:",omitempty"`
}
