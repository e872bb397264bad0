package gatekeeper

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"marigoldpoint.example/marigoldpoint/internal/coordination/bucketer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/registrar"
	"marigoldpoint.example/marigoldpoint/internal/coordination/router"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/blamer"
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
	"marigoldpoint.example/marigoldpoint/internal/state/indexer"
	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/transport/listener"
	"marigoldpoint.example/marigoldpoint/internal/transport/subscriber"
)

// Index is the configuration as an entry reads it, an *indexer.Index.
type Index interface {
	Resolve(workspace, adapter, version string) (indexer.Target, error)
	Rule(workspace, adapter, key string) (storer.PriorityRuleSpec, bool)
	KeyByHash(hash [32]byte) (indexer.KeyHolder, bool)
	Service(workspace, name string) (storer.ServiceSpec, bool)
	Workspace(name string) (storer.WorkspaceSpec, bool)
	Members() indexer.MemberView
	Models(workspace string) []indexer.Model
	Suspects() *blamer.List
	// Revision returns the revision of the replica, which Suspects may be newer than.
	Revision() uint64
}

// Control is the client of the control hosts, a *subscriber.Client.
type Control interface {
	// Propose submits a command and returns the state machine's result. After an error
	// the command may still take effect, unless the error is subscriber.ErrNotAccepted.
	Propose(ctx context.Context, e storer.Envelope) (storer.Result, error)
	// LeaseValid reports whether the configuration is known to be in force.
	LeaseValid() bool
	// Spend admits a call of a workspace with a quota, or refuses it. left is the time left
	// until the call's deadline.
	Spend(workspace string, limit bucketer.Limit, cost float64, left time.Duration) bucketer.Decision
	// Refund returns the cost of a call that did not run.
	Refund(workspace string, cost float64)
	// AwaitReport requests the remaining quotas from control at once, and reports
	// whether an answer arrived.
	AwaitReport(ctx context.Context) bool
	// OnDigest registers the receiver of changes of residency and load.
	OnDigest(f func(registrar.Digest))
}

// Pool opens connections to companions. It is a *dialer.Pool whose handler is a
// PieceRouter.
type Pool interface {
	Conn(ctx context.Context, address string) (*messenger.Conn, error)
}

// Time limits of an entry that are not configurable.
const (
	// resumeTimeout is the maximum time for which the entry tries to get the rest of an
	// answer from a companion that it can't reach.
	resumeTimeout = 15 * time.Second
	// gapTimeout is how late a missing piece may be before it is requested again.
	gapTimeout = 200 * time.Millisecond
	// assumedDigestAge is the assumed age of the load in a digest: two ticks in
	// transit.
	assumedDigestAge = time.Second
	// claimTimeout is the maximum time for which the entry tries to claim a call. It is
	// longer than an election.
	claimTimeout = 5 * time.Second
	// settleTimeout is the maximum time for which the entry tries to settle a claim.
	settleTimeout = 30 * time.Second
	// writeGrace is how long after the deadline a slowly reading caller may take to
	// read the answer.
	writeGrace = 5 * time.Second
)

// Settings are the options of an Entry. Index, Control, Pool, PieceRouter, Now and
// Random are required.
type Settings struct {
	// Node is the name of the process.
	Node          string
	Region        string
	FailureDomain string
	// Entry holds the entry's settings, with defaults applied.
	Entry configurer.EntrySettings
	// Entries is the number of entries that share the load of callers; 0 means 1.
	Entries int
	Index   Index
	Control Control
	Pool    Pool
	// PieceRouter receives the pieces that arrive on the pool's connections.
	PieceRouter *PieceRouter
	// Recorder and Registerer may be nil.
	Recorder   *recorder.Recorder
	Registerer prometheus.Registerer
	Log        zerolog.Logger
	Now        func() time.Time
	// Random is used only by the entry from then on.
	Random *rand.Rand
}

func (s Settings) check() {
	switch {
	case s.Index == nil, s.Control == nil, s.Pool == nil, s.PieceRouter == nil:
		panic("gatekeeper: settings need index, control, pool and piece router")
	case s.Now == nil, s.Random == nil:
		panic("gatekeeper: settings need clock and random source")
	}
}

// routerSettings returns the settings of the router.
func (s Settings) routerSettings() router.Settings {
	return router.Settings{
		Policy:        policyOf(s.Entry.Policy),
		Region:        s.Region,
		FailureDomain: s.FailureDomain,
		StallWeight:   s.Entry.StallWeight,
		BatchWeight:   s.Entry.BatchWeight,
		TargetFill:    s.Entry.TargetFill,
		Entries:       s.Entries,
		Seed:          s.Random.Uint64(),
	}
}

func policyOf(p configurer.Policy) router.Policy {
	switch p {
	case configurer.PolicyRandom:
		return router.PolicyRandom
	case configurer.PolicyLeastLoaded:
		return router.PolicyLeastLoaded
	case configurer.PolicyConsistentHash:
		return router.PolicyConsistentHash
	default:
		return router.PolicyMarigold
	}
}

// Limits returns the limits of the callers' listener. The header limit is twice the
// setting: up to that size the entry answers itself, with an outcome.
func Limits(e configurer.EntrySettings) listener.Limits {
	return listener.Limits{
		MaxHeaderBytes: int(2 * e.MaxHeaderBytes),
		HeaderTimeout:  time.Duration(e.HeaderTimeout),
		IdleTimeout:    time.Duration(e.RequestTimeout),
	}
}

// certain reports whether the error of a proposal proves that it takes no effect.
func certain(err error) bool { return errors.Is(err, subscriber.ErrNotAccepted) }
