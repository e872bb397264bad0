package router

import (
	"slices"
	"time"
)

// Factors by which a load's duration contributes to a score.
const (
	// strayLoadFactor is added for a cold start away from the version's homes: other
	// entries would not find the version there and would have it loaded a second time.
	strayLoadFactor = 1.0
	// queuedLoadFactor is added for each load already waiting there. It is well below
	// one, because loads mostly wait for the store, which is shared by all engines.
	queuedLoadFactor = 0.25
	// evictionFactor is added if a cold start requires the eviction of another version.
	evictionFactor = 0.25
	// slotWaitFactor is the part of a call's duration that a cold start waits for a
	// slot, for each version held by calls in progress in excess of the number of
	// slots.
	slotWaitFactor = 1.0
	// emptyBatchFactor is the cost of an empty batch, and half of the maximum cost of a
	// bad fill. The costs of two fills differ by less than one load, so that with equal
	// weights packing never loads a version that is resident elsewhere.
	emptyBatchFactor = 0.5
	// minRemainingLoadFactor is the minimum remaining part of a load in progress.
	minRemainingLoadFactor = 0.1
)

// skip records a candidate that was not weighed.
func (d *Decision) skip(b *backend, reason Reason) {
	if d.count < maxCandidates && !d.includes(b) {
		d.candidates[d.count] = Candidate{Backend: b.member.Name, Reason: reason}
		d.count++
	}
}

// weigh scores the backend server and makes it the best candidate if its score is
// lowest.
func (h *choice) weigh(b *backend, reason Reason) {
	d, s := h.decision, &h.router.settings
	if d.includes(b) {
		return
	}
	if slices.Contains(h.call.Avoid, b.member.Name) {
		d.skip(b, ReasonTried)
		return
	}
	c := b.condition(h.now, s.ReportHalfLife, h.mean.depth)
	if c.suspect {
		d.skip(b, ReasonSuspect)
		return
	}
	k := Candidate{Backend: b.member.Name, Reason: reason, Wait: h.queueWait(c)}
	switch s.Policy {
	case PolicyMarigold:
		k.Stall = h.stallCost(b, c, reason)
		k.Batch = h.batchCost(c)
		k.Score = s.StallWeight*(k.Stall+k.Wait) + s.BatchWeight*k.Batch + b.distance + h.strayCost(b, reason) - h.prefixSaving(b)
	case PolicyLeastLoaded:
		k.Score = c.depth
	default:
		// The other baselines choose the first candidate they consider.
		k.Score = float64(d.count)
	}
	h.addCandidate(b, k)
}

// addCandidate stores the candidate. If the storage is full, the worse of it and the
// last stored one is dropped.
func (h *choice) addCandidate(b *backend, k Candidate) {
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

// queueWait returns the expected time in the queue, in seconds: each place in a full
// batch is released once per mean duration of a call.
func (h *choice) queueWait(c condition) float64 {
	over := c.depth + 1 - c.maxBatch
	if over <= 0 {
		return 0
	}
	return over / c.maxBatch * h.mean.serviceTime
}

// stallCost returns the expected time until the version is available, plus the cost of
// a cold start to others, in seconds.
func (h *choice) stallCost(b *backend, c condition, reason Reason) float64 {
	if h.call.Version == "" {
		return 0
	}
	load := h.mean.loadTime
	cold := load*(1+queuedLoadFactor*c.loads) + slotWaitFactor*h.mean.serviceTime*max(1-c.room, 0)
	if c.full {
		cold += evictionFactor * load
	}
	p := h.version.find(b)
	switch {
	case p == nil && reason == ReasonPioneer:
		// The cost of the load is shared by the calls that this home will serve.
		return cold / (1 + h.callsPerHome)
	case p == nil:
		return cold
	case p.evidence == evidenceLoading:
		passed := time.Duration(h.now.UnixNano() - p.at).Seconds()
		return max(load-passed, minRemainingLoadFactor*load)
	default:
		return (1 - p.certainty(h.now, h.router.settings.ResidencyHalfLife)) * cold
	}
}

// strayCost returns the cost to other entries of a cold start away from the version's
// homes. It is scaled by the larger of the two weights, so that this entry's own
// preferences rarely outweigh it.
func (h *choice) strayCost(b *backend, reason Reason) float64 {
	if h.call.Version == "" || reason == ReasonHome || reason == ReasonPioneer || h.version.find(b) != nil {
		return 0
	}
	s := &h.router.settings
	return strayLoadFactor * h.mean.loadTime * max(s.StallWeight, s.BatchWeight)
}

// batchCost returns the engine time wasted by placing the call there, in seconds. Up to
// the target fill an emptier batch costs more; beyond it every placement costs more
// than an empty batch, so that calls are packed up to the target and then spill over.
func (h *choice) batchCost(c condition) float64 {
	worst := emptyBatchFactor * min(h.mean.loadTime, h.mean.serviceTime)
	target := h.router.settings.TargetFill
	fill := (c.depth + 1) / c.maxBatch
	if fill <= target {
		return worst * (1 - fill/target)
	}
	return worst * (1 + min((fill-target)/max(1-target, 0.01), 1))
}

// prefixSaving returns the expected computation time saved by a cached prefix, in
// seconds. It is scaled by the measured hit rate, because evictions from the cache are
// reported late or never.
func (h *choice) prefixSaving(b *backend) float64 {
	if h.shard.prefixHolder(h.view, h.decision.prefix) != b {
		return 0
	}
	return h.mean.hitRate * float64(h.call.PromptTokens) / h.router.settings.PrefillRate
}
