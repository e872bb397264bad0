package placer

import (
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/regulator"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// ErrLimited means that all serving backend servers of the service limit requests, and that
// none of them has a turn for the call in time.
const ErrLimited = errors.ConstError("all backend servers limit requests")

// LimitState is a companion's report on the limit of requests that its engine has named.
type LimitState struct {
	_ struct{} `cbor:",toarray"`
	// Name and Incarnation identify the engine.
	Name        string
	Incarnation string
	// Named means that there is a limit, Rate requests per second, under which a further
	// request would wait for WaitMillis milliseconds.
	Named      bool
	Rate       float64
	WaitMillis int
}

// limits is what an entry knows about the limit of a backend server.
type limits struct {
	// named is the limit that the backend server's answers named to this entry, and calls
	// the number of calls that the entry placed here under it.
	named regulator.Limit
	calls int
	// reported is the limit that the process that counts the requests of all entries has
	// reported: the engine's companion, or the leader of the control group.
	reported regulator.Limit
	// turnAt is the expected time of the turn of a further call: as the process that counts
	// the requests has reported, and later by each call placed since.
	turnAt time.Time
}

// apply reports whether the entry knows of a limit.
func (l *limits) apply() bool { return l.named.Named || l.reported.Named }

// limit returns the limit that applies.
func (l *limits) limit() regulator.Limit {
	if l.named.Named {
		return l.named
	}
	return l.reported
}

// wait returns the expected time until the turn of a further call.
func (l *limits) wait(now time.Time) time.Duration {
	if !l.apply() {
		return 0
	}
	return max(0, l.turnAt.Sub(now))
}

// place counts a call that is placed under the limit.
func (l *limits) place(now time.Time) {
	l.calls++
	if l.turnAt.Before(now) {
		l.turnAt = now
	}
	limit := l.limit()
	l.turnAt = l.turnAt.Add(limit.Interval())
}

// LimitChange is a change of the limit that a backend server named.
type LimitChange struct {
	Before, After regulator.Limit
	// Calls is the number of calls that the entry placed under the limit before.
	Calls int
	// Reported means that the process that counts has reported what the answer says.
	Reported bool
}

// RecordLimit applies what an answer to the chosen call, sent at sentAt, says about the
// backend server's limit. It reports whether the limit has changed.
func (p *Placer) RecordLimit(sentAt, now time.Time, choice *Choice, n regulator.Notice) (c LimitChange, changed bool) {
	choice.pool.mu.Lock()
	defer choice.pool.mu.Unlock()
	l := &choice.backend.limits
	c = LimitChange{Before: l.named, Calls: l.calls}
	if changed = l.named.Record(sentAt, now, n); changed {
		l.calls = 0
	}
	c.After = l.named
	switch n.Kind {
	case regulator.NoticeLimited:
		c.Reported = l.reported.Named && l.reported.Rate == n.Rate
	case regulator.NoticeUnlimited:
		c.Reported = !l.reported.Named
	case regulator.NoticeMissing:
		c.Reported = true
	}
	return c, changed
}

// ReportLimit applies a companion's report on the limit of its engine. A companion reports
// the end of a limit only if it has reported the limit.
func (p *Placer) ReportLimit(now time.Time, service string, s LimitState) {
	o := p.pool(service)
	o.mu.Lock()
	defer o.mu.Unlock()
	b := o.find(s.Name)
	if b == nil || b.member.Spec.Incarnation != s.Incarnation {
		return
	}
	if !s.Named {
		b.limits.named.End(now)
	}
	b.limits.reported = regulator.Limit{Named: s.Named, Rate: s.Rate}
	b.limits.turnAt = now.Add(time.Duration(s.WaitMillis) * time.Millisecond)
}

// SetScheduled sets the limits of the backend servers of plain services, which the leader of
// the control group counts.
func (p *Placer) SetScheduled(limits []regulator.ServerLimit) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, o := range p.pools {
		o.setScheduled(limits)
	}
}

func (o *pool) setScheduled(limits []regulator.ServerLimit) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.engine != nil {
		return
	}
	for _, b := range o.backends {
		b.limits.reported = regulator.Limit{}
	}
	for _, l := range limits {
		if b := o.find(l.Server); b != nil && b.member.Spec.Incarnation == l.Incarnation {
			b.limits.reported = regulator.Limit{Named: true, Rate: l.Rate}
		}
	}
}

// PostponeTurn records that the next turn of a call at the chosen backend server is after
// wait, as the process that counts its requests has answered.
func (p *Placer) PostponeTurn(now time.Time, choice *Choice, wait time.Duration) {
	choice.pool.mu.Lock()
	defer choice.pool.mu.Unlock()
	choice.backend.limits.turnAt = now.Add(wait)
}

// NextTurn returns the shortest time until the turn of a further call at a backend server
// of the service.
func (p *Placer) NextTurn(now time.Time, service string) time.Duration {
	o := p.pool(service)
	o.mu.Lock()
	defer o.mu.Unlock()
	next := time.Duration(-1)
	for _, b := range o.backends {
		if b.member.Spec.State != storer.MemberStateServing {
			continue
		}
		if wait := b.limits.wait(now); next < 0 || wait < next {
			next = wait
		}
	}
	return max(0, next)
}

// limited reports whether no serving backend server has a turn for the call in time. The
// caller holds o.mu.
func (o *pool) limited(now time.Time, c *Call, s *Settings) bool {
	serving := false
	for _, b := range o.backends {
		if b.member.Spec.State != storer.MemberStateServing {
			continue
		}
		if o.hasTurn(now, c, b, s) {
			return false
		}
		serving = true
	}
	return serving
}

// hasTurn reports whether the turn of the call under the backend server's limit is in time.
// The caller holds o.mu.
func (o *pool) hasTurn(now time.Time, c *Call, b *backend, s *Settings) bool {
	switch {
	case !b.limits.apply():
		return true
	case c.AvoidLimited:
		return false
	case c.MaxWait <= 0:
		return true
	}
	limit := b.limits.limit()
	return b.limits.wait(now) <= limit.LongestWait(c.Slack-o.duration(now, b, s), c.MaxWait)
}

// duration returns the expected duration of a call to a plain service, and 0 for an engine,
// whose calls are due when their stream starts.
func (o *pool) duration(now time.Time, b *backend, s *Settings) time.Duration {
	if o.engine != nil {
		return 0
	}
	return b.expectedCallTime(now, s)
}
