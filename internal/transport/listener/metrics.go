package listener

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"marigoldpoint.example/marigoldpoint/internal/coordination/allotter"
	"marigoldpoint.example/marigoldpoint/internal/state/pauser"
)

// Register registers the metrics of what accepted connections hold.
func Register(r prometheus.Registerer, a *allotter.Allotter) {
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "marigoldpoint_accepted_connections", Help: "Accepted connections that are open and not evicted.",
	}, func() float64 { return float64(a.Connections()) }), prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "marigoldpoint_evicted_connections_total", Help: "Accepted connections whose room others needed while they waited for their peer, and connections that were reset since there was none.",
	}, func() float64 { return float64(a.Evictions()) }))
}

// evictionLogInterval is the least time between two log lines of evictions.
const evictionLogInterval = time.Second

// LogEvictions logs how many connections were evicted or reset, at most once a second, until ctx ends.
func LogEvictions(ctx context.Context, a *allotter.Allotter, log zerolog.Logger) {
	logged := a.Evictions()
	for pauser.Pause(ctx, evictionLogInterval) {
		evictions := a.Evictions()
		if evictions == logged {
			continue
		}
		log.Warn().Int64("Evicted", evictions-logged).Int("Open", a.Connections()).
			Int64("RequestBytes", a.Held(allotter.KindRequest)).Int64("AnswerBytes", a.Held(allotter.KindAnswer)).
			Int64("ConnectionBytes", a.Held(allotter.KindConnection)).Msg("connections evicted: clients hold more than the process may")
		logged = evictions
	}
}
