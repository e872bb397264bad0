package drainer

//go:generate stringer -type=Phase -trimprefix=Phase
//go:generate stringer -type=Role -trimprefix=Role

// Phase is a phase of a planned stop. Phases follow each other in this order.
type Phase int

// The phases.
const (
	// PhaseServing is the ordinary state.
	PhaseServing Phase = iota
	// PhaseUnready answers health checks as unready, and announces that a
	// backend server leaves, while new work is still taken: callers that have
	// not noticed yet must not be refused.
	PhaseUnready
	// PhaseBalancerDelay waits until the platform's balancer has noticed.
	PhaseBalancerDelay
	// PhaseClosing stops taking connections and new work.
	PhaseClosing
	// PhaseFinishing waits for the work in progress and the answers not yet
	// acknowledged.
	PhaseFinishing
	// PhaseHandingOver gives up leadership, leases and memberships.
	PhaseHandingOver
	// PhaseStopped means that the process may exit.
	PhaseStopped
)

// Role is a part of a process that stops.
type Role int

// The roles in the order in which they stop within one process. An entry relies
// on control for claims until its last request has ended, and a companion for
// its membership, so that control stops last. An entry goes before a companion
// in its own process, since its requests may run there.
const (
	RoleEntry Role = iota
	RoleCompanion
	RoleControl
)
