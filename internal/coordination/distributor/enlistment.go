package distributor

// Enlistment is the request of a control host to become a voter of the group. It is
// repeated until the host is a voter.
type Enlistment struct {
	Host GroupHost
	// Incarnation identifies the host's disk.
	Incarnation uint64
	// TimeoutMillis is how long the sender waits, in milliseconds.
	TimeoutMillis int64
	Forwarded     bool `json:",omitempty"`
}
