package marigoldpoint

import (
	"marigoldpoint.example/marigoldpoint/internal/coordination/router"
	"marigoldpoint.example/marigoldpoint/internal/state/indexer"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// The components of routing.
type (
	// Router chooses backend servers. It is safe for concurrent use.
	Router = router.Router
	// RouterSettings are a Router's options.
	RouterSettings = router.Settings
	// RoutedCall is a call for which a Router chooses a backend server.
	RoutedCall = router.Call
	// RoutingPool identifies a set of backend servers that can run the same calls.
	RoutingPool = router.Pool
	// RoutingDecision is caller-provided storage for a choice and its reasons.
	RoutingDecision = router.Decision
	// RoutingEnding is the result of a call, reported to a Router.
	RoutingEnding = router.CallResult
	// Member is a backend server and its announcement.
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
