package distributor

// Enlistment is the word of a control host that wants to be a voter of the
// group. It is repeated until the host votes.
type Enlistment struct {
	Host GroupHost
	// Incarnation identifies the host's disk.
	Incarnation uint64
	// TimeoutMillis is the time that the sender waits.
	TimeoutMillis int64
	Forwarded     bool `json:",omitempty"`
}
