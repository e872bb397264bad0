package subscriber

import (
	"cmp"
	"context"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/bucketer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// reportTimeout limits the wait for the answer to a report. The next report may go to
// another control host.
const reportTimeout = 700 * time.Millisecond

// ConfirmedAge returns the time since the node sent the last report whose answer confirms
// that its replica contains all accepted changes, and false if there is none.
//
// Unlike Age it relies on the node's own requests: an answer covers all changes accepted
// before the request was sent. A pulse that was delayed in a socket buffer while this host
// was suspended extends Age, but not this.
func (c *Client) ConfirmedAge() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmed.Age(c.settings.Now())
}

// AwaitReport sends a report at once and waits for an answer. It returns false if the
// context or the client ends first.
func (c *Client) AwaitReport(ctx context.Context) bool {
	c.mu.Lock()
	confirmation := c.confirmation
	c.mu.Unlock()
	c.requestReport()
	select {
	case <-confirmation:
		return true
	case <-ctx.Done():
	case <-c.ctx.Done():
	}
	return false
}

// Spend admits or refuses a call of a workspace with a quota, whose caller waits for at most
// left. A limit without a number gets the revision of the replica.
func (c *Client) Spend(workspace string, limit bucketer.Limit, cost float64, left time.Duration) bucketer.Decision {
	limit.Number = cmp.Or(limit.Number, c.settings.Index.Revision())
	d := c.accounts.Spend(c.settings.Now(), workspace, limit, cost, left)
	if d.ReportDue {
		c.requestReport()
	}
	return d
}

// requestReport makes reportLoop send a report at once.
func (c *Client) requestReport() {
	select {
	case c.reportNow <- struct{}{}:
	default:
	}
}

// Refund refunds the cost of a call that was admitted but not run.
func (c *Client) Refund(workspace string, cost float64) { c.accounts.Refund(workspace, cost) }

// signalConfirmation wakes the callers of AwaitReport. The caller holds mu.
func (c *Client) signalConfirmation() {
	close(c.confirmation)
	c.confirmation = make(chan struct{})
}

// reportLoop reports the use of quotas to control, and thereby confirms the replica.
func (c *Client) reportLoop() {
	defer c.workers.Done()
	timer := time.NewTimer(c.settings.ReportInterval)
	defer timer.Stop()
	for {
		awaited := false
		select {
		case <-c.ctx.Done():
			return
		case <-timer.C:
		case <-c.reportNow:
			awaited = true
		}
		if awaited || c.accounts.Len() > 0 || c.settings.Keyed != nil && c.settings.Keyed() {
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

// report sends one report and applies its answer.
func (c *Client) report() {
	ctx, cancel := context.WithTimeout(c.ctx, reportTimeout)
	defer cancel()
	conn, done, err := c.acquireConn(ctx)
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
		c.settings.Log.Debug().Err(err).Msg("report failed")
		return
	}
	c.accounts.ApplyAnswer(c.settings.Now(), a)
	c.metrics.reports.Inc()
	held := c.settings.Index.Revision()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmed.Pulse(at, distributor.Pulse{Revision: a.Revision}, held)
	c.signalConfirmation()
}
