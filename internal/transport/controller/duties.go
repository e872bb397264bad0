package controller

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/bucketer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/permitter"
	"marigoldpoint.example/marigoldpoint/internal/coordination/registrar"
	"marigoldpoint.example/marigoldpoint/internal/coordination/regulator"
	"marigoldpoint.example/marigoldpoint/internal/coordination/suspecter"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// permitKey identifies what a permit is requested for.
type permitKey struct{ companion, version string }

// duties are a leader's tasks during one term.
type duties struct {
	control *Control
	term    uint64
	ctx     context.Context
	cancel  context.CancelFunc
	workers sync.WaitGroup

	leasesMu sync.Mutex
	// leases holds the backend servers' leases; guarded by leasesMu.
	leases *registrar.Table
	// appliedUpTo is the revision up to which membership changes are applied to leases;
	// guarded by leasesMu.
	appliedUpTo uint64

	// entries counts the entries of all control hosts; guarded by leasesMu.
	entries *registrar.EntryCount
	// suspects determines when a suspect is due for review; guarded by leasesMu.
	suspects *suspecter.Reviewer
	// parts determines which parts of prompts are blocked; guarded by leasesMu.
	parts *suspecter.PartReviewer

	// groupChangeMu is held during a change of the control group's membership.
	groupChangeMu sync.Mutex

	permitsMu sync.Mutex
	// permits is the table of permits; guarded by permitsMu.
	permits *permitter.Table
	// waiters holds the most recent waiting call for each permit; guarded by permitsMu.
	waiters map[permitKey]chan permitter.Grant
	// grantTimer fires when the next permit may be granted. Without it the store would be
	// idle until the next tick.
	grantTimer *time.Timer

	ledgerMu sync.Mutex
	// ledger enforces the workspaces' quotas; guarded by ledgerMu.
	ledger *bucketer.Ledger
	// retrying holds the workspaces with expected retries at the last tick. Only run uses it.
	retrying map[string]float64

	scheduleMu sync.Mutex
	// schedule schedules the requests to backend servers that limit requests and have no
	// companion; guarded by scheduleMu.
	schedule *regulator.Schedule
}

func newDuties(c *Control, term uint64) *duties {
	now := c.settings.Now()
	members, revision := c.store.List(storer.KindMember, "")
	var memberships []registrar.Membership
	for _, m := range members {
		memberships = append(memberships, membershipOf(m))
	}
	s := c.settings.Control
	d := &duties{
		control:     c,
		term:        term,
		leases:      registrar.NewTable(registrar.Settings{Lease: time.Duration(s.MemberLease)}, now, memberships),
		appliedUpTo: revision,
		entries:     registrar.NewEntryCount(now, time.Duration(s.MemberLease), entrySettlingTime),
		suspects:    c.suspects(now),
		parts:       c.partReviewer(now),
		permits: permitter.NewTable(permitter.Settings{
			Rate: s.StoreRate, Parallel: s.StoreParallel, Overlap: s.StoreOverlap, Expiry: time.Duration(s.PermitExpiry),
		}, term, now, c.permitHolders(now, members)),
		waiters:    make(map[permitKey]chan permitter.Grant),
		grantTimer: time.NewTimer(time.Hour),
		ledger:     bucketer.NewLedger(now, term),
		schedule:   regulator.NewSchedule(),
	}
	d.ctx, d.cancel = context.WithCancel(c.ctx)
	return d
}

func membershipOf(r storer.Resource) registrar.Membership {
	m := registrar.Membership{Name: r.Metadata.Name}
	if spec, ok := r.Spec.(storer.MemberSpec); ok {
		m.Epoch, m.FailureDomain = spec.Epoch, spec.FailureDomain
	}
	return m
}

