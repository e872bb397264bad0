package relayer

import (
	"context"
	"net/http"

	"marigoldpoint.example/marigoldpoint/internal/coordination/bucketer"
)

// charge deducts the cost of the call from its workspace's quota, or refuses the call.
func (j *job) charge() error {
	r := j.relayer
	if j.workspace == nil || r.settings.Control == nil || j.workspace.Quota.Rate <= 0 {
		return nil
	}
	cost := j.workspace.Quota.Cost(j.call.tokens())
	ctx, cancel := context.WithTimeout(j.ctx, controlReplyTimeout)
	defer cancel()
	limit := bucketer.Limit{Rate: j.workspace.Quota.Rate, Burst: j.workspace.Quota.Burst, Number: j.number}
	for {
		left := j.deadline.Sub(r.settings.Now())
		d := r.settings.Control.Spend(j.workspace.Name, limit, cost, left)
		switch {
		case d.Admitted:
			j.quotaCost = cost
			r.metrics.quota(j.workspace.Name, quotaAdmitted, cost)
			return nil
		case !d.Unknown:
			r.metrics.quota(j.workspace.Name, quotaRefused, cost)
			r.settings.Log.Info().Str("Request", j.call.ID).Str("Workspace", j.workspace.Name).Float64("Cost", cost).
				Float64("Rate", j.workspace.Quota.Rate).Float64("Burst", j.workspace.Quota.Burst).Float64("Level", d.Level).
				Dur("LevelAge", d.Age).Float64("Ahead", d.Ahead).Dur("TimeLeft", left).Dur("RetryAfter", d.RetryAfter).Msg("over quota")
			return j.refuse(http.StatusTooManyRequests, "over quota", d.RetryAfter)
		case !r.settings.Control.AwaitReport(ctx):
			return j.refuse(http.StatusServiceUnavailable, "what is left of the quota is not known", r.settings.RetryAfter)
		}
	}
}

// refundQuota refunds the cost of a call that did not run.
func (j *job) refundQuota() {
	if j.quotaCost > 0 && !j.ran {
		j.relayer.settings.Control.Refund(j.workspace.Name, j.quotaCost)
		j.relayer.metrics.quota(j.workspace.Name, quotaReturned, j.quotaCost)
	}
}
