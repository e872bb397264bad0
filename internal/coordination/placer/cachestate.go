package placer

import (
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/cacher"
)

// CacheState is a companion's report on the prompt parts that its engine has cached. The first
// report to an entry is whole; later ones carry only what has changed.
type CacheState struct {
	_ struct{} `cbor:",toarray"`
	// Name and Incarnation identify the engine; deltas omit them.
	Name        string
	Incarnation string
	// Sequence increases by one with each report of one companion process to a group of
	// entries; Life increases with each incarnation of the companion.
	Life     uint64
	Sequence uint64
	Update   cacher.Update
}

// promptReport is what a companion has reported about its engine's cache.
type promptReport struct {
	life, sequence uint64
	estimate       cacher.Estimate
	// transferUntil is the end of the fetches to or from the engine that this entry has asked
	// for; an engine makes one transfer after the other.
	transferUntil time.Time
}

// apply applies a report, and reports whether the cache is known afterwards.
func (r *promptReport) apply(now time.Time, s CacheState) bool {
	if s.Life < r.life || s.Life == r.life && s.Sequence <= r.sequence {
		return true
	}
	if !s.Update.Whole && (s.Life != r.life || s.Sequence != r.sequence+1) {
		r.estimate.Clear()
		r.life, r.sequence = 0, 0
		return false
	}
	r.life, r.sequence = s.Life, s.Sequence
	r.estimate.Apply(now, s.Update)
	return true
}

// ReportCache applies a companion's report on the cache of its engine. It reports whether the
// cache is known; if it is not, because a report was lost or is from another incarnation, the
// caller must request the complete state.
func (p *Placer) ReportCache(now time.Time, service string, s CacheState) bool {
	o := p.pool(service)
	o.mu.Lock()
	defer o.mu.Unlock()
	b := o.find(s.Name)
	if b == nil || s.Incarnation != "" && b.member.Spec.Incarnation != s.Incarnation {
		return false
	}
	return b.prompts.apply(now, s)
}
