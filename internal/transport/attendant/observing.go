package attendant

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/loader"
	"marigoldpoint.example/marigoldpoint/internal/coordination/pacer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/separator"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

// observe polls the engine until Close, and orders its model if it is missing.
func (a *Attendant) observe() {
	timer := time.NewTicker(a.settings.ObserveInterval)
	defer timer.Stop()
	for {
		a.refresh()
		if a.isModelLoading() {
			// Requests are waiting for the model.
			timer.Reset(a.settings.LoadPollInterval)
		} else {
			timer.Reset(a.settings.ObserveInterval)
		}
		select {
		case <-a.root.Done():
			return
		case <-timer.C:
		case <-a.wakeup:
		}
	}
}

func (a *Attendant) isModelLoading() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.orderedModel != ""
}

// fetchReport requests the engine's report, with OrderTimeout.
func (a *Attendant) fetchReport() (Report, error) {
	ctx, cancel := context.WithTimeout(a.root, a.settings.OrderTimeout)
	defer cancel()
	r, err := a.settings.Engine.Report(ctx)
	return r, errors.Trace(err)
}

// refresh polls the engine and updates the slot table from its report.
func (a *Attendant) refresh() {
	member, known := a.settings.View().Member(a.settings.Name)
	a.mu.Lock()
	var sequence uint64
	if a.table != nil {
		sequence = a.table.Sequence()
	}
	held := a.memory.Snapshot()
	a.mu.Unlock()
	sentAt := a.settings.Now()
	r, err := a.fetchReport()
	reopened := err == nil && a.hasReopened(member.Spec.Incarnation)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.contact.recordReport(sentAt, err)
	if reopened {
		a.contact.recordPresence(sentAt, PresenceAccepts)
	}
	wasReachable := a.reachable
	a.reachable = err == nil
	if err != nil {
		if wasReachable {
			a.settings.Log.Warn().Err(err).Msg("engine not reachable")
		}
		return
	}
	if !wasReachable {
		a.settings.Log.Info().Uint64("Sequence", r.Sequence).Int("Models", len(r.Models)).Msg("engine reachable")
	}
	now := a.settings.Now()
	if known && member.Spec.State != storer.MemberStateServing {
		a.refuseWaiting()
	}
	a.applyReport(now, r, member, known, sequence)
	a.applyMemory(r, held)
	a.recordReportedLimit(sentAt, now, r.Limit)
	a.followVersions(now)
	a.admitReady(now)
	a.shortage.reportedAt = now
	a.refuseOverloaded(now)
	for request, at := range a.earlyReleases {
		if now.Sub(at) > earlyReleaseRetention {
			delete(a.earlyReleases, request)
		}
	}
}

// refuseWaiting refuses the waiting requests at an engine that is leaving: their wait could
// end after the engine has stopped accepting requests. The caller holds mu.
func (a *Attendant) refuseWaiting() {
	for _, adm := range a.admissions {
		if !adm.admitted {
			a.refuse(adm, messenger.NewRefusal(messenger.ReasonStopping, "the engine leaves"))
		}
	}
}

// applyReport updates the slot table and the model from a report. Sequence is the table's
// sequence from before the report was requested. The caller holds mu.
func (a *Attendant) applyReport(now time.Time, r Report, member tracker.Member, known bool, sequence uint64) {
	engine := a.engineConfig(member, known)
	if engine == nil {
		a.preloadModel(r)
		return
	}
	restarted := a.restarted(r, member)
	a.incarnation, a.epoch = member.Spec.Incarnation, max(a.epoch, member.Spec.Epoch)
	if len(r.Models) != len(a.report.Models) {
		a.markChanged()
	}
	a.report = r
	if r.hasModel(a.orderedModel) {
		a.orderedModel = ""
	}
	switch {
	case a.table == nil:
		a.initTable(now, r, engine)
	case restarted:
		a.settings.Log.Warn().Str("Incarnation", a.incarnation).Msg("engine restarted")
		a.cache.clear()
		a.clearCache()
		a.forgetLimit()
		a.forgetSpeed()
		a.longPrompts.share = separator.Share{}
		a.shortage.forget()
		a.evicted = nil
		a.localEntries.requireFull()
		a.remoteEntries.requireFull()
		a.apply(a.table.Restarted(now))
	default:
		a.apply(a.table.Observe(now, sequence, observedSlots(r)))
		a.apply(a.table.Tick(now))
	}
	if len(r.Models) > 0 {
		a.previousModel = r.Models[0].Name
	}
	if model := a.targetModel(engine); model != "" && !r.hasModel(model) && !r.Busy {
		a.orderedModel = model
		a.spawnLocked(func() { a.loadModel(model) })
	}
}

