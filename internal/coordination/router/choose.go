package router

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Choose selects the backend server for the call and counts the call as in flight there
// until Finish. The result is written to d. Choose does not allocate unless the version
// is new to the router. It returns ErrNoBackend or ErrNoneAvailable; d then holds the
// candidates that were skipped and needs no Finish.
func (r *Router) Choose(now time.Time, c *Call, d *Decision) error {
	d.reset()
	w := r.view.Load()
	p := w.pools[c.Pool]
	if p == nil {
		return ErrNoBackend
	}
	name := c.Version
	if name == "" {
		name = c.Pool.Name
	}
	hash := xxhash.Sum64String(name)
	s := r.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.version(w, name, hash, r.settings.MaxVersions/shardCount, now)
	d.prefix = prefixOf(c.Prefix, v.hash)
	ch := choice{
		router: r, view: w, pool: p, shard: s, version: v,
		now: now, call: c, decision: d, mean: p.averages.read(), best: -1,
	}
	rate := v.call(now, r.settings.DemandHalfLife) * ch.mean.entries(r.settings.Entries)
	ch.sizeHomes(rate)
	ch.weighCandidates()
	if ch.best < 0 {
		return ErrNoneAvailable
	}
	ch.commit()
	return nil
}

// choice is the state of one call of Choose.
type choice struct {
	router   *Router
	view     *view
	pool     *pool
	shard    *shard
	version  *version
	now      time.Time
	call     *Call
	decision *Decision
	mean     estimate
	// residentCount is the number of valid places of the version, homes the number of
	// homes required by demand, and callsPerHome the number of calls that one more home
	// would serve.
	residentCount int
	homes         int
	callsPerHome  float64
	// best is the index of the best candidate so far, or -1; chosen is its backend
	// server.
	best   int
	chosen *backend
}

// sizeHomes computes the number of homes required by demand: the number of concurrent
// calls, by Little's law, divided by the capacity of one backend server at the target
// fill.
func (h *choice) sizeHomes(rate float64) {
	s := &h.router.settings
	size := float64(DefaultMaxBatch)
	if n := h.pool.members[0].member.Spec.MaxBatch; n > 0 {
		size = float64(n)
	}
	needed := rate * h.mean.serviceTime / (size * s.TargetFill)
	h.homes = min(h.version.updateSpread(h.now, needed, s.ShrinkAfter), len(h.pool.members))
	h.callsPerHome = rate / float64(h.homes) * s.DemandHalfLife.Seconds()
	h.decision.Spread = h.homes
}

// weighCandidates weighs the candidates according to the policy.
func (h *choice) weighCandidates() {
	members := h.pool.members
	switch h.router.settings.Policy {
	case PolicyRandom:
		h.weighRandom(maxCandidates, ReasonPolicy)
	case PolicyLeastLoaded:
		for _, b := range members {
			h.weigh(b, ReasonPolicy)
		}
	case PolicyConsistentHash:
		h.eachHome(func(b *backend, _ int) bool {
			h.weigh(b, ReasonPolicy)
			return h.best < 0
		})
	default:
		h.weighResidents()
		h.weighHomes()
		if b := h.shard.prefixHolder(h.view, h.decision.prefix); b != nil && h.view.serving[b.index] {
			h.weigh(b, ReasonDrawn)
		}
		if len(members) <= maxCandidates {
			for _, b := range members {
				h.weigh(b, ReasonDrawn)
			}
		} else {
			h.weighRandom(2, ReasonDrawn)
		}
	}
	if h.best < 0 {
		// All candidates so far were tried before or are suspect; sample more.
		h.weighRandom(maxCandidates, ReasonDrawn)
	}
}

// weighResidents weighs the backend servers on which the version is believed resident.
func (h *choice) weighResidents() {
	const maxWeighed = 5
	v := h.version
	h.residentCount = 0
	if len(v.places) == 0 {
		return
	}
	start := h.shard.random.IntN(len(v.places))
	for i := range v.places {
		p := &v.places[(start+i)%len(v.places)]
		b := h.view.at(p.index, p.generation)
		if b == nil || !h.view.serving[p.index] {
			continue
		}
		h.residentCount++
		if h.residentCount > maxWeighed {
			continue
		}
		reason := ReasonResident
		if p.evidence == evidenceLoading {
			reason = ReasonLoading
		}
		h.weigh(b, reason)
	}
}

// eachHome calls f for each home in rendezvous order until f returns false.
func (h *choice) eachHome(f func(b *backend, i int) bool) {
	v := h.version
	if v.homesPool != h.pool.number {
		v.setHomes(h.pool)
	}
	for i := range int(v.homeCount) {
		b := h.view.slots[v.homes[i]]
		if b != nil && !f(b, i) {
			return
		}
	}
}

// weighHomes weighs the homes required by demand and one spare. A home over its bounded
// load is skipped in favor of the next one (Mirrokni, Thorup and Zadimoghaddam,
// "Consistent hashing with bounded loads", 2018), so that the demand for a version does
// not pile up on one backend server.
func (h *choice) weighHomes() {
	const boundFactor = 1.25
	bound := math.Ceil(boundFactor * (h.mean.depth + 1))
	wanted := h.homes + 1
	h.eachHome(func(b *backend, i int) bool {
		reason := ReasonHome
		if i < h.homes && h.residentCount < h.homes {
			reason = ReasonPioneer
		}
		if h.overBound(b, bound) {
			h.decision.skip(b, ReasonOverBound)
			return true
		}
		h.weigh(b, reason)
		wanted--
		return wanted > 0
	})
}

// overBound reports whether the backend server exceeds both its bounded load and the
// fill target of its batch.
func (h *choice) overBound(b *backend, bound float64) bool {
	if h.decision.includes(b) {
		return false
	}
	c := b.condition(h.now, h.router.settings.ReportHalfLife, h.mean.depth)
	return c.depth >= bound && c.depth >= c.maxBatch*h.router.settings.TargetFill
}

// weighRandom weighs n backend servers chosen at random.
func (h *choice) weighRandom(n int, reason Reason) {
	for range n {
		h.weigh(h.pool.members[h.shard.random.IntN(len(h.pool.members))], reason)
		if reason == ReasonPolicy && h.best >= 0 {
			return
		}
	}
}

// commit makes the best candidate the choice and counts the call there.
func (h *choice) commit() {
	d, b := h.decision, h.chosen
	d.candidates[h.best].Taken = true
	d.Backend, d.Address = b.member.Name, b.member.Spec.Address
	d.Incarnation, d.Epoch = b.member.Spec.Incarnation, b.member.Spec.Epoch
	d.chosen = b
	d.affine = h.shard.prefixHolder(h.view, d.prefix) == b
	if h.call.Version != "" {
		p, made := h.version.findOrAdd(h.view, b, h.now)
		p.pinned++
		if p.pinned == 1 {
			b.countPinned(1)
		}
		if made {
			b.countResidents(1)
			d.loading = true
		}
		d.Cold = p.evidence == evidenceLoading
		d.versionState, d.shard = h.version, h.shard
	}
	b.begin(h.now, d.loading)
}
