package relayer

import (
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// labelService names the service that a figure is about.
const labelService = "service"

// metrics are the relayer's.
type metrics struct {
	calls       *prometheus.CounterVec
	took        prometheus.Histogram
	first       prometheus.Histogram
	failures    *prometheus.CounterVec
	attempts    *prometheus.CounterVec
	losses      *prometheus.CounterVec
	quarantined *prometheus.CounterVec
	unattended  prometheus.Counter
	quotas      *prometheus.CounterVec
	workspaces  workspaceLabels
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marigoldpoint_relayer_calls_total", Help: "Calls by outcome and status.",
		}, []string{"outcome", "status"}),
		took: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "marigoldpoint_relayer_call_seconds", Help: "Time of calls.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 13),
		}),
		first: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "marigoldpoint_relayer_first_event_seconds", Help: "Time to a stream's first event.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
		}),
		failures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marigoldpoint_relayer_failed_sends_total", Help: "Sendings that did not answer their call, by service.",
		}, []string{labelService}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marigoldpoint_relayer_sendings_total", Help: "Sendings by service and how they ended.",
		}, []string{labelService, "end"}),
		losses: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marigoldpoint_relayer_losses_total", Help: "Lives of backend servers with which sendings broke, by what became of them.",
		}, []string{labelService, "fate"}),
		quarantined: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marigoldpoint_relayer_quarantined_total", Help: "Calls refused since backend servers ended under their request, by service.",
		}, []string{labelService}),
		unattended: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "marigoldpoint_relayer_unattended_total", Help: "Calls sent without their companion's admission.",
		}),
	}
	m.quotas = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "marigoldpoint_relayer_quota_units_total", Help: "Units of calls with a quota, by workspace and what became of them.",
	}, []string{"workspace", "decision"})
	if r != nil {
		r.MustRegister(m.quotas)
		r.MustRegister(m.calls, m.took, m.first, m.failures, m.attempts, m.losses, m.quarantined, m.unattended)
	}
	return m
}

func (m *metrics) answered(outcome string, status int, took time.Duration) {
	m.calls.WithLabelValues(outcome, strconv.Itoa(status)).Inc()
	m.took.Observe(took.Seconds())
}

// What became of a call with a quota.
const (
	quotaAdmitted = "admitted"
	quotaRefused  = "refused"
	quotaReturned = "returned"
)

// quota counts a decision on a workspace's quota.
func (m *metrics) quota(workspace, decision string, units float64) {
	m.quotas.WithLabelValues(m.workspaces.label(workspace), decision).Add(units)
}

// labelledWorkspaces bounds the workspaces with figures of their own.
const labelledWorkspaces = 64

// otherWorkspaces labels all beyond.
const otherWorkspaces = "(others)"

// workspaceLabels gives the first workspaces seen a label of their own.
type workspaceLabels struct {
	mu sync.Mutex
	// known holds them; guarded by mu.
	known map[string]struct{}
}

func (w *workspaceLabels) label(workspace string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, is := w.known[workspace]; is {
		return workspace
	}
	if len(w.known) >= labelledWorkspaces {
		return otherWorkspaces
	}
	if w.known == nil {
		w.known = make(map[string]struct{})
	}
	w.known[workspace] = struct{}{}
	return workspace
}