// restarted reports whether the engine has restarted since the last poll. The start time
// that the engine reports is the most reliable sign: the membership is updated later, and
// the number of orders may already exceed that of the previous incarnation. The caller
// holds mu.
func (a *Attendant) restarted(r Report, member tracker.Member) bool {
	if r.Born > 0 && a.report.Born > 0 {
		return r.Born != a.report.Born
	}
	return a.incarnation != "" && member.Spec.Incarnation != a.incarnation || r.Sequence < a.report.Sequence
}

// preloadModel orders an empty engine to load the only model on its host's disk, before the
// deployment is known. The caller holds mu.
//
// After a power loss, companion and engine start empty, and the companion receives the
// model that the engine serves only when control is back, most of a second later. The load
// takes another half second, during which all requests wait. An engine whose current
// incarnation has accepted an order gets none: the sender of that order may have had the
// deployment.
func (a *Attendant) preloadModel(r Report) {
	if r.hasModel(a.orderedModel) {
		a.orderedModel = ""
	}
	if a.table != nil || a.orderedModel != "" || r.Busy || r.Sequence > 0 || len(r.Models) > 0 || len(r.OnDisk) != 1 {
		return
	}
	model := r.OnDisk[0]
	a.orderedModel = model
	a.spawnLocked(func() { a.loadModel(model) })
}

// engineConfig returns the configuration of the member's engine, or nil if it is not known.
func (a *Attendant) engineConfig(member tracker.Member, known bool) *tracker.Engine {
	routing := a.settings.View().Routing
	if !known || routing == nil {
		return nil
	}
	service := routing.Service(member.Spec.Service)
	if service == nil {
		return nil
	}
	return service.Engine
}

// initTable creates the slot table, the pacer and the prompt cache from the first report.
// The caller holds mu.
func (a *Attendant) initTable(now time.Time, r Report, engine *tracker.Engine) {
	a.table = loader.NewTable(loader.Settings{
		Slots:           max(1, engine.MaxAdapters),
		HalfLife:        a.settings.HalfLife,
		SlotWaitTimeout: a.settings.SlotWaitTimeout,
		AssumedLoadTime: assumedLoadTime,
		BackoffInitial:  backoffInitial,
		BackoffMax:      backoffMax,
		MaxPermits:      maxLoads,
	}, 0, a.settings.Random)
	a.pacer = pacer.NewPacer(pacer.Settings{
		MaxLoads: maxLoads, Load: assumedLoadTime, Random: rand.New(rand.NewPCG(a.settings.Random.Uint64(), a.settings.Random.Uint64())),
	})
	a.table.SetPermits(a.pacer.Limit(now))
	a.cache = newPromptCache(int(float64(engine.MemoryTokens) * cacheMemoryShare))
	a.table.Adopt(now, observedSlots(r))
	a.markChanged()
}

// assumedLoadTime is the expected time of a load before the first one has been measured.
const assumedLoadTime = 250 * time.Millisecond

func observedSlots(r Report) []loader.ObservedSlot {
	var out []loader.ObservedSlot
	for _, s := range r.slots() {
		out = append(out, loader.ObservedSlot{Version: s.version, Source: s.version, Loading: s.loading})
	}
	return out
}

// targetModel returns the model that the engine should load, or "" if none. That is the
// only model of its service. Of several models, an empty engine loads the one that it held
// before, or else one chosen by a hash of its name; which model a working engine holds is
// not decided here.
func (a *Attendant) targetModel(e *tracker.Engine) string {
	switch {
	case len(e.Models) == 0 || len(e.Models) > 1 && len(a.report.Models) > 0:
		return ""
	case len(e.Models) == 1:
		return e.Models[0].Name
	case a.previousModel != "":
		return a.previousModel
	default:
		return e.Models[xxhash.Sum64String(a.settings.Name)%uint64(len(e.Models))].Name
	}
}

// loadModel orders the engine to load its model.
func (a *Attendant) loadModel(model string) {
	if err := a.order(Order{Kind: OrderLoad, Model: model}); err != nil {
		a.settings.Log.Warn().Err(err).Str("Model", model).Msg("could not order the model")
		return
	}
	a.settings.Log.Info().Str("Model", model).Msg("model ordered")
}
