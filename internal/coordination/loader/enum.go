package loader

//go:generate stringer -type=Phase -trimprefix=Phase
//go:generate stringer -type=Policy -trimprefix=Policy
//go:generate stringer -type=Outcome -trimprefix=Outcome

// Phase is the phase of a version at the engine.
type Phase int

// The phases of a version.
const (
	// PhaseEmpty means that the version has no slot.
	PhaseEmpty Phase = iota
	// PhaseLoading means that a load order is out for it.
	PhaseLoading
	// PhaseResident means that requests may use it.
	PhaseResident
	// PhaseEvicting means that an unload order is out for it.
	PhaseEvicting
)

// Policy chooses the version to evict.
type Policy int

// The policies. All but PolicyDemand are baselines to measure against.
const (
	// PolicyDemand evicts the version with the least product of demand and cost
	// of reload, and is fair between workspaces.
	PolicyDemand Policy = iota
	// PolicyLeastRecentlyUsed evicts the version whose last use is longest ago
	// and loads in order of arrival, whatever the workspaces.
	PolicyLeastRecentlyUsed
)

// Outcome is the outcome of an order.
type Outcome int

// The outcomes of an order.
const (
	// OutcomeDone means that the engine obeyed.
	OutcomeDone Outcome = iota
	// OutcomeFailed means that the engine did not obey, and that the version has
	// no slot.
	OutcomeFailed
	// OutcomeUnknown means that the engine's state must be read.
	OutcomeUnknown
	// OutcomeFenced means that the engine refused the fencing number.
	OutcomeFenced
)
