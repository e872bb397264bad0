package companion

import (
	"sync"

	"github.com/prometheus/client_golang/prometheus"

	"marigoldpoint.example/marigoldpoint/internal/coordination/loader"
	"marigoldpoint.example/marigoldpoint/internal/coordination/regulator"
	"marigoldpoint.example/marigoldpoint/internal/coordination/scheduler"
	"marigoldpoint.example/marigoldpoint/internal/protocol/exchanger"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
)

const namespace = "marigoldpoint"

// metrics are the metrics of a companion.
type metrics struct {
	registerer prometheus.Registerer
	collectors []prometheus.Collector

	stall      prometheus.Histogram
	queueWait  *prometheus.HistogramVec
	permitWait prometheus.Histogram
	fill       prometheus.Histogram
	outcomes   *prometheus.CounterVec
	defects    *prometheus.CounterVec
	running    prometheus.Gauge
	waiting    prometheus.Gauge
	limit      prometheus.Gauge

	loads      prometheus.Counter
	failures   prometheus.Counter
	evictions  prometheus.Counter
	regrets    prometheus.Counter
	prefetches prometheus.Counter
	steps      prometheus.Counter
	sequences  prometheus.Counter

	mu sync.Mutex
	// counted and report are the values that the counters already contain; guarded by mu.
	counted loader.Stats
	report  orderer.LoadReport
}

func newMetrics(c *Companion, r prometheus.Registerer) *metrics {
	seconds := prometheus.ExponentialBuckets(0.001, 2, 18)
	histogram := func(name, help string, buckets []float64) prometheus.HistogramOpts {
		return prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}
	}
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
	}
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
	}
	m := &metrics{
		stall: prometheus.NewHistogram(histogram("backend_load_stall_seconds",
			"Time that requests waited for their adapter version while the batch had a place for them.", seconds)),
		queueWait: prometheus.NewHistogramVec(histogram("backend_queue_wait_seconds",
			"Time that requests waited for a place in the batch.", seconds), []string{"workspace"}),
		permitWait: prometheus.NewHistogram(histogram("load_permit_wait_seconds",
			"Time from asking for a load permit to having it.", seconds)),
		fill: prometheus.NewHistogram(histogram("batch_fill_ratio",
			"Running requests as a part of the largest batch, sampled while there is work.",
			prometheus.LinearBuckets(0.1, 0.1, 10))),
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "backend_outcomes_total", Help: "Ended attempts by outcome and reason.",
		}, []string{"outcome", "reason"}),
		defects: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "backend_defective_answers_total", Help: "Answers that are malformed, or whose end can't be told from a failure, by defect.",
		}, []string{"defect"}),
		running:    gauge("batch_running", "Requests that run at the backend server."),
		waiting:    gauge("queue_length", "Requests that wait at the companion."),
		limit:      gauge("backend_request_limit", "Limit of requests per second that the backend server has named, or -1."),
		loads:      counter("slot_loads_total", "Adapter loads ordered."),
		failures:   counter("slot_load_failures_total", "Adapter loads that failed."),
		evictions:  counter("slot_evictions_total", "Adapter evictions ordered."),
		regrets:    counter("slot_evictions_regretted_total", "Evicted adapter versions wanted again within a minute."),
		prefetches: counter("slot_prefetches_total", "Adapter loads that no request waited for."),
		steps:      counter("engine_steps_total", "Steps of the batch, by the engine's own count."),
		sequences:  counter("engine_sequence_steps_total", "Sequences summed over the steps, by the engine's own count."),
	}
	buffered := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: namespace, Name: "answer_buffer_bytes", Help: "Bytes of answers held for entries.",
	}, func() float64 { return float64(c.buffer.Used()) })
	m.collectors = []prometheus.Collector{
		m.stall, m.queueWait, m.permitWait, m.fill, m.outcomes, m.defects, m.running, m.waiting, m.limit, m.loads, m.failures, m.evictions,
		m.regrets, m.prefetches, m.steps, m.sequences, buffered,
	}
	if r != nil {
		// Several companions may run in one process.
		m.registerer = prometheus.WrapRegistererWith(prometheus.Labels{"backend": c.settings.Node}, r)
		m.registerer.MustRegister(m.collectors...)
	}
	return m
}

// close unregisters the metrics, so that a later companion of the same backend server can
// register its own.
func (m *metrics) close() {
	if m.registerer == nil {
		return
	}
	for _, c := range m.collectors {
		m.registerer.Unregister(c)
	}
}

func (m *metrics) jobStarted(d messenger.Dispatch, s scheduler.Started) {
	m.queueWait.WithLabelValues(d.Workspace).Observe(s.Queued.Seconds())
	if d.Kind != messenger.CallKindService {
		m.stall.Observe(s.Stalled.Seconds())
	}
}

func (m *metrics) jobEnded(o messenger.Outcome, r messenger.Reason) {
	m.outcomes.WithLabelValues(o.String(), r.String()).Inc()
}

// answerFailed counts the defect of an answer that caused err, if there is one.
func (m *metrics) answerFailed(err error) {
	if defect := exchanger.DefectOf(err); defect != exchanger.DefectNone {
		m.defects.WithLabelValues(defect.String()).Inc()
	}
}

// sampleBatch records one sample of the batch. An idle backend server adds none to the fill
// ratio.
func (m *metrics) sampleBatch(running, waiting, maxBatch int) {
	m.running.Set(float64(running))
	m.waiting.Set(float64(waiting))
	if running+waiting > 0 {
		m.fill.Observe(float64(running) / float64(max(1, maxBatch)))
	}
}

// addSlotStats adds the changes of the slot table's counters since the last call.
func (m *metrics) addSlotStats(s loader.Stats) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loads.Add(float64(s.Loads - m.counted.Loads))
	m.failures.Add(float64(s.Failures - m.counted.Failures))
	m.evictions.Add(float64(s.Evictions - m.counted.Evictions))
	m.regrets.Add(float64(s.Regrets - m.counted.Regrets))
	m.prefetches.Add(float64(s.Prefetches - m.counted.Prefetches))
	m.counted = s
}

// addEngineReport adds the changes of the engine's counters since the last report. Another
// incarnation counts from zero.
func (m *metrics) addEngineReport(r orderer.LoadReport) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.Incarnation != m.report.Incarnation {
		m.report = orderer.LoadReport{}
	}
	m.steps.Add(float64(max(0, r.Steps-m.report.Steps)))
	m.sequences.Add(float64(max(0, r.SequenceSteps-m.report.SequenceSteps)))
	m.report = r
}

// setLimit records the backend server's limit of requests.
func (m *metrics) setLimit(l regulator.Limit) {
	if l.Named {
		m.limit.Set(l.Rate)
	} else {
		m.limit.Set(-1)
	}
}
