package relayer

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"marigoldpoint.example/marigoldpoint/internal/coordination/allotter"
	"marigoldpoint.example/marigoldpoint/internal/coordination/bucketer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/rationer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/regulator"
	"marigoldpoint.example/marigoldpoint/internal/coordination/watcher"
	"marigoldpoint.example/marigoldpoint/internal/protocol/exchanger"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
	"marigoldpoint.example/marigoldpoint/internal/transport/dialer"
)

// Defaults of Settings.
const (
	// DefaultAdmitTimeout is the maximum wait for one companion's admission. It is long
	// compared with a load, because a request that moves to another engine loads its
	// adapter a second time, and the weight store is the shared bottleneck.
	DefaultAdmitTimeout = 3500 * time.Millisecond
	// DefaultBodyBytes is the maximum size of a body if the configuration sets none.
	DefaultBodyBytes = 4 << 20
	// DefaultRetryRatio and DefaultRetrySlack limit the attempts beyond the first of
	// each call within DefaultRetryWindow: a share of the entry's own calls, plus a
	// number that all entries share.
	DefaultRetryRatio  = 0.15
	DefaultRetrySlack  = 40.0
	DefaultRetryWindow = 10 * time.Second
	// DefaultRetryAfter is the Retry-After value of refusals with a short-lived cause.
	DefaultRetryAfter = 300 * time.Millisecond
	// DefaultWatchInterval is the interval at which the subscriptions to companions are
	// checked.
	DefaultWatchInterval = 500 * time.Millisecond
)

// Control is the entry's client of the control hosts, a *subscriber.Client.
type Control interface {
	// Age returns the age of the known state by the reports of the control host in use: the
	// time since it was last known to hold everything accepted. It returns false if it
	// never was. The time that a report was on its way is not counted.
	Age() (time.Duration, bool)
	// ConfirmedAge returns the age of the known state: the time since the entry sent the
	// last request after whose answer it held everything accepted until then. It
	// returns false if there was none.
	ConfirmedAge() (time.Duration, bool)
	// AwaitReport sends a report at once and waits for the answer. It reports whether
	// one arrived.
	AwaitReport(ctx context.Context) bool
	// Spend admits a call of a workspace with a quota, or refuses it. left is the time left
	// until the call's deadline.
	Spend(workspace string, limit bucketer.Limit, cost float64, left time.Duration) bucketer.Decision
	// Refund returns the cost of a call that did not run.
	Refund(workspace string, cost float64)
	// Reserve asks the leader to schedule a call to a backend server that limits requests.
	Reserve(ctx context.Context, q regulator.Reserve) (regulator.Reserved, error)
}

// Settings are the options of a Relayer. The zero value of a field selects its
// documented default.
type Settings struct {
	Node string
	// FailureDomain is the failure domain of the entry.
	FailureDomain string
	// Translator, View, Placer, Pool, Companions and Random are required.
	Translator Translator
	View       func() *tracker.View
	// Trusted reports whether the view was recently known to be up to date; nil means
	// always.
	Trusted func() bool
	// Control provides the age of the known keys, and the quotas; nil means that
	// neither are used.
	Control Control
	// Entries returns the number of entries that share the retry budget, as last known, and its
	// age; 0 means unknown. Nil means that this is the only one.
	Entries func() (entries int, age time.Duration)
	// KeyLease is the maximum age of the known state at which keys are accepted; 0
	// means no limit.
	KeyLease time.Duration
	Placer   *placer.Placer
	// Pool holds the connections to backend servers.
	Pool *exchanger.Pool
	// Companions holds the connections to companions. Its handler must be the relayer.
	Companions *dialer.Pool
	// CompanionAddress returns the address of a backend server's companion.
	CompanionAddress func(tracker.Member) string

	// Submit submits a command to the replicated state; nil means that there is none.
	Submit func(ctx context.Context, c storer.Command) (storer.Result, error)

	AdmitTimeout  time.Duration
	RetryRatio    float64
	RetrySlack    float64
	RetryWindow   time.Duration
	RetryAfter    time.Duration
	WatchInterval time.Duration
	// Rationing is whether companions are asked to ration, and calls that no backend server
	// is expected to answer in time are refused at once: with ModeAuto those to services
	// whose backend servers tell how fast they are.
	Rationing rationer.Mode
	// Buffers is whether all answers that are buffered are limited, not only long ones: with ModeAuto
	// for services whose backend servers tell how fast they are.
	Buffers allotter.Mode
	// Allotter limits what calls buffer; nil means one of the entry's own with the default limits.
	Allotter *allotter.Allotter
	// Silence configures when a companion, and thus the host that it shares with its
	// engine, counts as silent. The limit must exceed twice the heartbeat interval.
	Silence watcher.Settings

	Registerer prometheus.Registerer
	Log        zerolog.Logger
	// Now returns the time with a monotonic reading; nil means time.Now.
	Now func() time.Time
	// BootNow returns the time of a clock that includes the time in which the machine was
	// suspended; nil means Now.
	BootNow func() time.Time
	Random  *rand.Rand
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
	if s.BootNow == nil {
		s.BootNow = s.Now
	}
	return s
}
