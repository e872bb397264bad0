package subscriber

import (
	"cmp"
	"context"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/bucketer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// reportTimeout bounds the wait for the answer to a report. Another follows, perhaps at
// another control host.
const reportTimeout = 700 * time.Millisecond

// ConfirmedAge returns how long ago the node asked what was accepted and has held it since,
// and false where it never did.
//
// Unlike Age it rests on the node's own questions: an answer covers all that was accepted
// before the question left. A pulse that lay in a socket while this host stood still
// extends Age, and not this.
func (c *Client) ConfirmedAge() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.knowledge.Age(c.settings.Now())
}

// AwaitReport has a report sent at once, and waits for an answer, or until the context
// ends. It reports whether one came.
func (c *Client) AwaitReport(ctx context.Context) bool {
	c.mu.Lock()
	renewed := c.renewed
	c.mu.Unlock()
	select {
	case c.ask <- struct{}{}:
	default:
	}
	select {
	case <-renewed:
		return true
	case <-ctx.Done():
	case <-c.ctx.Done():
	}
	return false
}

// Spend admits a call of a workspace with a quota, or refuses it. A limit without a number
// is that of the revision held.
func (c *Client) Spend(workspace string, limit bucketer.Limit, cost float64) bucketer.Decision {
	limit.Number = cmp.Or(limit.Number, c.settings.Index.Revision())
	return c.accounts.Spend(c.settings.Now(), workspace, limit, cost)
}

// Refund gives back what a call that has not run was admitted with.
func (c *Client) Refund(workspace string, cost float64) { c.accounts.Refund(workspace, cost) }

// renew wakes those who wait for knowledge. The caller holds mu.
func (c *Client) renew() {
	close(c.renewed)
	c.renewed = make(chan struct{})
}

// reports tells control what was admitted, and asks what was accepted.
func (c *Client) reports() {
	defer c.workers.Done()
	timer := time.NewTimer(c.settings.ReportInterval)
	defer timer.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-timer.C:
		case <-c.ask:
		}
		if c.accounts.Len() > 0 || c.settings.Keyed != nil && c.settings.Keyed() {
			c.report()
		}
		timer.Reset(c.reportPause())
	}
}

// reportPause returns the time until the next report.
func (c *Client) reportPause() time.Duration {
	if c.accounts.BelowHalf(c.settings.Now()) {
		return c.settings.LowQuotaReportInterval
	}
	return c.settings.ReportInterval
}

// report sends one report.
func (c *Client) report() {
	ctx, cancel := context.WithTimeout(c.ctx, reportTimeout)
	defer cancel()
	conn, done, err := c.current(ctx)
	if err != nil {
		return
	}
	defer done()
	at := c.settings.Now()
	r := c.accounts.Collect(at)
	r.Entry = c.settings.Node
	var a bucketer.Answer
	if err := conn.Call(ctx, messenger.MethodReport, r, &a); err != nil {
		c.accounts.ReportFailed()
		c.metrics.reportsFailed.Inc()
		c.settings.Log.Debug().Err(err).Msg("report not answered")
		return
	}
	c.accounts.ApplyAnswer(at, a)
	c.metrics.reports.Inc()
	held := c.settings.Index.Revision()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.knowledge.Pulse(at, distributor.Pulse{Revision: a.Revision}, held)
	c.renew()
}
