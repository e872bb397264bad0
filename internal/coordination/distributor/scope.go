package distributor

import "marigoldpoint.example/marigoldpoint/internal/state/storer"

//go:generate stringer -type=Scope -trimprefix=Scope

// Scope tells which part of the configuration a node needs.
type Scope int

// The scopes.
const (
	// ScopeEntry takes everything.
	ScopeEntry Scope = iota
	// ScopeCompanion takes the workspaces, for their shares, and the membership
	// of its own backend server.
	ScopeCompanion
)

// Includes reports whether a node of the scope needs a resource. Backend is the
// name of a companion's own backend server. A companion holds no caller's key
// and no other workspace's sources.
func (s Scope) Includes(r storer.Resource, backend string) bool {
	switch s {
	case ScopeCompanion:
		return r.Kind == storer.KindWorkspace || r.Kind == storer.KindMember && r.Metadata.Name == backend
	default:
		return true
	}
}
