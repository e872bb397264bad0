package attendant

import (
	"github.com/prometheus/client_golang/prometheus"

	"marigoldpoint.example/marigoldpoint/internal/coordination/regulator"
)

// metrics are the metrics of an attendant.
type metrics struct {
	waited   prometheus.Histogram
	loadTime prometheus.Histogram
	refused  prometheus.Counter
	sentBack prometheus.Counter
	limit    prometheus.Gauge
	slowdown prometheus.Gauge
	// longPrompts is the share of time spent on long prefills.
	longPrompts prometheus.Gauge
	returned    *prometheus.CounterVec
	// postponed is the time for which prefills waited for a slowed machine.
	postponed prometheus.Histogram
	// originsRefused counts origins that the store rejected.
	originsRefused prometheus.Counter
	// overloaded counts requests refused while they would wait until after their deadline, by
	// what they wait for; waiting is the number of waiting requests by rank, and outOfOrder
	// counts grants by age ahead of a higher rank.
	overloaded *prometheus.CounterVec
	waiting    *prometheus.GaugeVec
	outOfOrder prometheus.Counter
	// inspected counts the answers to entries that asked whether the engine has ended.
	inspected *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		waited: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "marigoldpoint_attendant_admission_seconds", Help: "Wait of admitted requests for their adapter.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 14),
		}),
		loadTime: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "marigoldpoint_attendant_load_seconds", Help: "Time of adapter loads.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 10),
		}),
		refused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "marigoldpoint_attendant_refused_total", Help: "Requests that were not admitted.",
		}),
		sentBack: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "marigoldpoint_attendant_sent_back_total", Help: "Requests that were sent elsewhere since they would wait much longer than their entry expected.",
		}),
	}
	m.limit = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "marigoldpoint_attendant_request_limit", Help: "Limit of requests per second that the engine has named, or -1.",
	})
	m.originsRefused = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "marigoldpoint_attendant_origins_refused_total", Help: "Software versions of streams that were not recorded, since they were malformed or there was no room.",
	})
	m.addRationing()
	m.slowdown = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "marigoldpoint_attendant_slowdown", Help: "Slowdown factor that the engine's machine reported last, 1 is the usual speed, or -1.",
	})
	m.returned = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "marigoldpoint_attendant_returned_total", Help: "Requests that were returned to their entry, by reason: wait, prefill, slowed.",
	}, []string{"reason"})
	m.postponed = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "marigoldpoint_attendant_postponed_seconds", Help: "Time for which the prefill of long prompts waited while the engine's machine was slowed.",
		Buckets: prometheus.ExponentialBuckets(0.025, 2, 7),
	})
	m.longPrompts = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "marigoldpoint_attendant_long_prefill_share", Help: "Share of time that the engine spends on long prefills, where entries separate long prompts.",
	})
	m.inspected = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "marigoldpoint_attendant_inspected_total", Help: "Answers to entries that asked whether an incarnation of the engine has ended, by state.",
	}, []string{"state"})
	m.slowdown.Set(-1)
	m.setLimit(regulator.Limit{})
	if r != nil {
		r.MustRegister(m.overloaded, m.waiting, m.outOfOrder, m.inspected)
		r.MustRegister(m.waited, m.loadTime, m.refused, m.sentBack, m.limit, m.originsRefused, m.slowdown, m.returned, m.postponed, m.longPrompts)
	}
	return m
}

// setLimit records the engine's limit of requests.
func (m *metrics) setLimit(l regulator.Limit) {
	if l.Named {
		m.limit.Set(l.Rate)
	} else {
		m.limit.Set(-1)
	}
}
