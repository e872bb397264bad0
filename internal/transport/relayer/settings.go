package relayer

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"marigoldpoint.example/marigoldpoint/internal/coordination/bucketer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/watcher"
	"marigoldpoint.example/marigoldpoint/internal/protocol/exchanger"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
	"marigoldpoint.example/marigoldpoint/internal/transport/dialer"
)

// Defaults of Settings.
const (
	// DefaultAdmitTimeout is the longest wait for one companion's admission. It is
	// long beside a load: a request that goes elsewhere has its adapter loaded a
	// second time, and the store is what all wait for.
	DefaultAdmitTimeout = 3500 * time.Millisecond
	// DefaultBodyBytes bounds a body before any configuration is known.
	DefaultBodyBytes = 4 << 20
	// DefaultRetryRatio and DefaultRetrySlack bound what is sent beyond the first
	// attempt of each call within DefaultRetryWindow: a share of an entry's own
	// calls, and a number that all entries share.
	DefaultRetryRatio  = 0.15
	DefaultRetrySlack  = 40.0
	DefaultRetryWindow = 10 * time.Second
	// DefaultRetryAfter is told with a refusal whose cause passes soon.
	DefaultRetryAfter = 300 * time.Millisecond
	// DefaultWatchInterval is the time between two checks whether each companion
	// tells its state.
	DefaultWatchInterval = 500 * time.Millisecond
)

// Control is the entry's end towards the control hosts. *subscriber.Client is one.
type Control interface {
	// ConfirmedAge returns how long ago the entry asked what was accepted and has held it
	// since, and false where it never did.
	ConfirmedAge() (time.Duration, bool)
	// AwaitReport has control asked at once, and waits for an answer; it reports whether
	// one came.
	AwaitReport(ctx context.Context) bool
	// Spend admits a call of a workspace with a quota, or refuses it.
	Spend(workspace string, limit bucketer.Limit, cost float64) bucketer.Decision
	// Refund gives back what a call that has not run was admitted with.
	Refund(workspace string, cost float64)
}

// Settings are a Relayer's options. The zero value of a field means its documented
// default.
type Settings struct {
	Node string
	// FailureDomain is the entry's.
	FailureDomain string
	// Translator, View, Placer, Pool, Companions and Random are required.
	Translator Translator
	View       func() *tracker.View
	// Trusted reports whether what is known was lately all that was accepted; nil
	// means always.
	Trusted func() bool
	// Control tells what is known of keys and quotas; nil means that neither are in use.
	Control Control
	// KeyLease is the age of what is known up to which a caller's key opens what it
	// opened; 0 means any.
	KeyLease time.Duration
	Placer   *placer.Placer
	// Pool holds the connections to backend servers.
	Pool *exchanger.Pool
	// Companions holds those to companions; its handler must be the relayer's.
	Companions *dialer.Pool
	// CompanionAddress returns where the companion of a backend server listens.
	CompanionAddress func(tracker.Member) string

	// Tell has the replicated state take a change in; nil means that there is none.
	Tell func(ctx context.Context, c storer.Command) error

	AdmitTimeout  time.Duration
	RetryRatio    float64
	RetrySlack    float64
	RetryWindow   time.Duration
	RetryAfter    time.Duration
	WatchInterval time.Duration
	// Silence tells when a companion, and the host that it shares with its engine,
	// counts as silent; its limit must exceed twice the interval of heartbeats.
	Silence watcher.Settings

	Registerer prometheus.Registerer
	Log        zerolog.Logger
	// Now is a clock with monotonic readings; nil means time.Now.
	Now    func() time.Time
	Random *rand.Rand
}

func (s Settings) withDefaults() Settings {
	s.AdmitTimeout = cmp.Or(s.AdmitTimeout, DefaultAdmitTimeout)
	s.RetryRatio = cmp.Or(s.RetryRatio, DefaultRetryRatio)
	s.RetrySlack = cmp.Or(s.RetrySlack, DefaultRetrySlack)
	s.RetryWindow = cmp.Or(s.RetryWindow, DefaultRetryWindow)
	s.RetryAfter = cmp.Or(s.RetryAfter, DefaultRetryAfter)
	s.Silence.SilentAfter = cmp.Or(s.Silence.SilentAfter, watcher.DefaultSilentAfter)
	s.WatchInterval = cmp.Or(s.WatchInterval, DefaultWatchInterval)
	if s.Now == nil {
		s.Now = time.Now
	}
	return s
}
