package relayer

import (
	"encoding/json"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// promptMetrics are the metrics of cached prompt parts.
type promptMetrics struct {
	saved   prometheus.Counter
	fetches *prometheus.CounterVec
	choices *prometheus.CounterVec
}

// Options of a choice, and what became of planned fetches, as metrics name them.
const (
	optionCached    = "Cached"
	optionFetched   = "Fetched"
	optionPrefilled = "Prefilled"

	fetchRequested = "Requested"
	fetchDropped   = "Dropped"
)

func newPromptMetrics(r prometheus.Registerer) promptMetrics {
	m := promptMetrics{
		saved: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "marigoldpoint_relayer_prompt_tokens_saved_total", Help: "Prompt tokens that attempts were expected not to prefill again.",
		}),
		fetches: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marigoldpoint_relayer_prompt_fetches_total", Help: "Planned fetches of cached prompt parts from another engine, by what became of them.",
		}, []string{"end"}),
		choices: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marigoldpoint_relayer_prompt_choices_total", Help: "Choices of an engine for prompts with shared parts, by mode and option.",
		}, []string{"mode", "option"}),
	}
	if r != nil {
		r.MustRegister(m.saved, m.fetches, m.choices)
	}
	return m
}

// applyCacheState applies a companion's report on the cache of its engine.
func (r *Relayer) applyCacheState(conn *messenger.Conn, params json.RawMessage) error {
	var s placer.CacheState
	if err := messenger.Decode(params, &s); err != nil {
		return err
	}
	s.Name = r.engineOf(conn, s.Name)
	if m, ok := r.settings.View().Member(s.Name); ok && !r.settings.Placer.ReportCache(r.settings.Now(), m.Spec.Service, s) {
		r.requestState(conn)
	}
	return nil
}

// recordPromptChoice counts the choice of an engine for a prompt with shared parts.
func (j *job) recordPromptChoice() {
	if j.service.Engine == nil || len(j.call.suspectParts()) == 0 {
		return
	}
	p := &j.choice.Prompt
	option := optionPrefilled
	switch {
	case p.FetchFrom != "":
		option = optionFetched
	case p.SavedTokens > 0:
		option = optionCached
	}
	j.relayer.metrics.prompts.choices.WithLabelValues(p.Mode.String(), option).Inc()
	j.relayer.metrics.prompts.saved.Add(float64(p.SavedTokens))
}

// fetchFrom returns the address from which the chosen engine fetches cached parts of the
// prompt; empty means none. A request that resumes from a copy of its memory fetches nothing.
func (j *job) fetchFrom() string {
	if j.choice.Prompt.FetchFrom == "" || j.resumeFrom != "" {
		return ""
	}
	r := j.relayer
	address := r.settings.Placer.FetchFrom(r.settings.Now(), &j.choice)
	end := fetchRequested
	if address == "" {
		end = fetchDropped
		j.choice.Prompt.FetchFrom = ""
	}
	r.metrics.prompts.fetches.WithLabelValues(end).Inc()
	return address
}

// addPrompt adds what the last choice expected of cached parts to a log line.
func (j *job) addPrompt(e *zerolog.Event) {
	if p := &j.choice.Prompt; j.choice.Name != "" && j.service != nil && j.service.Engine != nil {
		e.Stringer("PromptCache", p.Mode).Int("Cached", p.Cached).Float64("CachedProbability", p.Probability).
			Str("FetchFrom", p.FetchFrom).Dur("CacheAge", p.Age)
	}
}
