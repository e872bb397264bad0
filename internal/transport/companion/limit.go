package companion

import (
	"context"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/regulator"
	"marigoldpoint.example/marigoldpoint/internal/state/pauser"
)

// limitRecorder returns a function that applies what the answer to the job's current run
// says about the backend server's limit of requests. All requests to the backend server pass
// through its companion, so that its count is complete.
func (c *Companion) limitRecorder(j *job) func(regulator.Notice) {
	return func(n regulator.Notice) {
		c.mu.Lock()
		defer c.mu.Unlock()
		if j.incarnation != c.engine.Incarnation || !c.regulator.Record(j.startedAt, c.settings.Now(), n) {
			return
		}
		limit := c.regulator.Limit()
		c.settings.Log.Info().Str("Backend", c.settings.Node).Bool("Limited", limit.Named).Float64("Rate", limit.Rate).Msg("request limit changed")
		c.metrics.setLimit(limit)
		c.startReady()
	}
}

// scheduleTurn starts waiting jobs after wait. The caller holds mu.
func (c *Companion) scheduleTurn(wait time.Duration) {
	if c.turnScheduled || c.queue.Len() == 0 {
		return
	}
	c.turnScheduled = true
	c.spawnLocked(func(ctx context.Context) {
		ended := !pauser.Pause(ctx, wait)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.turnScheduled = false
		if !ended {
			c.startReady()
		}
	})
}
