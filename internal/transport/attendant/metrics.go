package attendant

import "github.com/prometheus/client_golang/prometheus"

// metrics are the metrics of an attendant.
type metrics struct {
	waited   prometheus.Histogram
	loadTime prometheus.Histogram
	refused  prometheus.Counter
	sentBack prometheus.Counter
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
	if r != nil {
		r.MustRegister(m.waited, m.loadTime, m.refused, m.sentBack)
	}
	return m
}
