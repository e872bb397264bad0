package subscriber

import "github.com/prometheus/client_golang/prometheus"

// metrics are the metrics of a node's replica and control connection.
type metrics struct {
	revision    prometheus.Gauge
	age         prometheus.Gauge
	trusted     prometheus.Gauge
	connections prometheus.Counter
	left        prometheus.Counter
	probes      prometheus.Counter
	permitWait  prometheus.Histogram

	reports       prometheus.Counter
	reportsFailed prometheus.Counter
	confirmedAge  prometheus.Gauge
}

const namespace = "marigoldpoint_node"

func newMetrics(r prometheus.Registerer) *metrics {
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
	}
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
	}
	m := &metrics{
		revision:    gauge("revision", "Revision of the configuration in force here."),
		age:         gauge("knowledge_age_seconds", "Time since this node was known to hold all that was accepted; -1 for never."),
		trusted:     gauge("configuration_lease", "1 while this node may trust its rules."),
		connections: counter("control_connections_total", "Subscriptions begun at control hosts."),
		left:        counter("control_hosts_left_total", "Control hosts left because they were behind or cut off."),
		probes:      counter("control_probes_total", "Control hosts asked for the age of their state."),
		permitWait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "permit_wait_seconds", Help: "Wait for a load permit that was granted.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 16),
		}),
	}
	m.reports = counter("reports_total", "Reports of quotas and keys that control answered.")
	m.reportsFailed = counter("reports_failed_total", "Reports of quotas and keys without an answer; they are told again.")
	m.confirmedAge = gauge("asked_age_seconds", "Time since this node last asked what was accepted and held it; -1 for never. Keys are trusted by it.")
	if r != nil {
		r.MustRegister(m.reports, m.reportsFailed, m.confirmedAge)
		r.MustRegister(m.revision, m.age, m.trusted, m.connections, m.left, m.probes, m.permitWait)
	}
	return m
}
