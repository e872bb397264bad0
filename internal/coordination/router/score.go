package router

import (
	"slices"
	"time"
)

// Shares of a load's time that belong to a score.
const (
	// strayShare is added for a cold start away from the version's homes: other
	// entries wouldn't find it there, and would have it loaded a second time.
	strayShare = 1.0
	// laneShare is added for each load that waits there already. It is well under
	// one, since what loads mostly wait for is the store, which all share.
	laneShare = 0.25
	// evictShare is added where a cold start needs another version evicted.
	evictShare = 0.25
	// pinShare is the part of a call's time that a cold start waits for a slot,
	// for each version more than there are slots that calls in progress hold.
	pinShare = 1.0
	// batchShare is what an empty batch costs, and half of the worst that a bad
	// fill does. Two fills differ by less than one load, so that with equal
	// weights the wish to pack never loads a version that is resident elsewhere.
	batchShare = 0.5
	// lastShare is what is always left of a load in progress.
	lastShare = 0.1
)

// pass notes a candidate that wasn't weighed.
func (d *Decision) pass(b *backend, reason Reason) {
	if d.count < maxCandidates && !d.has(b) {
		d.candidates[d.count] = Candidate{Backend: b.member.Name, Reason: reason}
		d.count++
	}
}

// weigh scores the backend server, and keeps it as the best where it is.
func (h *choice) weigh(b *backend, reason Reason) {
	d, s := h.decision, &h.router.settings
	if d.has(b) {
		return
	}
	if slices.Contains(h.call.Avoid, b.member.Name) {
		d.pass(b, ReasonTried)
		return
	}
	c := b.condition(h.now, s.ReportHalfLife, h.mean.depth)
	if c.suspect {
		d.pass(b, ReasonSuspect)
		return
	}
	k := Candidate{Backend: b.member.Name, Reason: reason, Wait: h.wait(c)}
	switch s.Policy {
	case PolicyMarigold:
		k.Stall = h.stall(b, c, reason)
		k.Batch = h.batch(c)
		k.Score = s.StallWeight*(k.Stall+k.Wait) + s.BatchWeight*k.Batch + b.distance + h.stray(b, reason) - h.cached(b)
	case PolicyLeastLoaded:
		k.Score = c.depth
	default:
		// The other baselines take what they look at first.
		k.Score = float64(d.count)
	}
	h.keep(b, k)
}

// keep notes the candidate. Where all storage is used, the worse of it and the
// last one noted is dropped.
func (h *choice) keep(b *backend, k Candidate) {
	d := h.decision
	better := h.best < 0 || k.Score < d.candidates[h.best].Score
	if d.count == maxCandidates {
		if !better {
			return
		}
		d.count--
		if h.best == d.count {
			d.candidates[0], d.candidates[d.count] = d.candidates[d.count], d.candidates[0]
		}
	}
	d.candidates[d.count] = k
	if better {
		h.best, h.chosen = d.count, b
	}
	d.count++
}

// wait is the expected time in the queue: each place in a full batch becomes
// free once in the time that a call runs.
func (h *choice) wait(c condition) float64 {
	over := c.depth + 1 - c.maxBatch
	if over <= 0 {
		return 0
	}
	return over / c.maxBatch * h.mean.serviceTime
}

// stall is the expected time until the version is there, and what a cold start
// costs others.
func (h *choice) stall(b *backend, c condition, reason Reason) float64 {
	if h.call.Version == "" {
		return 0
	}
	load := h.mean.loadTime
	cold := load*(1+laneShare*c.loads) + pinShare*h.mean.serviceTime*max(1-c.room, 0)
	if c.full {
		cold += evictShare * load
	}
	p := h.version.find(b)
	switch {
	case p == nil && reason == ReasonPioneer:
		// The calls that this home will serve share the cost of its load.
		return cold / (1 + h.worth)
	case p == nil:
		return cold
	case p.evidence == evidenceLoading:
		passed := time.Duration(h.now.UnixNano() - p.at).Seconds()
		return max(load-passed, lastShare*load)
	default:
		return (1 - p.certainty(h.now, h.router.settings.ResidencyHalfLife)) * cold
	}
}

// stray is what a cold start away from the version's homes costs the other
// entries. It counts by the larger weight, so that no wish of this entry's own
// outweighs it lightly.
func (h *choice) stray(b *backend, reason Reason) float64 {
	if h.call.Version == "" || reason == ReasonHome || reason == ReasonPioneer || h.version.find(b) != nil {
		return 0
	}
	s := &h.router.settings
	return strayShare * h.mean.loadTime * max(s.StallWeight, s.BatchWeight)
}

// batch is the engine time wasted by placing the call there. Up to the target
// the emptier batch costs more; past the target each costs more than an empty
// one, so that calls are packed to the target and then spill.
func (h *choice) batch(c condition) float64 {
	worst := batchShare * min(h.mean.loadTime, h.mean.serviceTime)
	target := h.router.settings.TargetFill
	fill := (c.depth + 1) / c.maxBatch
	if fill <= target {
		return worst * (1 - fill/target)
	}
	return worst * (1 + min((fill-target)/max(1-target, 0.01), 1))
}

// cached is the prompt's computation that a cached prefix saves, by how often
// such a belief held lately: what the cache dropped is told late or never.
func (h *choice) cached(b *backend) float64 {
	if h.shard.holder(h.view, h.decision.prefix) != b {
		return 0
	}
	return h.mean.hits * float64(h.call.PromptTokens) / h.router.settings.PrefillRate
}
