package router

//go:generate stringer -type=Policy -trimprefix=Policy

// Policy is a routing policy. All but PolicyMarigold are baselines.
type Policy int

// The policies.
const (
	// PolicyMarigold weighs stalls against batch fill.
	PolicyMarigold Policy = iota
	// PolicyRandom chooses at random.
	PolicyRandom
	// PolicyLeastLoaded chooses the least loaded of all.
	PolicyLeastLoaded
	// PolicyConsistentHash chooses the first rendezvous home, whatever its load.
	PolicyConsistentHash
)

//go:generate stringer -type=Reason -trimprefix=Reason

// Reason is the reason why a candidate was considered or skipped.
type Reason int

// The reasons.
const (
	// ReasonResident means that the version is believed resident there.
	ReasonResident Reason = iota
	// ReasonLoading means that the version is believed to be loading there.
	ReasonLoading
	// ReasonHome means that the backend server is a home of the version.
	ReasonHome
	// ReasonPioneer means that the backend server is a home required by the measured
	// demand on which the version is not resident yet.
	ReasonPioneer
	// ReasonOverBound means that the backend server is a home above its bounded load.
	ReasonOverBound
	// ReasonDrawn means that the backend server was chosen at random.
	ReasonDrawn
	// ReasonSuspect means that the entry has evidence that the backend server is
	// unhealthy.
	ReasonSuspect
	// ReasonTried means that the call excluded the backend server.
	ReasonTried
	// ReasonPolicy means that a baseline policy considered the backend server.
	ReasonPolicy
)
