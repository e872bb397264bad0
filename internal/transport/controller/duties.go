package controller

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/bucketer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/permitter"
	"marigoldpoint.example/marigoldpoint/internal/coordination/registrar"
	"marigoldpoint.example/marigoldpoint/internal/coordination/suspecter"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// permitKey names what a permit is asked for.
type permitKey struct{ companion, version string }

// duties are those of the leader of one term.
type duties struct {
	control *Control
	term    uint64
	ctx     context.Context
	cancel  context.CancelFunc
	workers sync.WaitGroup

	leasesMu sync.Mutex
	// leases are the backend servers' leases; guarded by leasesMu.
	leases *registrar.Table
	// seen is the revision up to which memberships are in leases; guarded by
	// leasesMu.
	seen uint64

	// suspects tells when a suspect's time is over; guarded by leasesMu.
	suspects *suspecter.Reviewer

	// changing is held during a change of the control group's membership.
	changing sync.Mutex

	permitsMu sync.Mutex
	// permits is the list of permits; guarded by permitsMu.
	permits *permitter.Table
	// waiters hold the latest call that waits for each permit; guarded by
	// permitsMu.
	waiters map[permitKey]chan permitter.Grant
	// due fires when the next permit may be given. Without it the store would
	// stand idle from then to the next tick.
	due *time.Timer

	ledgerMu sync.Mutex
	// ledger holds the workspaces to their quotas; guarded by ledgerMu.
	ledger *bucketer.Ledger
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
		control:  c,
		term:     term,
		leases:   registrar.NewTable(registrar.Settings{Lease: time.Duration(s.MemberLease)}, now, memberships),
		seen:     revision,
		suspects: c.suspects(now),
		permits: permitter.NewTable(permitter.Settings{
			Rate: s.StoreRate, Parallel: s.StoreParallel, Overlap: s.StoreOverlap, Expiry: time.Duration(s.PermitExpiry),
		}, term, now, c.permitHolders(now, members)),
		waiters: make(map[permitKey]chan permitter.Grant),
		due:     time.NewTimer(time.Hour),
		ledger:  bucketer.NewLedger(now, term),
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

// permitHolders returns every companion that may hold a permit of a former
// leader: the members, and those whose membership ended within the life of a
// permit. It returns nil where some may have left unseen. On a host that started
// lately the history tells, where it still reaches back to the beginning.
func (c *Control) permitHolders(now time.Time, members []storer.Resource) []string {
	engines := []string{}
	for _, m := range members {
		if isEngine(m) {
			engines = append(engines, m.Metadata.Name)
		}
	}
	c.dropEnded()
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

// close ends the duties and waits for them. Calls that wait for a permit are
// refused: their companions ask the next leader.
func (d *duties) close() {
	d.cancel()
	d.workers.Wait()
}

func (d *duties) run() {
	defer d.workers.Done()
	d.retain(d.ctx)
	ticker := time.NewTicker(d.control.settings.TickInterval)
	defer ticker.Stop()
	defer d.due.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-d.due.C:
			d.grant()
			continue
		case <-ticker.C:
		}
		d.follow()
		d.expire()
		d.reviewSuspects()
		d.review()
		d.grant()
	}
}

// follow takes the memberships that began and ended into the table of leases.
func (d *duties) follow() {
	d.leasesMu.Lock()
	defer d.leasesMu.Unlock()
	now := d.control.settings.Now()
	for {
		changes, upTo, ok := d.control.store.Since(d.seen, 0)
		if !ok || upTo <= d.seen {
			// A leader applies every command itself, and its history reaches
			// back further than a tick.
			break
		}
		for _, change := range changes {
			d.suspects.Observe(now, change.Resource, change.Deleted)
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
		d.seen = upTo
	}
	d.control.metrics.members.Set(float64(d.leases.Len()))
}

// expire ends the memberships whose leases ran out, in one command.
func (d *duties) expire() {
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
		d.control.settings.Log.Debug().Err(err).Msg("expired memberships were not ended; the next tick tries again")
		return
	}
	for _, m := range expired {
		d.control.metrics.expired.Inc()
		d.control.recordBackend(recorder.KindMemberExpired, m.Name, "epoch %d", m.Epoch)
		d.control.settings.Log.Info().Str("Backend", m.Name).Uint64("Epoch", m.Epoch).
			Dur("Lease", time.Duration(d.control.settings.Control.MemberLease)).Msg("backend server's lease ran out")
	}
}

// propose has a command of the leader's own accepted.
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

// renew takes the renewals of one control host in.
func (d *duties) renew(b registrar.RenewBatch) registrar.RenewAnswer {
	now := d.control.settings.Now()
	d.leasesMu.Lock()
	void := d.leases.Renew(now, b.Leases)
	d.leasesMu.Unlock()
	d.permitsMu.Lock()
	for _, l := range b.Leases {
		d.permits.Report(now, permitter.Report{Companion: l.Name, Term: l.Term, Sequence: l.Sequence, Numbers: l.Permits})
	}
	d.permitsMu.Unlock()
	return registrar.RenewAnswer{Void: void}
}

// requestPermit waits for a permit until the context ends.
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
	d.grant()
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
		// Another call for the same permit may have taken this one's place
		// after its connection broke; then it is not withdrawn.
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
	d.grant()
}

// grant gives the permits that are due to the calls that wait.
//
// A leader that can't be sure of its lease grants nothing: another may have been
// elected, and the two would have the store load twice at once.
func (d *duties) grant() {
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
		d.due.Reset(at.Sub(now))
	}
	d.control.metrics.waiting.Set(float64(d.permits.Waiting()))
	d.control.metrics.held.Set(float64(d.permits.Held()))
}
