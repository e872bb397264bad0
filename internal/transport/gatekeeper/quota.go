package gatekeeper

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/bucketer"
	"marigoldpoint.example/marigoldpoint/internal/protocol/translator"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// quotaTimeout is how long a call waits until the remaining quota is known: some round
// trips to control.
const quotaTimeout = 300 * time.Millisecond

// charge deducts the cost of the call from its workspace's quota, or refuses the call.
func (q *request) charge(w storer.WorkspaceSpec) *translator.Fault {
	if w.TokenRate <= 0 {
		return nil
	}
	e := q.entry
	limit := bucketer.Limit{Rate: float64(w.TokenRate), Burst: float64(cmp.Or(w.TokenBurst, w.TokenRate))}
	cost := float64(max(1, q.dispatch.Tokens))
	ctx, cancel := context.WithTimeout(q.r.Context(), quotaTimeout)
	defer cancel()
	for {
		d := e.settings.Control.Spend(q.dispatch.Workspace, limit, cost, q.deadline.Sub(e.settings.Now()))
		switch {
		case d.Admitted:
			q.quotaCost = cost
			return nil
		case !d.Unknown:
			f := translator.NewFault(http.StatusTooManyRequests, translator.CodeOverQuota, "the workspace has spent its quota of %d tokens a second", w.TokenRate)
			f.RetryAfter = d.RetryAfter
			return f
		case !e.settings.Control.AwaitReport(ctx):
			f := translator.NewFault(http.StatusServiceUnavailable, translator.CodeNotReady, "what is left of the workspace's quota is not known")
			f.RetryAfter = e.random.jitter(time.Second)
			return f
		}
	}
}

// refundQuota refunds the cost of a call that did not run.
func (q *request) refundQuota() {
	if q.quotaCost > 0 && !q.mayHaveRun {
		q.entry.settings.Control.Refund(q.dispatch.Workspace, q.quotaCost)
	}
}
