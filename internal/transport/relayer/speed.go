package relayer

import (
	"encoding/json"

	"marigoldpoint.example/marigoldpoint/internal/coordination/estimator"
	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// maxReturns is the number of times that companions may return a call. The second return is allowed
// only because of a slowed machine: the first may have placed the call by a factor that has changed
// since, as it does several times a second.
const maxReturns = 2

// recordSlowdown records the slowdown factor in the answer of the chosen backend server. An answer
// of another incarnation says nothing about the one chosen.
func (j *job) recordSlowdown(head Head) {
	if head.Slowdown > 0 && !head.OtherIncarnation {
		j.relayer.settings.Placer.RecordSlowdown(j.relayer.settings.Now(), &j.choice, head.Slowdown)
	}
}

// recordReturn records that the companion of the chosen engine has returned the call.
func (j *job) recordReturn(refusal *messenger.Refusal) {
	j.returns++
	if refusal.SlowdownPercent > 0 {
		j.relayer.settings.Placer.RecordSlowdown(j.relayer.settings.Now(), &j.choice, estimator.FromPercent(refusal.SlowdownPercent))
	}
}

// expectPrefill adds to a request for admission the time that the prefill of the prompt is expected
// to take.
func (j *job) expectPrefill(m *messenger.Admit) {
	m.ExpectedReadMillis = max(1, j.choice.Read.Milliseconds())
	m.PrefillRate, m.FetchTokens = j.choice.PrefillRate, j.choice.Prompt.FetchTokens
	m.MovableWhenSlowed = j.returns < maxReturns && j.resumeFrom == ""
}

// applySpeedState applies a companion's report on the speed of its engine's machine.
func (r *Relayer) applySpeedState(conn *messenger.Conn, params json.RawMessage) error {
	var s placer.SpeedState
	if err := messenger.Decode(params, &s); err != nil {
		return err
	}
	s.Name = r.engineOf(conn, s.Name)
	if m, ok := r.settings.View().Member(s.Name); ok {
		r.settings.Placer.ReportSpeed(r.settings.Now(), m.Spec.Service, s)
	}
	return nil
}
