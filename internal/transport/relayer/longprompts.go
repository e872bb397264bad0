package relayer

import (
	"encoding/json"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/separator"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

// separationMetrics are the metrics of the separation of long prompts.
type separationMetrics struct {
	designated *prometheus.GaugeVec
	calls      *prometheus.CounterVec
}

// Groups of calls, and where they went, as metrics and log lines name them.
const (
	groupLong  = "long"
	groupShort = "short"

	placedOwn    = "own"
	placedOther  = "other"
	placedWaived = "waived"
)

func newSeparationMetrics(r prometheus.Registerer) separationMetrics {
	m := separationMetrics{
		designated: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "marigoldpoint_relayer_long_prompt_engines", Help: "Engines designated for long prompts, by service.",
		}, []string{labelService}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "marigoldpoint_relayer_separated_choices_total", Help: "Choices of an engine for separated calls, by group of the call and whether it went to its own group, or to the other one to meet its target.",
		}, []string{labelService, "group", "placed"}),
	}
	if r != nil {
		r.MustRegister(m.designated, m.calls)
	}
	return m
}

// applyLongPromptState applies a companion's report on long prefills.
func (r *Relayer) applyLongPromptState(conn *messenger.Conn, params json.RawMessage) error {
	var s placer.LongPromptState
	if err := messenger.Decode(params, &s); err != nil {
		return err
	}
	s.Name = r.engineOf(conn, s.Name)
	if m, ok := r.settings.View().Member(s.Name); ok {
		r.settings.Placer.ReportLongPrompts(r.settings.Now(), m.Spec.Service, s)
	}
	return nil
}

// separationLogInterval is the shortest time between two log lines on the designated engines of a
// service.
const separationLogInterval = time.Second

// loggedSeparation is the last logged state of the designated engines of a service.
type loggedSeparation struct {
	state separator.State
	at    time.Time
}

// recordSeparation updates the metrics, and logs changes, of the engines designated for long prompts.
// Logged is by service and belongs to the caller.
func (r *Relayer) recordSeparation(routing *tracker.Routing, logged map[string]loggedSeparation) {
	now := r.settings.Now()
	for i := range routing.Services {
		name := routing.Services[i].Name
		s, separates := r.settings.Placer.SeparationState(now, name)
		before, known := logged[name]
		if !separates && !known {
			continue
		}
		r.metrics.separation.designated.WithLabelValues(name).Set(float64(s.Designated))
		if s.Designated == before.state.Designated || now.Sub(before.at) < separationLogInterval {
			continue
		}
		logged[name] = loggedSeparation{state: s, at: now}
		e := r.settings.Log.Info().Str("Service", name).Int("Designated", s.Designated).Int("Before", before.state.Designated).
			Int("Target", s.Target).Int("Serving", s.Serving).Int("Reports", s.Reports).Float64("Sum", s.Sum)
		if s.Reports > 0 {
			e.Dur("ReportAge", now.Sub(s.Oldest))
		}
		e.Msg("engines designated for long prompts")
	}
}

// groupNames returns the names of a separated call's group and of where it went.
func groupNames(g *placer.GroupChoice) (group, placed string) {
	group, placed = groupShort, placedOther
	if g.Long {
		group = groupLong
	}
	switch {
	case g.Own:
		placed = placedOwn
	case g.Waived:
		placed = placedWaived
	}
	return group, placed
}

// recordGroup counts the choice of an engine for a separated call.
func (j *job) recordGroup() {
	if g := &j.choice.Group; g.Separated {
		group, placed := groupNames(g)
		j.relayer.metrics.separation.calls.WithLabelValues(j.service.Name, group, placed).Inc()
	}
}

// addGroup adds the group of a separated call to a log line.
func (j *job) addGroup(e *zerolog.Event) {
	if g := &j.choice.Group; g.Separated {
		group, placed := groupNames(g)
		e.Str("Group", group).Str("Placed", placed).Int("LongEngines", g.Designated)
	}
}

// mixed reports whether the call is not separated: it has been refused for lack of capacity, which the
// other group may have, or its stream has begun and waits to go on.
func (j *job) mixed() bool {
	return j.overloadRefusals > 0 || j.limitRefusals > 0 || j.answer.begun()
}
