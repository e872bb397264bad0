package operator

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics holds the metrics of the API.
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

// count records one response. Methods are chosen by clients, so unsupported ones share a
// label, which keeps the number of series bounded.
func (m *metrics) count(method string, status int) {
	switch method {
	case "GET", "HEAD", "PUT", "DELETE":
	default:
		method = "other"
	}
	m.answers.WithLabelValues(method, strconv.Itoa(status)).Inc()
}
