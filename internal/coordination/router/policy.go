package router

//go:generate stringer -type=Policy -trimprefix=Policy

// Policy is a way to choose. All but PolicyMarigold are baselines.
type Policy int

// The policies.
const (
	// PolicyMarigold weighs stalls against batch fill.
	PolicyMarigold Policy = iota
	// PolicyRandom draws at random.
	PolicyRandom
	// PolicyLeastLoaded takes the least loaded of all.
	PolicyLeastLoaded
	// PolicyConsistentHash takes the first rendezvous home, whatever its load.
	PolicyConsistentHash
)

//go:generate stringer -type=Reason -trimprefix=Reason

// Reason tells why a candidate was taken or passed.
type Reason int

// The reasons.
const (
	// ReasonResident means that the version is believed resident there.
	ReasonResident Reason = iota
	// ReasonLoading means that the version is believed to be loading there.
	ReasonLoading
	// ReasonHome means that the backend server is a home of the version.
	ReasonHome
	// ReasonPioneer means that it is a home which measured demand calls for
	// and on which the version is not resident yet.
	ReasonPioneer
	// ReasonOverBound means that it is a home with more than its bounded load.
	ReasonOverBound
	// ReasonDrawn means that it was drawn at random.
	ReasonDrawn
	// ReasonSuspect means that the entry has evidence that it is not well.
	ReasonSuspect
	// ReasonTried means that the call asked to avoid it.
	ReasonTried
	// ReasonPolicy means that a baseline policy looked at it.
	ReasonPolicy
)
