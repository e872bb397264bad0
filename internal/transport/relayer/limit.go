package relayer

import "marigoldpoint.example/marigoldpoint/internal/coordination/regulator"

// recordLimit applies what the answer to the current attempt says about the backend
// server's limit, and logs a change.
func (j *job) recordLimit(n regulator.Notice) {
	r := j.relayer
	c, changed := r.settings.Placer.RecordLimit(j.attemptAt, r.settings.Now(), &j.choice, n)
	if !changed {
		return
	}
	e := r.settings.Log.Info().Str("Request", j.call.ID).Str("Backend", j.choice.Name).Str("Incarnation", j.choice.Incarnation).
		Bool("Limited", c.After.Named).Float64("Rate", c.After.Rate)
	if c.Before.Named {
		e.Float64("RateBefore", c.Before.Rate).Int("CallsBefore", c.Calls)
	}
	e.Msg("request limit changed")
}
