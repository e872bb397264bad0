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

// Index is what an entry reads of the configuration; an *indexer.Index.
type Index interface {
	Resolve(workspace, adapter, version string) (indexer.Target, error)
	Rule(workspace, adapter, key string) (storer.PriorityRuleSpec, bool)
	KeyByHash(hash [32]byte) (indexer.KeyHolder, bool)
	Service(workspace, name string) (storer.ServiceSpec, bool)
	Workspace(name string) (storer.WorkspaceSpec, bool)
	Members() indexer.MemberView
	Models(workspace string) []indexer.Model
	Suspects() *blamer.List
}

// Control is what an entry asks of the control hosts; a *subscriber.Client.
type Control interface {
	// Propose submits a command and returns the state machine's answer. Its
	// errors leave open whether the command takes effect, except for
	// subscriber.ErrNotAccepted.
	Propose(ctx context.Context, e storer.Envelope) (storer.Result, error)
	// LeaseValid reports whether the configuration is known to be in force.
	LeaseValid() bool
	// Spend admits a call of a workspace with a quota, or refuses it.
	Spend(workspace string, limit bucketer.Limit, cost float64) bucketer.Decision
	// Refund gives back what a call that has not run was admitted with.
	Refund(workspace string, cost float64)
	// AwaitReport has control asked at once for what is left of quotas, and reports whether
	// an answer came.
	AwaitReport(ctx context.Context) bool
	// OnDigest registers what takes residency and load changes.
	OnDigest(f func(registrar.Digest))
}

// Pool opens connections to companions; a *dialer.Pool whose messages go to
// a PieceRouter.
type Pool interface {
	Conn(ctx context.Context, address string) (*messenger.Conn, error)
}

// Times of an entry that the settings leave open.
const (
	// resumeLimit is the longest time for which the entry asks a companion that
	// it can't reach for the rest of an answer.
	resumeLimit = 15 * time.Second
	// gapPatience is the time that a missing piece may be late before it is
	// asked for.
	gapPatience = 200 * time.Millisecond
	// digestAge is the age of the load in a digest: two ticks on its way.
	digestAge = time.Second
	// claimPatience is the longest time for which the entry tries to have a call
	// claimed: longer than an election takes.
	claimPatience = 5 * time.Second
	// settleLimit is the longest time for which the entry tries to settle a
	// claim.
	settleLimit = 30 * time.Second
	// writePatience is the time beyond the deadline for which a caller that
	// reads slowly is waited for.
	writePatience = 5 * time.Second
)

// Settings are what an entry is made of. Index, Control, Pool, Pieces, Now and
// Random must be set.
type Settings struct {
	// Node is the process's name.
	Node          string
	Region        string
	FailureDomain string
	// Entry is read with its defaults filled in.
	Entry configurer.EntrySettings
	// Entries is the number of entries that share the callers; 0 means 1.
	Entries int
	Index   Index
	Control Control
	Pool    Pool
	// Pieces takes the pieces that arrive on the pool's connections.
	PieceRouter *PieceRouter
	// Recorder and Registerer may be nil.
	Recorder   *recorder.Recorder
	Registerer prometheus.Registerer
	Log        zerolog.Logger
	Now        func() time.Time
	// Random is taken over by the entry.
	Random *rand.Rand
}

func (s Settings) check() {
	switch {
	case s.Index == nil, s.Control == nil, s.Pool == nil, s.PieceRouter == nil:
		panic("gatekeeper: settings need index, control, pool and pieces")
	case s.Now == nil, s.Random == nil:
		panic("gatekeeper: settings need clock and random source")
	}
}

// routerSettings returns the router's part of the settings.
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

// Limits returns the limits of the listener for callers. The header's is twice
// the setting: up to there the entry answers for itself, with the outcome.
func Limits(e configurer.EntrySettings) listener.Limits {
	return listener.Limits{
		MaxHeaderBytes: int(2 * e.MaxHeaderBytes),
		HeaderTimeout:  time.Duration(e.HeaderTimeout),
		IdleTimeout:    time.Duration(e.RequestTimeout),
	}
}

// certain reports whether a proposal's error means that it certainly takes no
// effect.
func certain(err error) bool { return errors.Is(err, subscriber.ErrNotAccepted) }
