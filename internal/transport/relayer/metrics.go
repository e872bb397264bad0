package relayer

import (
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// labelService is the label for the service of a metric.
const labelService = "service"

// metrics are the Prometheus metrics of a relayer.
type metrics struct {
	calls          *prometheus.CounterVec
	duration       prometheus.Histogram
	firstEvent     prometheus.Histogram
	longestGap     prometheus.Histogram
	failures       *prometheus.CounterVec
	attempts       *prometheus.CounterVec
	losses         *prometheus.CounterVec
	runEnds        *prometheus.CounterVec
	unusableCopies *prometheus.CounterVec
	// unidentified counts the answers of backend servers without the id of a request.
	unidentified *prometheus.CounterVec
	// defects counts the malformed and incomplete answers of backend servers, by defect.
	defects     *prometheus.CounterVec
	quarantined *prometheus.CounterVec
	// blocked counts the calls refused since a part of their prompt is blocked.
	blocked    *prometheus.CounterVec
	unattended prometheus.Counter
	framings   *prometheus.CounterVec
	// resumed counts the streams that callers resume, by the source of their origin, and
	// originsRefused the origins that the entry's store rejected.
	resumed        *prometheus.CounterVec
	originsRefused prometheus.Counter
	// limited counts attempts under a limit, and limitRefused calls refused because of one.
	limited, limitRefused *prometheus.CounterVec
	rests                 *prometheus.CounterVec
	quotas                *prometheus.CounterVec
	workspaces            workspaceLabels
	// overloaded counts the calls refused at once while capacity is short.
	overloaded *prometheus.CounterVec
	prompts    promptMetrics
	separation separationMetrics
	retries    retryMetrics
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		prompts: newPromptMetrics(r), separation: newSeparationMetrics(r), retries: newRetryMetrics(r), overloaded: newOverloaded(), runEnds: newRunEnds(), unusableCopies: newUnusableCopies(), unidentified: newUnidentified(), defects: newDefects(),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marigoldpoint_relayer_calls_total", Help: "Calls by outcome and status.",
		}, []string{"outcome", "status"}),
		duration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "marigoldpoint_relayer_call_seconds", Help: "Time of calls.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 13),
		}),
		firstEvent: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "marigoldpoint_relayer_first_event_seconds", Help: "Time to a stream's first event.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
		}),
		longestGap: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "marigoldpoint_relayer_event_gap_seconds", Help: "Longest time between two events of a stream that was answered.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
		}),
		failures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marigoldpoint_relayer_failed_sends_total", Help: "Sendings that did not answer their call, by service.",
		}, []string{labelService}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marigoldpoint_relayer_sendings_total", Help: "Sendings by service and how they ended.",
		}, []string{labelService, "end"}),
		losses: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marigoldpoint_relayer_losses_total", Help: "Lives of backend servers with which sendings broke, by what became of them.",
		}, []string{labelService, "fate"}),
		quarantined: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marigoldpoint_relayer_quarantined_total", Help: "Calls refused since backend servers ended under their request, by service.",
		}, []string{labelService}),
		blocked: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marigoldpoint_relayer_blocked_parts_total", Help: "Calls refused since backend servers ended under a part of their prompt, by service.",
		}, []string{labelService}),
		unattended: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "marigoldpoint_relayer_unattended_total", Help: "Calls sent without their companion's admission.",
		}),
	}
	m.rests = prometheus.NewCounterVec(prometheus.CounterOpts{Name: "marigoldpoint_relayer_rests_total", Help: "Answers of backend servers that asked this entry for rest, by service."}, []string{labelService})
	m.limited = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "marigoldpoint_relayer_limited_attempts_total", Help: "Attempts at backend servers that had named a limit of requests to this entry, by service.",
	}, []string{labelService})
	m.framings = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "marigoldpoint_relayer_answers_total", Help: "Answers of backend servers by service, framing, and whether they ended inside an event.",
	}, []string{labelService, "framing", "unfinished"})
	m.resumed = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "marigoldpoint_relayer_resumed_streams_total", Help: "Streams that callers take up, by where the software version was found that began them.",
	}, []string{"source"})
	m.originsRefused = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "marigoldpoint_relayer_origins_refused_total", Help: "Software versions of streams that were not recorded, since there was no room.",
	})
	m.limitRefused = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "marigoldpoint_relayer_limit_refused_total", Help: "Calls refused since all backend servers limit requests, by service.",
	}, []string{labelService})
	m.quotas = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "marigoldpoint_relayer_quota_units_total", Help: "Units of calls with a quota, by workspace and what became of them.",
	}, []string{"workspace", "decision"})
	if r != nil {
		r.MustRegister(m.overloaded, m.runEnds, m.unusableCopies, m.unidentified, m.defects, m.framings, m.resumed, m.originsRefused, m.quotas, m.rests, m.limited, m.limitRefused)
		r.MustRegister(m.calls, m.duration, m.firstEvent, m.longestGap, m.failures, m.attempts, m.losses, m.quarantined, m.blocked, m.unattended)
	}
	return m
}

func newRunEnds() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "marigoldpoint_relayer_interrupted_runs_total", Help: "Runs with a copy of their KV cache whose connection ended, by service and the evidence that they had ended.",
	}, []string{labelService, "end"})
}

func newUnusableCopies() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "marigoldpoint_relayer_unusable_copies_total", Help: "Copies of KV caches that could not be used since their engine had restarted or had other weights, or the adapter a newer version, by service.",
	}, []string{labelService})
}

func newUnidentified() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "marigoldpoint_relayer_unidentified_answers_total", Help: "Answers of backend servers that do not name the request they answer and are ignored, by service.",
	}, []string{labelService})
}

func newDefects() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "marigoldpoint_relayer_defective_answers_total", Help: "Answers of backend servers that are malformed, or whose end can't be told from a failure, by service and defect.",
	}, []string{labelService, "defect"})
}

func (m *metrics) observeCall(outcome string, status int, duration time.Duration) {
	m.calls.WithLabelValues(outcome, strconv.Itoa(status)).Inc()
	m.duration.Observe(duration.Seconds())
}

// Decisions on the quota of a call.
const (
	quotaAdmitted = "admitted"
	quotaRefused  = "refused"
	quotaReturned = "returned"
)

// quota counts a decision on a workspace's quota.
func (m *metrics) quota(workspace, decision string, units float64) {
	m.quotas.WithLabelValues(m.workspaces.label(workspace), decision).Add(units)
}

// labelledWorkspaces limits the number of workspaces with a label of their own.
const labelledWorkspaces = 64

// otherWorkspaces is the common label of all further workspaces.
const otherWorkspaces = "(others)"

// workspaceLabels assigns a label of its own to each of the first labelledWorkspaces
// workspaces.
type workspaceLabels struct {
	mu sync.Mutex
	// known holds the workspaces with a label of their own; guarded by mu.
	known map[string]struct{}
}

func (w *workspaceLabels) label(workspace string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, is := w.known[workspace]; is {
		return workspace
	}
	if len(w.known) >= labelledWorkspaces {
		return otherWorkspaces
	}
	if w.known == nil {
		w.known = make(map[string]struct{})
	}
	w.known[workspace] = struct{}{}
	return workspace
}
