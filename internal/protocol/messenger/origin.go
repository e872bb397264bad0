package messenger

// RecordOrigin reports to a companion the service and the software version that began the stream
// of an attempt, so that other entries can look them up (package continuer). It is a
// notification.
type RecordOrigin struct {
	// Attempt is the caller's id of the attempt.
	Attempt string
	// Service and Software are the service and the software version of the backend server that
	// sent the first event.
	Service  string
	Software string
	// Request identifies the request at its entry.
	Request string
	// KeepMillis is the time in milliseconds for which the caller may resume the stream.
	KeepMillis int64
}

// FindOrigin requests the service and the software version that began the stream of an attempt.
// It is answered by FoundOrigin.
type FindOrigin struct {
	Attempt string
}

// FoundOrigin answers FindOrigin.
type FoundOrigin struct {
	// Known means that the origin of the attempt is known. Service and Software are set only
	// then.
	Known    bool
	Service  string `json:",omitempty"`
	Software string `json:",omitempty"`
}
