package loader

//go:generate stringer -type=Phase -trimprefix=Phase
//go:generate stringer -type=Policy -trimprefix=Policy
//go:generate stringer -type=Outcome -trimprefix=Outcome

// Phase is the state of a version at the engine.
type Phase int

// The phases of a version.
const (
	// PhaseEmpty means that the version has no slot.
	PhaseEmpty Phase = iota
	// PhaseLoading means that a load order is in flight.
	PhaseLoading
	// PhaseResident means that requests can use the version.
	PhaseResident
	// PhaseEvicting means that an unload order is in flight.
	PhaseEvicting
)

// Policy selects the version to evict.
type Policy int

// The policies. All but PolicyDemand are baselines for comparison.
const (
	// PolicyDemand evicts the version with the lowest product of demand and reload
	// cost, and is fair between workspaces.
	PolicyDemand Policy = iota
	// PolicyLeastRecentlyUsed evicts the least recently used version and loads in order
	// of arrival, regardless of workspaces.
	PolicyLeastRecentlyUsed
)

// Outcome is the outcome of a load or unload order.
type Outcome int

// The outcomes of an order.
const (
	// OutcomeDone means that the engine carried out the order.
	OutcomeDone Outcome = iota
	// OutcomeFailed means that the engine did not carry out the order, and that the
	// version has no slot.
	OutcomeFailed
	// OutcomeUnknown means that the engine's state must be read to determine the
	// outcome.
	OutcomeUnknown
	// OutcomeFenced means that the engine rejected the fencing number.
	OutcomeFenced
)
