package router

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Choose picks the backend server for the call and counts the call as in flight
// there until Finish. It writes into d and allocates nothing, unless the
// version is new to the router. Errors are ErrNoBackend and ErrNoneAvailable; d then
// holds the candidates passed, and needs no Finish.
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
	ch.spread(rate)
	ch.gather()
	if ch.best < 0 {
		return ErrNoneAvailable
	}
	ch.take()
	return nil
}

// choice is one choice under way.
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
	// placed counts the places that still hold; homes is the number that
	// demand calls for, and worth the calls that one more would serve.
	placed int
	homes  int
	worth  float64
	// best is the position of the best candidate so far, or -1, and chosen its
	// backend server.
	best   int
	chosen *backend
}

// spread works out how many homes the demand needs: the calls in progress at
// once, by Little's law, over what one backend server takes at the target fill.
func (h *choice) spread(rate float64) {
	s := &h.router.settings
	size := float64(DefaultMaxBatch)
	if n := h.pool.members[0].member.Spec.MaxBatch; n > 0 {
		size = float64(n)
	}
	needed := rate * h.mean.serviceTime / (size * s.TargetFill)
	h.homes = min(h.version.spreadTo(h.now, needed, s.ShrinkAfter), len(h.pool.members))
	h.worth = rate / float64(h.homes) * s.DemandHalfLife.Seconds()
	h.decision.Spread = h.homes
}

// gather weighs the candidates.
func (h *choice) gather() {
	members := h.pool.members
	switch h.router.settings.Policy {
	case PolicyRandom:
		h.drawn(maxCandidates, ReasonPolicy)
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
		h.residents()
		h.bounded()
		if b := h.shard.holder(h.view, h.decision.prefix); b != nil && h.view.serving[b.index] {
			h.weigh(b, ReasonDrawn)
		}
		if len(members) <= maxCandidates {
			for _, b := range members {
				h.weigh(b, ReasonDrawn)
			}
		} else {
			h.drawn(2, ReasonDrawn)
		}
	}
	if h.best < 0 {
		// All that were looked at are tried or suspect; look at some more.
		h.drawn(maxCandidates, ReasonDrawn)
	}
}

// residents weighs the backend servers where the version is believed to be.
func (h *choice) residents() {
	const most = 5
	v := h.version
	h.placed = 0
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
		h.placed++
		if h.placed > most {
			continue
		}
		reason := ReasonResident
		if p.evidence == evidenceLoading {
			reason = ReasonLoading
		}
		h.weigh(b, reason)
	}
}

// eachHome calls f with the homes in their order until f returns false.
func (h *choice) eachHome(f func(b *backend, i int) bool) {
	v := h.version
	if v.homesOf != h.pool.number {
		v.setHomes(h.pool)
	}
	for i := range int(v.homeCount) {
		b := h.view.slots[v.homes[i]]
		if b != nil && !f(b, i) {
			return
		}
	}
}

// bounded weighs the homes that demand calls for and one to spare. A home with
// more than its bounded load is passed for the next one (Mirrokni, Thorup and
// Zadimoghaddam, "Consistent hashing with bounded loads", 2018), so that no
// version's demand piles up on one backend server.
func (h *choice) bounded() {
	const boundFactor = 1.25
	bound := math.Ceil(boundFactor * (h.mean.depth + 1))
	wanted := h.homes + 1
	h.eachHome(func(b *backend, i int) bool {
		reason := ReasonHome
		if i < h.homes && h.placed < h.homes {
			reason = ReasonPioneer
		}
		if h.over(b, bound) {
			h.decision.pass(b, ReasonOverBound)
			return true
		}
		h.weigh(b, reason)
		wanted--
		return wanted > 0
	})
}

// over reports whether the backend server is over its bound and the batch that
// it may be packed to.
func (h *choice) over(b *backend, bound float64) bool {
	if h.decision.has(b) {
		return false
	}
	c := b.condition(h.now, h.router.settings.ReportHalfLife, h.mean.depth)
	return c.depth >= bound && c.depth >= c.maxBatch*h.router.settings.TargetFill
}

// drawn weighs n backend servers drawn at random.
func (h *choice) drawn(n int, reason Reason) {
	for range n {
		h.weigh(h.pool.members[h.shard.random.IntN(len(h.pool.members))], reason)
		if reason == ReasonPolicy && h.best >= 0 {
			return
		}
	}
}

// take makes the best candidate the choice.
func (h *choice) take() {
	d, b := h.decision, h.chosen
	d.candidates[h.best].Taken = true
	d.Backend, d.Address = b.member.Name, b.member.Spec.Address
	d.Incarnation, d.Epoch = b.member.Spec.Incarnation, b.member.Spec.Epoch
	d.chosen = b
	d.affine = h.shard.holder(h.view, d.prefix) == b
	if h.call.Version != "" {
		p, made := h.version.ensure(h.view, b, h.now)
		p.pinned++
		if p.pinned == 1 {
			b.countPinned(1)
		}
		if made {
			b.countResidents(1)
			d.loading = true
		}
		d.Cold = p.evidence == evidenceLoading
		d.known, d.shard = h.version, h.shard
	}
	b.begin(h.now, d.loading)
}
