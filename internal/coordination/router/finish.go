package router

import "time"

// CallResult is what a call's end teaches.
type CallResult struct {
	// Served means that the version answered, so that it is resident.
	Served bool
	// LoadFailed means that the version could not be loaded there.
	LoadFailed bool
	// Stall is the time that the call waited for a load; 0 for none.
	Stall time.Duration
	// CachedTokens is the part of the prompt that the engine found in its cache.
	CachedTokens int64
	// Ran is the time that the call ran, without its waits.
	Ran time.Duration
}

// RecordAnswerStart takes in that the version answers the call: it is resident.
func (r *Router) RecordAnswerStart(now time.Time, d *Decision) {
	if d.chosen == nil || d.known == nil {
		return
	}
	d.shard.mu.Lock()
	defer d.shard.mu.Unlock()
	d.confirm(now)
}

// confirm marks the place as certain. The caller holds the shard's lock.
func (d *Decision) confirm(now time.Time) {
	if p := d.known.find(d.chosen); p != nil {
		p.evidence = evidenceAnswer
		p.at = now.UnixNano()
	}
	if d.loading {
		d.loading = false
		d.chosen.loaded()
	}
}

// Finish ends the call that Choose counted. A decision without a choice is left
// as it is.
func (r *Router) Finish(now time.Time, d *Decision, e CallResult) {
	b := d.chosen
	if b == nil {
		return
	}
	if e.Served {
		b.averages.sampleCall(e.Stall, e.Ran)
		if d.affine {
			b.averages.samplePrefix(e.CachedTokens > 0)
		}
	}
	if d.known != nil {
		d.finishVersion(now, e)
	}
	b.finish(now, d.loading)
	d.chosen, d.known, d.loading = nil, nil, false
}

func (d *Decision) finishVersion(now time.Time, e CallResult) {
	d.shard.mu.Lock()
	defer d.shard.mu.Unlock()
	if e.Served {
		d.confirm(now)
	}
	if p := d.known.find(d.chosen); p != nil {
		p.pinned--
		if p.pinned == 0 {
			d.chosen.countPinned(-1)
		}
		if e.LoadFailed || p.pinned == 0 && p.evidence == evidenceLoading {
			d.known.drop(d.chosen, p)
		}
	}
	if e.Served && d.prefix != 0 {
		d.shard.remember(d.chosen, d.prefix)
	}
}

// drop ends a belief; calls still in flight there keep their count.
func (v *version) drop(b *backend, p *place) {
	if p.pinned > 0 {
		p.evidence = evidenceLoading
		return
	}
	v.remove(b)
	b.countResidents(-1)
}
