package storer

import (
	"slices"
	"strings"
	"time"
)

const (
	// departureAge is the minimum time for which a departure is kept, unless there are
	// too many. Delayed messages arrive within seconds.
	departureAge = 10 * time.Minute
	// maxDepartures limits the departures that are kept: four for each backend server of
	// the largest planned deployment. Beyond the limit, the oldest are dropped.
	maxDepartures = 50_000
)

// departure records that an incarnation of a backend server is leaving or has ended. It is
// independent of memberships: an incarnation may leave or end after its lease has expired,
// and the membership at its address may belong to another incarnation.
type departure struct {
	Incarnation string  `cbor:"1,keyasint"`
	Index       uint64  `cbor:"2,keyasint"`
	Time        Instant `cbor:"3,keyasint"`
	// Leaving means that the incarnation is leaving and has not ended yet.
	Leaving bool `cbor:"4,keyasint,omitempty"`
}

// recordDeparture records that an incarnation is leaving or has ended. An end replaces a
// recorded leave; any other departure that is already recorded stays as it is. The caller
// holds the lock of p's shard; p is the space of the empty workspace name.
func (s *Store) recordDeparture(index uint64, p *space, incarnation string, leaving bool) {
	old, known := p.departures[incarnation]
	if incarnation == "" || known && (leaving || !old.Leaving) {
		return
	}
	e := expiryEntry{key: incarnation, index: index, time: s.now}
	p.departures[incarnation] = departure{Incarnation: incarnation, Index: index, Time: s.now, Leaving: leaving}
	if known {
		s.departures.push(e)
		return
	}
	if s.departures.count >= maxDepartures {
		s.departures.removeOldest(func(e expiryEntry) bool {
			// The departure was recorded again at a later index, or has been dropped.
			if p.departures[e.key].Index != e.index {
				return false
			}
			delete(p.departures, e.key)
			return true
		})
	}
	s.departures.add(e)
}

func (s *Store) removeExpiredDeparture(e expiryEntry) bool {
	return removeIfUnchanged(s.shard(e.workspace), e, func(p *space) (map[string]departure, uint64) {
		return p.departures, p.departures[e.key].Index
	})
}

// retireMember ends an incarnation and records its departure, whether or not it has a
// membership, so that an announcement that arrives later does not start a new one.
func (s *Store) retireMember(index uint64, c RetireMember) Result {
	h := s.shard("")
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.space("")
	old, known := p.departures[c.Incarnation]
	incarnations := []string{c.Incarnation}
	var changes []Change
	for _, r := range p.resources[KindMember] {
		m := r.Spec.(MemberSpec)
		if !c.Ends(m) {
			continue
		}
		incarnations = append(incarnations, m.Incarnation)
		changes = append(changes, p.endMember(index, r))
	}
	// The order is the same on all replicas, including those restored from a snapshot, so
	// that they drop the same departures when there are too many.
	slices.Sort(incarnations)
	for _, i := range incarnations {
		s.recordDeparture(index, p, i, false)
	}
	if len(changes) == 0 {
		reason := "the incarnation has no membership"
		if known && !old.Leaving {
			reason = "the incarnation had ended before"
		}
		return Result{Verdict: VerdictStale, Reason: reason}
	}
	sortChanges(changes)
	s.publish(index, changes...)
	return Result{Revision: index, Resource: &changes[0].Resource}
}

// sortChanges sorts changes by resource name, so that all replicas publish them in the same
// order.
func sortChanges(changes []Change) {
	slices.SortFunc(changes, func(x, y Change) int {
		return strings.Compare(x.Resource.Metadata.Name, y.Resource.Metadata.Name)
	})
}
