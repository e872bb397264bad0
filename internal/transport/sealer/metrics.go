package sealer

import "github.com/prometheus/client_golang/prometheus"

// The values of the outcome label of handshakes.
const (
	outcomeAccepted = "Accepted"
	outcomeRefused  = "Refused"
)

const namespace = "marigoldpoint_peers"

// metrics are the metrics of a process's connections to its peers.
type metrics struct {
	handshakes *prometheus.CounterVec
	messages   prometheus.Counter
	expiry     prometheus.Gauge
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		handshakes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "handshakes_total", Help: "Handshakes with other processes, by outcome.",
		}, []string{"outcome"}),
		messages: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "messages_refused_total", Help: "Messages whose sender may not send them.",
		}),
		expiry: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Name: "certificate_expiry_timestamp_seconds", Help: "Time at which this process's certificate expires.",
		}),
	}
	if r != nil {
		r.MustRegister(m.handshakes, m.messages, m.expiry)
	}
	return m
}
