package relayer

import "github.com/prometheus/client_golang/prometheus"

//go:generate stringer -type=retryDecision -trimprefix=retry

// retryDecision is what became of a further attempt of a call. The names of the values are
// written to metrics.
type retryDecision int

const (
	// retrySent means that the attempt was sent.
	retrySent retryDecision = iota
	// retryNoAttempt means that the route allows no further attempt.
	retryNoAttempt
	// retryNoBudget means that the retry budget allows no further attempt.
	retryNoBudget
)

// retryMetrics tell how the retry budget is used.
type retryMetrics struct {
	decisions *prometheus.CounterVec
	// entries is the number of entries by which the slack is divided, and slack the part of
	// this entry.
	entries, slack prometheus.Gauge
}

func newRetryMetrics(r prometheus.Registerer) retryMetrics {
	m := retryMetrics{
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marigoldpoint_relayer_retries_total", Help: "Decisions on further attempts of calls, by service.",
		}, []string{labelService, "decision"}),
		entries: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "marigoldpoint_relayer_retry_entries", Help: "Entries by which the slack of the retry budget is divided; 0 means unknown.",
		}),
		slack: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "marigoldpoint_relayer_retry_slack", Help: "Retries that this entry may send in a window beyond the share of its requests.",
		}),
	}
	if r != nil {
		r.MustRegister(m.decisions, m.entries, m.slack)
	}
	return m
}

// recordRetry logs and counts a decision on a further attempt of the call.
func (j *job) recordRetry(d retryDecision) {
	r := j.relayer
	r.metrics.retries.decisions.WithLabelValues(j.service.Name, d.String()).Inc()
	u := r.budget.report(r.settings.BootNow(), j.service.Name)
	r.settings.Log.Info().Str("Request", j.call.ID).Str("Service", j.service.Name).Str("Backend", j.choice.Name).
		Stringer("Decision", d).Int("Reached", j.reached).Int("Sent", j.sent).Int("MaxAttempts", j.route.MaxAttempts).
		Str("ResumeFrom", j.resumeFrom).Dur("TimeLeft", j.deadline.Sub(r.settings.Now())).Int("Entries", u.entries).Float64("Slack", u.slack).
		Float64("Requests", u.requests).Float64("Retries", u.retries).Float64("Reserved", u.reserved).Float64("InFlight", u.inFlight).Msg("retry")
}

// recordBudget updates the metrics of the retry budget.
func (r *Relayer) recordBudget() {
	entries, slack := r.budget.share(r.settings.BootNow())
	r.metrics.retries.entries.Set(float64(entries))
	r.metrics.retries.slack.Set(slack)
}
