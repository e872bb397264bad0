package controller

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the metrics of a control host.
type metrics struct {
	elections prometheus.Counter
	refused   prometheus.Counter
	proposals *prometheus.CounterVec
	sync      prometheus.Histogram
	sessions  *prometheus.GaugeVec
	revision  prometheus.Gauge
	age       prometheus.Gauge
	members   prometheus.Gauge
	expired   prometheus.Counter
	deltas    prometheus.Counter
	permits   prometheus.Counter
	waiting   prometheus.Gauge
	held      prometheus.Gauge
	leading   prometheus.Gauge
	buckets   prometheus.Gauge
	// expectedRetries is the number of refused units that are expected to be retried.
	expectedRetries *prometheus.GaugeVec
	// limitedServers is the number of backend servers in the leader's schedule.
	limitedServers prometheus.Gauge
	// diskFailures counts the failures of the disk that suspended the replicated log, and
	// snapshotFailures the snapshots that could not be written; suspended is 1 while the log is.
	diskFailures, snapshotFailures prometheus.Counter
	suspended                      prometheus.Gauge
	// reviewedParts counts the leader's decisions on parts of prompts.
	reviewedParts *prometheus.CounterVec
}

const namespace = "marigoldpoint_control"

func newMetrics(r prometheus.Registerer) *metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
	}
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
	}
	m := &metrics{
		elections: counter("elections_total", "Elections won by this host."),
		refused:   counter("messages_refused_total", "Messages of another group or disk."),
		proposals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "proposals_total", Help: "Changes proposed here, by outcome.",
		}, []string{"outcome"}),
		sync: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "sync_seconds", Help: "Time of a sync of the journal.",
			Buckets: prometheus.ExponentialBuckets(0.0001, 2, 15),
		}),
		sessions: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "sessions", Help: "Nodes subscribed here, by scope.",
		}, []string{"scope"}),
		revision:       gauge("revision", "Newest revision held here."),
		age:            gauge("knowledge_age_seconds", "Time since this host was known to hold all that was accepted; -1 for never."),
		members:        gauge("members", "Memberships of backend servers, at the leader."),
		expired:        counter("members_expired_total", "Memberships ended because their lease ran out."),
		deltas:         counter("deltas_total", "Deltas sent to nodes."),
		permits:        counter("permits_total", "Load permits granted."),
		waiting:        gauge("permits_waiting", "Requests for a load permit that wait, at the leader."),
		held:           gauge("permits_held", "Load permits in use, at the leader."),
		limitedServers: gauge("limited_servers", "Backend servers whose requests the leader schedules."),
		leading:        gauge("leading", "1 while this host has a leader's duties."),
		buckets:        gauge("quota_buckets", "Workspaces whose quota is in use, at the leader."),

		diskFailures:     counter("disk_failures_total", "Failures of the disk that suspended the replicated log."),
		snapshotFailures: counter("snapshot_failures_total", "Snapshots that could not be written."),
		suspended:        gauge("suspended", "1 while the replicated log is suspended after a failure of the disk."),
	}
	m.expectedRetries = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Namespace: namespace, Name: "quota_expected_retries_units",
		Help: "Units of calls over quota that are expected to be retried, by workspace, at the leader.",
	}, []string{"workspace"})
	m.reviewedParts = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "reviewed_parts_total", Help: "Decisions of this leader on parts of prompts, by action.",
	}, []string{"action"})
	if r != nil {
		r.MustRegister(m.reviewedParts, m.expectedRetries, m.diskFailures, m.snapshotFailures, m.suspended)
		r.MustRegister(m.elections, m.refused, m.proposals, m.sync, m.sessions, m.revision, m.age, m.members,
			m.expired, m.deltas, m.permits, m.waiting, m.held, m.leading, m.buckets, m.limitedServers)
	}
	return m
}
