package permitter

import "time"

// Request requests the permit to load one version into one backend server.
type Request struct {
	// Companion is the name of the backend server that is to load. Together with
	// Version it identifies the request: a later request with the same values replaces
	// it.
	Companion string
	// Workspace is the workspace that the version belongs to.
	Workspace string
	// Version is WORKSPACE/ADAPTER@VERSION.
	Version string
	// Waiters is the number of calls that wait for the version there.
	Waiters int
	// Share is the weight of the workspace; values less than 1 mean 1.
	Share int
	// Sequence is the sequence number of the companion's last report before the request; 0
	// means unknown. Every later report lists the version as requested, or the permit.
	Sequence uint64 `json:",omitempty"`
}

// Grant is a permit to load.
type Grant struct {
	// Number increases with each grant, across leaders as well. It fences the load.
	Number    uint64
	Companion string
	Version   string
	// Expiry is the lifetime of the permit, counted from its holder's last report.
	Expiry time.Duration
}

// Finish ends a permit, or withdraws a request.
type Finish struct {
	// Number is the number of the grant; 0 if none was received. In that case the
	// request for Companion and Version is withdrawn, and a grant whose answer was lost
	// is ended.
	Number    uint64
	Companion string
	Version   string
}

// termShift places a leader's term above the counter of its grants.
const termShift = 32

// Term returns the leader's term in which a permit was granted.
func Term(number uint64) uint64 { return number >> termShift }

// FallbackRate returns the loads per second that one companion allows itself without
// contact to a control host: an equal part of half the store's rate. The other half is
// left to the companions that still obtain permits.
func FallbackRate(rate float64, companions int) float64 {
	const fallbackShare = 0.5
	return rate * fallbackShare / float64(max(companions, 1))
}

// PermitRequest is the message that carries a Request over the network.
type PermitRequest struct {
	Request
	// TimeoutMillis is how long the sender waits, in milliseconds.
	TimeoutMillis int64
	Forwarded     bool `json:",omitempty"`
}
