package router

import "time"

// CallResult describes how a call ended.
type CallResult struct {
	// Served reports that the version answered, so it is resident.
	Served bool
	// LoadFailed reports that the version could not be loaded there.
	LoadFailed bool
	// Stall is the time that the call waited for a load; 0 if it did not wait.
	Stall time.Duration
	// CachedTokens is the number of prompt tokens that the engine found in its cache.
	CachedTokens int64
	// Ran is the time that the call ran, excluding waits.
	Ran time.Duration
}

// RecordAnswerStart records that the version has begun to answer the call and is
// therefore resident.
func (r *Router) RecordAnswerStart(now time.Time, d *Decision) {
	if d.chosen == nil || d.versionState == nil {
		return
	}
	d.shard.mu.Lock()
	defer d.shard.mu.Unlock()
	d.confirm(now)
}

// confirm records that the version is certainly resident. The caller holds the shard's
// lock.
func (d *Decision) confirm(now time.Time) {
	if p := d.versionState.find(d.chosen); p != nil {
		p.evidence = evidenceAnswer
		p.at = now.UnixNano()
	}
	if d.loading {
		d.loading = false
		d.chosen.finishLoad()
	}
}

// Finish ends the call that Choose counted. It has no effect on a decision without a
// choice.
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
	if d.versionState != nil {
		d.finishVersion(now, e)
	}
	b.finish(now, d.loading)
	d.chosen, d.versionState, d.loading = nil, nil, false
}

func (d *Decision) finishVersion(now time.Time, e CallResult) {
	d.shard.mu.Lock()
	defer d.shard.mu.Unlock()
	if e.Served {
		d.confirm(now)
	}
	if p := d.versionState.find(d.chosen); p != nil {
		p.pinned--
		if p.pinned == 0 {
			d.chosen.countPinned(-1)
		}
		if e.LoadFailed || p.pinned == 0 && p.evidence == evidenceLoading {
			d.versionState.dropPlace(d.chosen, p)
		}
	}
	if e.Served && d.prefix != 0 {
		d.shard.recordPrefix(d.chosen, d.prefix)
	}
}

// dropPlace removes a place. If calls are still in flight there, it only marks the
// place as loading, so that their count is kept.
func (v *version) dropPlace(b *backend, p *place) {
	if p.pinned > 0 {
		p.evidence = evidenceLoading
		return
	}
	v.remove(b)
	b.countResidents(-1)
}
