package drainer

//go:generate stringer -type=Phase -trimprefix=Phase
//go:generate stringer -type=Role -trimprefix=Role

// Phase is a phase of a planned stop. The phases follow each other in this order.
type Phase int

// The phases.
const (
	// PhaseServing is the normal state.
	PhaseServing Phase = iota
	// PhaseUnready fails readiness checks and announces that a backend server is leaving. New work
	// is still accepted: callers that have not noticed yet must not be refused.
	PhaseUnready
	// PhaseBalancerDelay waits until the platform's balancer has noticed.
	PhaseBalancerDelay
	// PhaseClosing stops accepting connections and new work.
	PhaseClosing
	// PhaseFinishing waits for the work in progress and for unacknowledged answers.
	PhaseFinishing
	// PhaseHandingOver gives up leadership, leases and memberships.
	PhaseHandingOver
	// PhaseStopped means that the process may exit.
	PhaseStopped
)

// Role is a role of a process.
type Role int

// The roles in the order in which they stop within one process. An entry needs control for claims
// until its last request has ended, and a companion needs it for its membership, so that control
// stops last. An entry stops before a companion in the same process, since its requests may run
// there.
const (
	RoleEntry Role = iota
	RoleCompanion
	RoleControl
)
