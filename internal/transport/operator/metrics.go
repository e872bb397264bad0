package operator

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics are what the API counts.
type metrics struct {
	answers  *prometheus.CounterVec
	watchers prometheus.Gauge
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		answers: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "marigoldpoint",
			Subsystem: "operator",
			Name:      "answers_total",
			Help:      "Answers to operators by method and HTTP status.",
		}, []string{"method", "status"}),
		watchers: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "marigoldpoint",
			Subsystem: "operator",
			Name:      "watchers",
			Help:      "Watches of operators in progress.",
		}),
	}
	if r != nil {
		r.MustRegister(m.answers, m.watchers)
	}
	return m
}

// count counts one answer. Methods come from outside; those the API does not
// know are counted as one, so that a client can't grow the metrics.
func (m *metrics) count(method string, status int) {
	switch method {
	case "GET", "HEAD", "PUT", "DELETE":
	default:
		method = "other"
	}
	m.answers.WithLabelValues(method, strconv.Itoa(status)).Inc()
}