// permitHolders returns every companion that may hold a permit granted by a previous
// leader: the members, and the companions whose membership ended within a permit's
// expiry. It returns nil if departures may have been missed. A host that has not run that
// long uses the store's history, if that is still complete.
func (c *Control) permitHolders(now time.Time, members []storer.Resource) []string {
	engines := []string{}
	for _, m := range members {
		if isEngine(m) {
			engines = append(engines, m.Metadata.Name)
		}
	}
	c.dropEndedMembers()
	c.board.mu.Lock()
	holders, ok := c.board.departures.Holders(now, engines)
	c.board.mu.Unlock()
	if ok {
		return holders
	}
	changes, _, ok := c.store.Since(0, 0)
	if !ok {
		return nil
	}
	for _, change := range changes {
		if change.Deleted && isEngine(change.Resource) {
			engines = append(engines, change.Resource.Metadata.Name)
		}
	}
	return engines
}

func isEngine(r storer.Resource) bool {
	spec, ok := r.Spec.(storer.MemberSpec)
	return ok && spec.Kind == storer.MemberKindEngine
}

func (d *duties) start() {
	d.workers.Add(1)
	go d.run()
}

// close stops the duties and waits for their goroutines. Calls that wait for a permit are
// refused; their companions ask the next leader.
func (d *duties) close() {
	d.cancel()
	d.workers.Wait()
}

func (d *duties) run() {
	defer d.workers.Done()
	d.proposeRetention(d.ctx)
	ticker := time.NewTicker(d.control.settings.TickInterval)
	defer ticker.Stop()
	defer d.grantTimer.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-d.grantTimer.C:
			d.grantPermits()
			continue
		case <-ticker.C:
		}
		d.applyMemberChanges()
		d.expireMembers()
		d.reviewSuspects()
		d.reviewParts()
		d.reviewSilentVoters()
		d.grantPermits()
		d.countExpectedRetries()
	}
}

// applyMemberChanges applies membership changes to the table of leases.
func (d *duties) applyMemberChanges() {
	d.leasesMu.Lock()
	defer d.leasesMu.Unlock()
	now := d.control.settings.Now()
	for {
		changes, upTo, ok := d.control.store.Since(d.appliedUpTo, 0)
		if !ok || upTo <= d.appliedUpTo {
			// A leader applies every command itself, and its history covers more than a
			// tick.
			break
		}
		for _, change := range changes {
			d.suspects.Observe(now, change.Resource, change.Deleted)
			d.parts.Observe(now, change.Resource, change.Deleted)
			if change.Resource.Kind != storer.KindMember {
				continue
			}
			m := membershipOf(change.Resource)
			if change.Deleted {
				d.leases.End(m.Name, m.Epoch)
			} else {
				d.leases.Begin(now, m)
			}
		}
		d.appliedUpTo = upTo
	}
	d.control.metrics.members.Set(float64(d.leases.Len()))
}

// expireMembers ends the memberships whose leases expired, in one command.
func (d *duties) expireMembers() {
	if !d.control.agreement.LeaseValid() {
		return
	}
	d.leasesMu.Lock()
	expired := d.leases.Tick(d.control.settings.Now())
	d.leasesMu.Unlock()
	if len(expired) == 0 {
		return
	}
	if err := d.propose(storer.ExpireMembers{Members: expired}); err != nil {
		d.control.settings.Log.Debug().Err(err).Msg("failed to end expired memberships; retrying at the next tick")
		return
	}
	for _, m := range expired {
		d.control.metrics.expired.Inc()
		d.control.recordBackend(recorder.KindMemberExpired, m.Name, "epoch %d", m.Epoch)
		d.control.settings.Log.Info().Str("Backend", m.Name).Uint64("Epoch", m.Epoch).
			Dur("Lease", time.Duration(d.control.settings.Control.MemberLease)).Msg("lease of backend server expired")
	}
}

