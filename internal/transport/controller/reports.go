package controller

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/bucketer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/coordination/replicator"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

const (
	// reportGatherInterval is the time for which a host collects its entries' reports
	// before it forwards them as one batch, so that the leader's work grows with the
	// number of hosts and not of entries.
	reportGatherInterval = 20 * time.Millisecond
	// reportTimeout bounds the wait for the leader's answer. An entry repeats a report
	// that failed.
	reportTimeout = 500 * time.Millisecond
)

// reports batches the reports of the entries connected to this host.
type reports struct {
	control *Control

	mu sync.Mutex
	// batch collects reports until it is sent; nil if there are none. Guarded by mu.
	batch *reportBatch
}

// reportBatch is a group of reports that are forwarded together. Its answer and err are
// set before done is closed.
type reportBatch struct {
	reports []bucketer.Report
	done    chan struct{}
	answer  bucketer.Answer
	err     error
}

func newReports(c *Control) *reports { return &reports{control: c} }

// report serves MethodReport: it waits for the leader's answer to the batch.
//
// The leader reads the answer's revision after the report has left its entry, so that the
// answer covers everything accepted before, whatever the network delays were.
func (r *reports) report(ctx context.Context, u bucketer.Report) (bucketer.Answer, error) {
	b := r.add(u) //nolint:contextcheck // The batch is shared with other entries.
	select {
	case <-b.done:
	case <-ctx.Done():
		return bucketer.Answer{}, messenger.NewRefusal(messenger.ReasonUnavailable, "the report's sender has left")
	case <-r.control.ctx.Done():
		return bucketer.Answer{}, messenger.NewRefusal(messenger.ReasonStopping, "")
	}
	return b.answerFor(u), b.err
}

// add adds a report to the next batch.
func (r *reports) add(u bucketer.Report) *reportBatch {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.batch == nil {
		b := &reportBatch{done: make(chan struct{})}
		r.batch = b
		go r.send(b)
	}
	r.batch.reports = append(r.batch.reports, u)
	return r.batch
}

// send forwards a batch after reportGatherInterval.
func (r *reports) send(b *reportBatch) {
	defer close(b.done)
	if !r.control.pause(reportGatherInterval) {
		b.err = messenger.NewRefusal(messenger.ReasonStopping, "")
		return
	}
	r.mu.Lock()
	r.batch = nil
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(r.control.ctx, reportTimeout)
	defer cancel()
	batch := bucketer.Batch{Host: r.control.settings.Node, Entries: r.control.entryCount(), Reports: b.reports}
	b.err = r.control.onLeader(ctx, false, func(ctx context.Context) error {
		var err error
		b.answer, err = r.control.serveReportBatch(ctx, batch)
		return err
	}, func(ctx context.Context, conn *messenger.Conn) error {
		return conn.Call(ctx, messenger.MethodReportBatch, batch, &b.answer)
	})
}

// answerFor returns the part of the batch's answer that concerns the workspaces in an
// entry's report.
func (b *reportBatch) answerFor(u bucketer.Report) bucketer.Answer {
	a := b.answer
	a.Levels = nil
	wanted := make(map[string]struct{}, len(u.Uses))
	for i := range u.Uses {
		wanted[u.Uses[i].Workspace] = struct{}{}
	}
	for _, l := range b.answer.Levels {
		if _, is := wanted[l.Workspace]; is {
			a.Levels = append(a.Levels, l)
		}
	}
	return a
}

// serveReportBatch serves MethodReportBatch, and handles this host's own batches if it
// leads.
func (c *Control) serveReportBatch(ctx context.Context, b bucketer.Batch) (bucketer.Answer, error) {
	d := c.currentDuties()
	if d == nil {
		return bucketer.Answer{}, c.notLeader()
	}
	if err := c.agreement.ReadBarrier(ctx); err != nil {
		var notLeader replicator.ErrNotLeader
		if errors.As(err, &notLeader) {
			return bucketer.Answer{}, c.notLeader()
		}
		return bucketer.Answer{}, messenger.NewRefusal(messenger.ReasonUnavailable, err.Error())
	}
	return d.report(b, c.store.Revision()), nil
}

// report applies the usage that entries reported to the ledger.
func (d *duties) report(b bucketer.Batch, revision uint64) bucketer.Answer {
	now := d.control.settings.Now()
	d.ledgerMu.Lock()
	defer d.ledgerMu.Unlock()
	a := bucketer.Answer{Ledger: d.ledger.Number(), Revision: revision, Levels: d.ledger.Report(now, b), Entries: d.ledger.Entries()}
	d.control.metrics.buckets.Set(float64(d.ledger.Len()))
	return a
}

// countExpectedRetries updates the metric of the retries that entries expect of refused calls.
func (d *duties) countExpectedRetries() {
	d.ledgerMu.Lock()
	expected := d.ledger.ExpectedRetries(d.control.settings.Now())
	d.ledgerMu.Unlock()
	m := d.control.metrics.expectedRetries
	for workspace := range d.retrying {
		if _, is := expected[workspace]; !is {
			m.DeleteLabelValues(workspace)
		}
	}
	for workspace, units := range expected {
		m.WithLabelValues(workspace).Set(units)
	}
	d.retrying = expected
}

// entryCount returns the number of entries connected here.
func (c *Control) entryCount() int {
	c.sessionsMu.Lock()
	defer c.sessionsMu.Unlock()
	n := 0
	for _, s := range c.sessions {
		if s.subscribe.Scope == distributor.ScopeEntry {
			n++
		}
	}
	return n
}
