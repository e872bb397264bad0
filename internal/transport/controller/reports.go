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
	// reportGather is the time in which a host gathers the reports of its entries before
	// it passes them on, so that the leader's work grows with hosts and not with entries.
	reportGather = 20 * time.Millisecond
	// reportTimeout bounds the wait for the leader's answer. An entry whose report fails
	// tells it again.
	reportTimeout = 500 * time.Millisecond
)

// reports gathers the reports of the entries connected to this host.
type reports struct {
	control *Control

	mu sync.Mutex
	// batch takes reports until it is sent; nil while none was received. Guarded by mu.
	batch *reportBatch
}

// reportBatch is a number of reports that are passed on together. Its answer and err are
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
// The answer's revision was read at the leader after the report had left its entry: all
// that was accepted before is covered, however long any message was on its way.
func (r *reports) report(ctx context.Context, u bucketer.Report) (bucketer.Answer, error) {
	b := r.join(u) //nolint:contextcheck // The batch is that of other entries too.
	select {
	case <-b.done:
	case <-ctx.Done():
		return bucketer.Answer{}, messenger.NewRefusal(messenger.ReasonUnavailable, "the report's sender has left")
	case <-r.control.ctx.Done():
		return bucketer.Answer{}, messenger.NewRefusal(messenger.ReasonStopping, "")
	}
	return b.only(u), b.err
}

// join adds a report to the batch that is sent next.
func (r *reports) join(u bucketer.Report) *reportBatch {
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

// send passes a batch on after a while.
func (r *reports) send(b *reportBatch) {
	defer close(b.done)
	if !r.control.pause(reportGather) {
		b.err = messenger.NewRefusal(messenger.ReasonStopping, "")
		return
	}
	r.mu.Lock()
	r.batch = nil
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(r.control.ctx, reportTimeout)
	defer cancel()
	batch := bucketer.Batch{Host: r.control.settings.Node, Entries: r.control.entryCount(), Reports: b.reports}
	b.err = r.control.atLeader(ctx, false, func(ctx context.Context) error {
		var err error
		b.answer, err = r.control.reportHere(ctx, batch)
		return err
	}, func(ctx context.Context, conn *messenger.Conn) error {
		return conn.Call(ctx, messenger.MethodReportBatch, batch, &b.answer)
	})
}

// only returns the part of the batch's answer that an entry asked for.
func (b *reportBatch) only(u bucketer.Report) bucketer.Answer {
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

// reportHere serves MethodReportBatch, and the reports of this host's own entries where
// it leads.
func (c *Control) reportHere(ctx context.Context, b bucketer.Batch) (bucketer.Answer, error) {
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

// report takes what entries admitted into the buckets.
func (d *duties) report(b bucketer.Batch, revision uint64) bucketer.Answer {
	now := d.control.settings.Now()
	d.ledgerMu.Lock()
	defer d.ledgerMu.Unlock()
	a := bucketer.Answer{Ledger: d.ledger.Number(), Revision: revision, Levels: d.ledger.Report(now, b), Entries: d.ledger.Entries()}
	d.control.metrics.buckets.Set(float64(d.ledger.Len()))
	return a
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
