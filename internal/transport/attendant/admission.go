package attendant

import (
	"context"
	"fmt"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/cacher"
	"marigoldpoint.example/marigoldpoint/internal/coordination/estimator"
	"marigoldpoint.example/marigoldpoint/internal/coordination/loader"
	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// admission is a request that waits for its adapter or has been admitted. Its fields are
// guarded by Attendant.mu.
type admission struct {
	msg  messenger.Admit
	conn *messenger.Conn
	// version is the adapter version that the request gets, and name its name in the slot
	// table; name is empty if the request needs no adapter.
	version uint64
	name    string
	// inTable reports whether the slot table has a request for this admission.
	inTable bool
	// done is closed when the wait ends; refused then holds the reason if it failed.
	done     chan struct{}
	admitted bool
	refused  *messenger.Refusal
	started  time.Time
	// replacedAt is when a newer version than that of a waiting request became known; zero means
	// that there is none.
	replacedAt time.Time
	// prompt is the memory that the prompt takes once it is admitted.
	prompt cacher.Use
	// grantedAt is when the request was admitted.
	grantedAt time.Time
	// postponement is set if the prefill is or was postponed while the machine was slowed.
	postponement postponement
	// arrival increases with each request, and rationed means that the request waits by rank
	// and is refused as soon as it would wait until after its deadline.
	arrival  uint64
	rationed bool
	// expected is the expectation for which a rationed request was refused.
	expected *expectation
}

// earlyReleaseRetention is how long a release that arrived before its admission is kept.
const earlyReleaseRetention = 5 * time.Second

// admit waits until the request's adapter is ready, for at most m.WaitMillis.
func (a *Attendant) admit(ctx context.Context, conn *messenger.Conn, m messenger.Admit) (any, error) {
	adm, refusal := a.register(conn, m) //nolint:contextcheck // Orders outlive the request that led to them.
	if refusal != nil {
		a.metrics.refused.Inc()
		return nil, refusal
	}
	timer := time.NewTimer(time.Duration(m.WaitMillis) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-adm.done:
	case <-timer.C:
	case <-ctx.Done():
	case <-a.root.Done():
	}
	return a.result(adm) //nolint:contextcheck // Orders outlive the request that led to them.
}

// result returns the outcome of the wait. A request that is still waiting is removed and
// refused.
func (a *Attendant) result(adm *admission) (any, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	waited := a.settings.Now().Sub(adm.started)
	switch {
	case adm.admitted:
		a.metrics.waited.Observe(waited.Seconds())
		return messenger.Admitted{Version: adm.version}, nil
	case adm.refused == nil:
		a.remove(adm)
		adm.refused = messenger.NewRefusal(messenger.ReasonDeadline, "the adapter was not ready in time")
	}
	a.metrics.refused.Inc()
	adm.expected.addTo(a.settings.Log.Info()).Str("Request", adm.msg.Request).Str("Version", adm.name).Dur("Waited", waited).
		Str("Reason", adm.refused.Detail).Int("Guests", len(a.admissions)).Msg("not admitted")
	return nil, adm.refused
}

// register records a request, and admits it at once if its adapter is loaded.
func (a *Attendant) register(conn *messenger.Conn, m messenger.Admit) (*admission, *messenger.Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.releaseOnDisconnect(conn)
	now := a.settings.Now()
	if _, released := a.earlyReleases[m.Request]; released {
		delete(a.earlyReleases, m.Request)
		return nil, messenger.NewRefusal(messenger.ReasonCancelled, "released before it was admitted")
	}
	switch {
	case a.closed:
		return nil, messenger.NewRefusal(messenger.ReasonStopping, "the companion stops")
	case a.table == nil || !a.reachable:
		return nil, messenger.NewRefusal(messenger.ReasonUnavailable, "the engine was not seen lately")
	case m.Incarnation != "" && a.incarnation != "" && m.Incarnation != a.incarnation:
		return nil, messenger.NewRefusal(messenger.ReasonStaleEpoch, "another life of the engine")
	case m.Model != "" && !a.report.hasModel(m.Model) && a.orderedModel != m.Model:
		return nil, messenger.NewRefusal(messenger.ReasonUnavailable, "the engine does not hold the model")
	case a.admissions[m.Request] != nil:
		return nil, messenger.NewRefusal(messenger.ReasonMalformed, "the request is admitted already")
	}
	if m.Limit != nil {
		a.recordLimit(*m.Limit, now)
	}
	if refusal := a.checkExpectedWait(m, now); refusal != nil {
		return nil, refusal
	}
	if refusal := a.checkExpectedPrefill(m, now); refusal != nil {
		return nil, refusal
	}
	adm := &admission{msg: m, conn: conn, done: make(chan struct{}), started: now}
	a.enroll(adm)
	a.admissions[m.Request] = adm
	a.markChanged()
	if m.Adapter != "" {
		adm.version = max(m.Version, a.settings.View().Newest(adapterName(m.Model, m.Adapter)))
		adm.name = versionName(m.Model, m.Adapter, adm.version)
	}
	// A request that is refused must not cause a load.
	if a.refuseOverloaded(now); adm.refused != nil {
		return adm, nil
	}
	if m.Adapter == "" {
		a.blocked[m.Request] = adm
		a.admitReady(now)
	} else {
		a.requestSlot(adm, now)
	}
	a.refuseHopeless(now)
	return adm, nil
}

// checkExpectedWait refuses a request that would wait much longer here than its entry
// expected from an outdated engine state, so that the entry can choose another engine. The
// caller holds mu.
func (a *Attendant) checkExpectedWait(m messenger.Admit, now time.Time) *messenger.Refusal {
	turn := a.turn(m, now)
	if !m.Movable || m.Adapter == "" && turn == 0 && m.MaxExcessMillis == 0 {
		return nil
	}
	name, version := "", uint64(0)
	if m.Adapter != "" {
		name = adapterName(m.Model, m.Adapter)
		version = max(m.Version, a.settings.View().Newest(name))
	}
	state := a.fullState()
	wait, exceeded := placer.CheckExpectedWait(&state, name, version, turn, time.Duration(m.ExpectedMillis)*time.Millisecond)
	if m.MaxExcessMillis > 0 {
		exceeded = exceedsPrefill(m, wait)
	}
	if !exceeded {
		return nil
	}
	r := messenger.NewRefusal(messenger.ReasonMisled, "the request would wait much longer than expected")
	r.RetryAfterMillis = wait.Milliseconds()
	a.recordReturn(&m, returnWait, wait, a.expectPrefill(&m, now), now)
	return r
}

// requestSlot requests the admission's version from the slot table once the model is loaded
// and no other version of the adapter occupies a slot. The caller holds mu.
func (a *Attendant) requestSlot(adm *admission, now time.Time) {
	if !a.report.hasModel(adm.msg.Model) {
		a.blocked[adm.msg.Request] = adm
		return
	}
	for _, r := range a.table.Residencies(nil) {
		model, adapter, version := splitVersion(r.Version)
		if model != adm.msg.Model || adapter != adm.msg.Adapter || version == adm.version {
			continue
		}
		if version > adm.version {
			adm.version, adm.name = version, r.Version
			continue
		}
		a.blocked[adm.msg.Request] = adm
		a.replaceVersion(r.Version, now)
		return
	}
	delete(a.blocked, adm.msg.Request)
	adm.inTable = true
	a.apply(a.table.Want(now, loader.Want{
		Request: adm.msg.Request, Workspace: adm.msg.Model, Share: 1, Version: adm.name, Source: adm.name,
		Due:  adm.started.Add(time.Duration(adm.msg.SlackMillis) * time.Millisecond),
		Rank: adm.rank(), Ranked: adm.rationed,
	}))
	a.admitReady(now)
}

// replaceVersion makes the table free the slot of a version. Requests that wait for that
// version are moved to the newest one. The caller holds mu.
func (a *Attendant) replaceVersion(version string, now time.Time) {
	for _, adm := range a.admissions {
		if adm.name == version && adm.inTable && !adm.admitted {
			adm.inTable = false
			a.apply(a.table.Release(now, adm.msg.Request))
			adm.version = max(adm.version, a.settings.View().Newest(adapterName(adm.msg.Model, adm.msg.Adapter)))
			adm.name = versionName(adm.msg.Model, adm.msg.Adapter, adm.version)
			a.blocked[adm.msg.Request] = adm
		}
	}
	a.apply(a.table.Replace(now, version))
}

// admitReady admits the requests whose version is loaded and whose turn has come, and
// requests a slot for those that are no longer blocked by an earlier version or a missing
// model. The caller holds mu.
func (a *Attendant) admitReady(now time.Time) {
	if a.regulator.Limit().Named {
		a.admitInTurn(now)
	} else {
		for _, adm := range a.admissions {
			if !a.postpones(adm, now) && a.pin(adm) {
				a.grant(adm, now)
			}
		}
	}
	for _, adm := range a.blocked {
		if adm.msg.Adapter != "" && a.report.hasModel(adm.msg.Model) && !a.hasOtherVersion(adm) {
			a.requestSlot(adm, now)
		}
	}
}

// pin reports whether a request still waits and its model and version are loaded. The
// version then stays loaded. The caller holds mu.
func (a *Attendant) pin(adm *admission) bool {
	switch {
	case adm.admitted, adm.refused != nil:
		return false
	case adm.msg.Adapter == "":
		return a.report.hasModel(adm.msg.Model)
	default:
		return adm.inTable && a.table.Pin(adm.msg.Request)
	}
}

// hasOtherVersion reports whether another version of the adapter occupies a slot. The
// caller holds mu.
func (a *Attendant) hasOtherVersion(adm *admission) bool {
	if adm.msg.Adapter == "" {
		return false
	}
	for _, r := range a.table.Residencies(nil) {
		model, adapter, version := splitVersion(r.Version)
		if model == adm.msg.Model && adapter == adm.msg.Adapter && version != adm.version {
			return true
		}
	}
	return false
}

// grant admits the request. The caller holds mu.
func (a *Attendant) grant(adm *admission, now time.Time) {
	adm.admitted, adm.grantedAt = true, now
	delete(a.blocked, adm.msg.Request)
	a.shortage.recordGrant(adm, now)
	a.recordPostponement(adm, now)
	a.beginPrompt(adm)
	uncached := a.cache.prefill(adm.msg, adm.version)
	usual := placer.ReadTime(uncached, adm.msg.Tokens, a.prefillRate(&adm.msg))
	a.prefills.Add(now, usual, a.speed.Factor(now))
	a.recordLongPrompt(now, usual)
	a.markChanged()
	close(adm.done)
}

// refuse ends the wait of a request with a refusal. The caller holds mu.
func (a *Attendant) refuse(adm *admission, r *messenger.Refusal) {
	if adm.inTable {
		adm.inTable = false
		a.apply(a.table.Release(a.settings.Now(), adm.msg.Request))
	}
	delete(a.admissions, adm.msg.Request)
	delete(a.blocked, adm.msg.Request)
	adm.refused = r
	close(adm.done)
}

// release ends an admission, or cancels the wait for it. A release that arrives first is
// kept for earlyReleaseRetention.
func (a *Attendant) release(request string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	adm := a.admissions[request]
	if adm == nil {
		a.earlyReleases[request] = a.settings.Now()
		return
	}
	if !adm.admitted {
		a.remove(adm)
		adm.refused = messenger.NewRefusal(messenger.ReasonCancelled, "released while it waited")
		close(adm.done)
		return
	}
	a.remove(adm)
}

// remove deletes an admission and releases its slot. The caller holds mu.
func (a *Attendant) remove(adm *admission) {
	delete(a.admissions, adm.msg.Request)
	delete(a.blocked, adm.msg.Request)
	if adm.admitted {
		a.memory.End(adm.prompt)
	}
	a.markChanged()
	if adm.inTable {
		now := a.settings.Now()
		actions := a.table.Release(now, adm.msg.Request)
		a.recordRelease(adm, now)
		a.apply(actions)
		a.admitReady(now)
		a.refuseOverloaded(now)
	}
}

// backlogMillis returns the expected time to prefill the prompts admitted so far, in
// milliseconds. The caller holds mu.
func (a *Attendant) backlogMillis() int {
	now := a.settings.Now()
	return int(a.prefills.Left(now, a.speed.Factor(now)).Milliseconds())
}

// waitingMillis returns the expected time to prefill the prompts of the waiting requests,
// in milliseconds. The caller holds mu.
func (a *Attendant) waitingMillis() int {
	var prefill time.Duration
	for _, adm := range a.admissions {
		if !adm.admitted {
			prefill += a.usualPrefill(adm)
		}
	}
	return int(estimator.Scale(prefill, a.speed.Factor(a.settings.Now())).Milliseconds())
}

func loadRefusal(f loader.FailAction) *messenger.Refusal {
	r := messenger.NewRefusal(messenger.ReasonLoadFailed, fmt.Sprintf("%s: %s", f.Version, f.Cause))
	r.RetryAfterMillis = f.RetryAfter.Milliseconds()
	return r
}
