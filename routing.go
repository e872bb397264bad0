package marigoldpoint

import (
	"marigoldpoint.example/marigoldpoint/internal/coordination/router"
	"marigoldpoint.example/marigoldpoint/internal/state/indexer"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// The parts of routing.
type (
	// Router chooses backend servers; several goroutines may use it.
	Router = router.Router
	// RouterSettings are a Router's options.
	RouterSettings = router.Settings
	// RoutedCall is what a choice is made for.
	RoutedCall = router.Call
	// RoutingPool names the backend servers which can run the same calls.
	RoutingPool = router.Pool
	// RoutingDecision is the caller's storage for a choice and its reasons.
	RoutingDecision = router.Decision
	// RoutingEnding tells a Router how a call ended.
	RoutingEnding = router.CallResult
	// Member is a backend server with its announcement.
	Member = indexer.Member
	// MemberSpec is the announcement of a backend server.
	MemberSpec = storer.MemberSpec
)

// The kinds of backend servers.
const (
	MemberKindEngine  = storer.MemberKindEngine
	MemberKindService = storer.MemberKindService
)

// NewRouter returns a Router without members.
func NewRouter(s RouterSettings) *Router { return router.NewRouter(s) }
