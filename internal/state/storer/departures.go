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
	// unknownIncarnationPeriod is the time for which announcements of a backend server are
	// refused after an end that names no incarnation, if none was known. Delayed
	// announcements of the incarnation that ended arrive within it, and a restarted backend
	// server repeats its announcement after it.
	unknownIncarnationPeriod = 10 * time.Second
)

// departure records that an incarnation of a backend server is leaving or has ended, or that
// incarnations of a backend server have expired or ended. It is
// independent of memberships: an incarnation may leave or end after its lease has expired,
// and the membership at its address may belong to another incarnation.
type departure struct {
	Incarnation string  `cbor:"1,keyasint"`
	Index       uint64  `cbor:"2,keyasint"`
	Time        Instant `cbor:"3,keyasint"`
	// Leaving means that the incarnation is leaving and has not ended yet.
	Leaving bool `cbor:"4,keyasint,omitempty"`

	// The following fields are used if Incarnation is the identifier of a backend server whose
	// incarnations are told apart by their start times (MemberSpec.Born).

	// ExpiredBorn is the latest start time of an incarnation whose lease has expired. If there
	// was no end, Expired is set: the incarnation may be announced again.
	ExpiredBorn uint64 `cbor:"5,keyasint,omitempty"`
	Expired     bool   `cbor:"6,keyasint,omitempty"`
	// EndedBorn is the latest start time of the incarnations that have ended.
	EndedBorn uint64 `cbor:"7,keyasint,omitempty"`
	// Unknown means that the backend server ended while none of its incarnations was known.
	Unknown bool `cbor:"8,keyasint,omitempty"`
}

// recordDeparture records that an incarnation is leaving or has ended. An end replaces a
// recorded leave; any other departure that is already recorded stays as it is. The caller
// holds the lock of p's shard; p is the space of the empty workspace name.
func (s *Store) recordDeparture(index uint64, p *space, incarnation string, leaving bool) {
	old, known := p.departures[incarnation]
	if incarnation == "" || known && (leaving || !old.Leaving) {
		return
	}
	s.putDeparture(index, p, departure{Incarnation: incarnation, Leaving: leaving})
}

// recordExpiry records that the lease of an incarnation has expired, if the backend server has
// others. An end that names only the backend server then ends that incarnation too. The caller
// holds the lock of p's shard.
func (s *Store) recordExpiry(index uint64, p *space, m MemberSpec) {
	d, known := p.departures[m.Instance]
	if m.Instance == "" || m.Born <= d.ExpiredBorn {
		return
	}
	d.Incarnation, d.ExpiredBorn, d.Expired = m.Instance, m.Born, d.Expired || !known
	s.putDeparture(index, p, d)
}

// recordInstanceEnd records that a backend server has ended, whose latest known incarnation
// started at born; 0 means that none is known. A repeated end changes nothing. The caller holds
// the lock of p's shard.
func (s *Store) recordInstanceEnd(index uint64, p *space, instance string, born uint64) {
	d, known := p.departures[instance]
	born = max(born, d.ExpiredBorn)
	if known && !d.Expired && !d.Leaving && born <= d.EndedBorn {
		return
	}
	s.putDeparture(index, p, departure{Incarnation: instance, ExpiredBorn: d.ExpiredBorn, EndedBorn: born, Unknown: born == 0})
}

// instanceEndReason returns why an announcement is stale after the end of its backend server, or
// an empty string. The caller holds the lock of p's shard.
func (s *Store) instanceEndReason(p *space, m MemberSpec) string {
	d, recorded := p.departures[m.Instance]
	switch {
	case !recorded || m.Instance == "" || m.Born == 0:
		return ""
	case m.Born <= d.EndedBorn:
		return "the incarnation has ended"
	case d.Unknown && s.now-d.Time < Instant(unknownIncarnationPeriod):
		return "the backend server has ended"
	default:
		return ""
	}
}

// putDeparture adds or replaces a departure, and sets its Index and Time. The caller holds the
// lock of p's shard.
func (s *Store) putDeparture(index uint64, p *space, d departure) {
	_, known := p.departures[d.Incarnation]
	e := expiryEntry{key: d.Incarnation, index: index, time: s.now}
	d.Index, d.Time = index, s.now
	p.departures[d.Incarnation] = d
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
	var incarnations []string
	born := uint64(0)
	var changes []Change
	for _, r := range p.resources[KindMember] {
		m := r.Spec.(MemberSpec)
		if !c.Ends(m) {
			continue
		}
		incarnations, born = append(incarnations, m.Incarnation), max(born, m.Born)
		changes = append(changes, p.endMember(index, r))
	}
	// The order is the same on all replicas, including those restored from a snapshot, so
	// that they drop the same departures when there are too many.
	slices.Sort(incarnations)
	if c.Instance == "" {
		s.recordDeparture(index, p, c.Incarnation, false)
	} else {
		s.recordInstanceEnd(index, p, c.Instance, born)
	}
	for _, i := range incarnations {
		s.recordDeparture(index, p, i, false)
	}
	if len(changes) == 0 {
		reason := "the incarnation has no membership"
		if known && !old.Leaving && !old.Expired {
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
