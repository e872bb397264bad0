package listener

import (
	"github.com/prometheus/client_golang/prometheus"

	"marigoldpoint.example/marigoldpoint/internal/coordination/allotter"
)

// Register registers the metrics of what accepted connections hold.
func Register(r prometheus.Registerer, a *allotter.Allotter) {
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "marigoldpoint_accepted_connections", Help: "Accepted connections that are open and not evicted.",
	}, func() float64 { return float64(a.Connections()) }), prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "marigoldpoint_evicted_connections_total", Help: "Accepted connections whose room others needed while they waited for their peer, and connections that were reset since there was none.",
	}, func() float64 { return float64(a.Evictions()) }))
}
