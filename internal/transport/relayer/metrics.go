package relayer

import (
	"strconv"
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
	sendings    *prometheus.CounterVec
	losses      *prometheus.CounterVec
	quarantined *prometheus.CounterVec
	unattended  prometheus.Counter
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
		sendings: prometheus.NewCounterVec(prometheus.CounterOpts{
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
	if r != nil {
		r.MustRegister(m.calls, m.took, m.first, m.failures, m.sendings, m.losses, m.quarantined, m.unattended)
	}
	return m
}

func (m *metrics) answered(outcome string, status int, took time.Duration) {
	m.calls.WithLabelValues(outcome, strconv.Itoa(status)).Inc()
	m.took.Observe(took.Seconds())
}