// propose commits a command of the leader itself.
func (d *duties) propose(c storer.Command) error {
	data, err := storer.Encode(storer.Envelope{Time: storer.InstantOf(d.control.settings.Now()), Command: c})
	if err != nil {
		return errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(d.ctx, dutiesTimeout)
	defer cancel()
	_, _, err = d.control.agreement.Propose(ctx, data)
	return errors.Trace(err)
}

// renew applies the lease renewals of one control host.
func (d *duties) renew(b registrar.RenewBatch) registrar.RenewAnswer {
	now := d.control.settings.Now()
	d.leasesMu.Lock()
	void := d.leases.Renew(now, b.Leases)
	d.entries.Record(now, b.Host, b.Entries)
	d.leasesMu.Unlock()
	d.permitsMu.Lock()
	for _, l := range b.Leases {
		d.permits.Report(now, permitter.Report{
			Companion: l.Name, Term: l.Term, Sequence: l.Sequence, Numbers: l.Permits, Requested: l.Requested,
		})
	}
	d.permitsMu.Unlock()
	return registrar.RenewAnswer{Void: void}
}

// entrySettlingTime is the time in which the entries of a control host that was lost have
// connected to others.
const entrySettlingTime = 2 * time.Second

// entryCount returns the number of entries connected to all of the given number of control hosts;
// 0 means unknown.
func (d *duties) entryCount(hosts int) int {
	d.leasesMu.Lock()
	defer d.leasesMu.Unlock()
	return d.entries.Total(d.control.settings.Now(), hosts)
}

// requestPermit waits for a permit until ctx or the leadership ends.
func (d *duties) requestPermit(ctx context.Context, r permitter.Request) (permitter.Grant, error) {
	if _, member := d.control.store.Get(storer.Key{Kind: storer.KindMember, Name: r.Companion}); !member {
		// The next leader would not know that this companion may hold a permit.
		return permitter.Grant{}, messenger.NewRefusal(messenger.ReasonUnavailable, "no member of that name")
	}
	key := permitKey{companion: r.Companion, version: r.Version}
	granted := make(chan permitter.Grant, 1)
	d.permitsMu.Lock()
	g, ok := d.permits.Request(d.control.settings.Now(), r)
	if ok {
		d.permitsMu.Unlock()
		return g, nil
	}
	d.waiters[key] = granted
	d.permitsMu.Unlock()
	d.grantPermits()
	select {
	case g := <-granted:
		return g, nil
	case <-ctx.Done():
	case <-d.ctx.Done():
	}
	d.permitsMu.Lock()
	defer d.permitsMu.Unlock()
	select {
	case g := <-granted:
		return g, nil
	default:
	}
	if d.waiters[key] == granted {
		// Withdraw the request only if no other call for the same permit has replaced
		// this one, as happens after its connection broke.
		delete(d.waiters, key)
		d.permits.Finish(d.control.settings.Now(), permitter.Finish{Companion: r.Companion, Version: r.Version})
	}
	if d.ctx.Err() != nil {
		return permitter.Grant{}, messenger.NewRefusal(messenger.ReasonUnavailable, "leadership ended")
	}
	return permitter.Grant{}, messenger.NewRefusal(messenger.ReasonDeadline, "no permit within the time")
}

func (d *duties) finishPermit(f permitter.Finish) {
	d.permitsMu.Lock()
	d.permits.Finish(d.control.settings.Now(), f)
	d.permitsMu.Unlock()
	d.grantPermits()
}

// grantPermits grants the permits that are due and answers the calls that wait for them.
//
// A leader whose lease is not valid grants nothing: another leader may have been elected,
// and together they would let the store serve two loads at once.
func (d *duties) grantPermits() {
	if d.ctx.Err() != nil || !d.control.agreement.LeaseValid() {
		return
	}
	d.permitsMu.Lock()
	defer d.permitsMu.Unlock()
	now := d.control.settings.Now()
	for _, g := range d.permits.Grant(now) {
		d.control.metrics.permits.Inc()
		d.control.settings.Recorder.Record(recorder.Event{
			Kind: recorder.KindPermitGranted, Backend: g.Companion, Version: g.Version,
		})
		key := permitKey{companion: g.Companion, version: g.Version}
		if w, ok := d.waiters[key]; ok {
			delete(d.waiters, key)
			w <- g
		}
	}
	if at, ok := d.permits.Next(now); ok && at.After(now) {
		d.grantTimer.Reset(at.Sub(now))
	}
	d.control.metrics.waiting.Set(float64(d.permits.Waiting()))
	d.control.metrics.held.Set(float64(d.permits.Held()))
}
