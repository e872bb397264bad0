package distributor

import "marigoldpoint.example/marigoldpoint/internal/state/storer"

//go:generate stringer -type=Scope -trimprefix=Scope

// Scope is the part of the configuration that a node needs.
type Scope int

// The scopes.
const (
	// ScopeEntry includes everything.
	ScopeEntry Scope = iota
	// ScopeCompanion includes the workspaces, for their shares, and the membership of
	// the companion's own backend server.
	ScopeCompanion
	// ScopeEngine includes the routing configuration, the newest versions of adapters, and
	// the membership of the companion's own backend server.
	ScopeEngine
)

// Includes reports whether a node of the scope needs a resource. backend is the name of
// a companion's own backend server. A companion holds neither callers' keys nor the
// sources of adapters.
func (s Scope) Includes(r storer.Resource, backend string) bool {
	switch s {
	case ScopeCompanion:
		return r.Kind == storer.KindWorkspace || r.Kind == storer.KindMember && r.Metadata.Name == backend
	case ScopeEngine:
		return r.Kind == storer.KindRouting || r.Kind == storer.KindNewest || r.Kind == storer.KindMember && r.Metadata.Name == backend
	default:
		return true
	}
}
