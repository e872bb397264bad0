package placer

import (
	"slices"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// ErrResting means that the backend servers that could take the call have asked this entry for
// rest.
const ErrResting = errors.ConstError("all backend servers rest")

// MaxRest bounds the rest that a backend server may ask for.
const MaxRest = time.Minute

// notice is what the answers of one incarnation of a backend server have asked of this entry. It
// outlives the membership, which may end and begin again.
type notice struct {
	// restUntil is the end of the rest.
	restUntil time.Time
	// leaving means that it has said that it leaves.
	leaving bool
	// receivedAt is the time of the last answer with a notice.
	receivedAt time.Time
}

const (
	// maxNotices is the number of notices of a service above which old ones are dropped, and
	// noticeLife the time for which a notice is kept at least.
	maxNotices = 1000
	noticeLife = 10 * time.Minute
)

// notice returns the notice of an incarnation, for an answer that arrived at now. The caller holds
// mu.
func (o *pool) notice(now time.Time, incarnation string) *notice {
	if o.notices == nil {
		o.notices = make(map[string]*notice)
	}
	n := o.notices[incarnation]
	if n == nil {
		if len(o.notices) >= maxNotices {
			o.dropNotices(now)
		}
		n = &notice{}
		o.notices[incarnation] = n
	}
	n.receivedAt = now
	return n
}

// dropNotices drops the old notices of incarnations without a membership. The caller holds mu.
func (o *pool) dropNotices(now time.Time) {
	present := make(map[string]struct{}, len(o.backends))
	for _, b := range o.backends {
		present[b.member.Spec.Incarnation] = struct{}{}
	}
	for incarnation, n := range o.notices {
		if _, is := present[incarnation]; !is && now.Sub(n.receivedAt) > noticeLife {
			delete(o.notices, incarnation)
		}
	}
}

// restsUntil returns the end of the rest that a backend server has asked for; zero if it has not.
// The caller holds mu.
func (o *pool) restsUntil(b *backend) time.Time {
	if n := o.notices[b.member.Spec.Incarnation]; n != nil {
		return n.restUntil
	}
	return time.Time{}
}

// leaves reports whether a backend server has said that it leaves. The caller holds mu.
func (o *pool) leaves(b *backend) bool {
	n := o.notices[b.member.Spec.Incarnation]
	return n != nil && n.leaving
}

// rests reports whether a backend server has asked for a rest that has not ended. The caller holds
// mu.
func (o *pool) rests(now time.Time, b *backend) bool { return now.Before(o.restsUntil(b)) }

// declines reports whether a backend server wants no new requests of this entry, because it rests or
// leaves. The caller holds mu.
func (o *pool) declines(now time.Time, b *backend) bool { return o.rests(now, b) || o.leaves(b) }

// RecordRest records that the chosen backend server has asked this entry for a rest, at most
// MaxRest. A shorter rest than one in progress does not end it.
func (p *Placer) RecordRest(now time.Time, choice *Choice, rest time.Duration) {
	choice.pool.mu.Lock()
	defer choice.pool.mu.Unlock()
	n := choice.pool.notice(now, choice.Incarnation)
	if until := now.Add(min(rest, MaxRest)); until.After(n.restUntil) {
		n.restUntil = until
	}
}

// RecordLeaving records that the chosen backend server has said that it leaves, and reports whether
// that is new. It does not take that back: a server that stays after all gets no requests from this
// entry until its next incarnation.
func (p *Placer) RecordLeaving(now time.Time, choice *Choice) bool {
	choice.pool.mu.Lock()
	defer choice.pool.mu.Unlock()
	n := choice.pool.notice(now, choice.Incarnation)
	known := n.leaving
	n.leaving = true
	return !known
}

// Accepts reports whether the chosen backend server still accepts requests of this entry. It may
// have asked for rest, or said that it leaves, since it was chosen.
func (p *Placer) Accepts(now time.Time, choice *Choice) bool {
	choice.pool.mu.Lock()
	defer choice.pool.mu.Unlock()
	return !choice.pool.declines(now, choice.backend)
}

// RestEnd returns the time until the first of the backend servers that the call may use ends its
// rest, 0 if none of them rests.
func (p *Placer) RestEnd(now time.Time, c *Call) time.Duration {
	o := p.pool(c.Service)
	o.mu.Lock()
	defer o.mu.Unlock()
	least := time.Duration(0)
	for _, b := range o.backends {
		if !o.rests(now, b) || b.member.Spec.State != storer.MemberStateServing || o.leaves(b) || !b.hasSoftware(c) || slices.Contains(c.Avoid, b.member.Name) {
			continue
		}
		if left := o.restsUntil(b).Sub(now); least == 0 || left < least {
			least = left
		}
	}
	return least
}
