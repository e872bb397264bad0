package gatekeeper

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Names of the metrics.
const (
	namespace = "marigoldpoint"
	subsystem = "entry"

	labelWorkspace = "workspace"
	labelOutcome   = "outcome"
	labelCode      = "code"
	labelVerdict   = "verdict"
	labelState     = "state"
)

// metrics are the Prometheus metrics of an entry. docs/OPERATING.md describes how to
// respond to each.
type metrics struct {
	registerer  prometheus.Registerer
	requests    *prometheus.CounterVec
	refusals    *prometheus.CounterVec
	stalls      *prometheus.HistogramVec
	queueWaits  *prometheus.HistogramVec
	firstBytes  *prometheus.HistogramVec
	choices     prometheus.Histogram
	retries     *prometheus.CounterVec
	resumes     prometheus.Counter
	claims      *prometheus.CounterVec
	settles     *prometheus.CounterVec
	wrongModels prometheus.Counter
	coldChoices prometheus.Counter
}

var waitBuckets = prometheus.ExponentialBuckets(0.005, 2, 14)

func newMetrics(r prometheus.Registerer) *metrics {
	if r == nil {
		r = prometheus.NewRegistry()
	}
	m := &metrics{registerer: r}
	m.requests = counters(r, "requests_total", "Requests ended, by workspace and outcome.", labelWorkspace, labelOutcome)
	m.refusals = counters(r, "refusals_total", "Requests answered with an error, by its code.", labelCode)
	m.stalls = histograms(r, "load_stall_seconds", "Time that requests waited for their version to be loaded.")
	m.queueWaits = histograms(r, "queue_wait_seconds", "Time that requests waited for a place in a batch.")
	m.firstBytes = histograms(r, "first_byte_seconds", "Time from a request's arrival to its answer's first byte.")
	m.retries = counters(r, "retry_decisions_total", "Decisions on failed attempts, by verdict.", labelVerdict)
	m.claims = counters(r, "claims_total", "Claims of calls that may run once, by how they were answered.", labelVerdict)
	m.settles = counters(r, "claims_settled_total", "Claims settled, by state; Lost ones could not be.", labelState)
	m.resumes = counter(r, "resumes_total", "Answers asked for again on a new connection.")
	m.wrongModels = counter(r, "wrong_model_total", "Answers withheld because the engine named another version.")
	m.coldChoices = counter(r, "cold_choices_total", "Choices that are expected to load a version.")
	m.choices = prometheus.NewHistogram(options("choice_seconds", "Time of one choice of a backend server.", prometheus.ExponentialBuckets(5e-7, 2, 12)))
	r.MustRegister(m.choices)
	return m
}

// observe registers the gauges that are read from the entry.
func (m *metrics) observe(e *Entry) {
	gauge := func(name, help string, f func() float64) {
		m.registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Subsystem: subsystem, Name: name, Help: help,
		}, f))
	}
	gauge("in_flight", "Requests admitted and not ended.", func() float64 {
		n, _ := e.limiter.InFlight()
		return float64(n)
	})
	gauge("in_flight_limit", "Adaptive limit of the requests admitted.", func() float64 {
		_, n := e.limiter.InFlight()
		return float64(n)
	})
	gauge("ready", "1 while the entry is ready, else 0.", func() float64 {
		if e.Ready() {
			return 1
		}
		return 0
	})
}

func options(name, help string, buckets []float64) prometheus.HistogramOpts {
	return prometheus.HistogramOpts{Namespace: namespace, Subsystem: subsystem, Name: name, Help: help, Buckets: buckets}
}

func histograms(r prometheus.Registerer, name, help string) *prometheus.HistogramVec {
	h := prometheus.NewHistogramVec(options(name, help, waitBuckets), []string{labelWorkspace})
	r.MustRegister(h)
	return h
}

func counters(r prometheus.Registerer, name, help string, labels ...string) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Subsystem: subsystem, Name: name, Help: help}, labels)
	r.MustRegister(c)
	return c
}

func counter(r prometheus.Registerer, name, help string) prometheus.Counter {
	c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Subsystem: subsystem, Name: name, Help: help})
	r.MustRegister(c)
	return c
}

func millis(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }
