package attendant

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/loader"
	"marigoldpoint.example/marigoldpoint/internal/coordination/pacer"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

// observe looks at the engine now and then, and has it hold its model.
func (a *Attendant) observe() {
	timer := time.NewTicker(a.settings.ObserveInterval)
	defer timer.Stop()
	for {
		a.notice()
		if a.loadingModel() {
			// Requests wait for it.
			timer.Reset(a.settings.LoadPollInterval)
		} else {
			timer.Reset(a.settings.ObserveInterval)
		}
		select {
		case <-a.root.Done():
			return
		case <-timer.C:
		case <-a.look:
		}
	}
}

func (a *Attendant) loadingModel() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ordered != ""
}

// read asks the engine for its report.
func (a *Attendant) read() (Report, error) {
	ctx, cancel := context.WithTimeout(a.root, a.settings.OrderTimeout)
	defer cancel()
	r, err := a.settings.Engine.Report(ctx)
	return r, errors.Trace(err)
}

// notice brings the slot table in line with the engine.
func (a *Attendant) notice() {
	member, known := a.settings.View().Member(a.settings.Name)
	a.mu.Lock()
	var sequence uint64
	if a.table != nil {
		sequence = a.table.Sequence()
	}
	a.mu.Unlock()
	r, err := a.read()
	a.mu.Lock()
	defer a.mu.Unlock()
	was := a.reachable
	a.reachable = err == nil
	if err != nil {
		if was {
			a.settings.Log.Warn().Err(err).Msg("engine lost")
		}
		return
	}
	if !was {
		a.settings.Log.Info().Uint64("Sequence", r.Sequence).Int("Models", len(r.Models)).Msg("engine seen")
	}
	now := a.settings.Now()
	if known && member.Spec.State != storer.MemberStateServing {
		a.turnAway()
	}
	a.take(now, r, member, known, sequence)
	a.settle(now)
	for request, at := range a.early {
		if now.Sub(at) > earlyLimit {
			delete(a.early, request)
		}
	}
}

// turnAway ends the waits at an engine that leaves: they would end when it may get
// nothing new any more. The caller holds mu.
func (a *Attendant) turnAway() {
	for _, g := range a.guests {
		if g.admitted {
			continue
		}
		if g.wanted {
			g.wanted = false
			a.apply(a.table.Drop(a.settings.Now(), g.admit.Request))
		}
		a.refuse(g, messenger.NewRefusal(messenger.ReasonStopping, "the engine leaves"))
	}
}

// take takes a report in. The caller holds mu.
func (a *Attendant) take(now time.Time, r Report, member tracker.Member, known bool, sequence uint64) {
	engine := a.engineOf(member, known)
	if engine == nil {
		a.loadEarly(r)
		return
	}
	restarted := a.restarted(r, member)
	a.incarnation, a.epoch = member.Spec.Incarnation, max(a.epoch, member.Spec.Epoch)
	if len(r.Models) != len(a.report.Models) {
		a.change()
	}
	a.report = r
	if r.holds(a.ordered) {
		a.ordered = ""
	}
	switch {
	case a.table == nil:
		a.begin(now, r, engine)
	case restarted:
		a.settings.Log.Warn().Str("Incarnation", a.incarnation).Msg("engine restarted")
		a.book.clear()
		a.recent = nil
		a.near.renew()
		a.far.renew()
		a.apply(a.table.Restarted(now))
	default:
		a.apply(a.table.Observe(now, sequence, observed(r)))
		a.apply(a.table.Tick(now))
	}
	if len(r.Models) > 0 {
		a.former = r.Models[0].Name
	}
	if model := a.wantedModel(engine); model != "" && !r.holds(model) && !r.Busy {
		a.ordered = model
		a.spawnLocked(func() { a.loadModel(model) })
	}
}

// restarted reports whether the engine is in another life than at the last look. Its
// own word on when it began tells best: the membership follows later, and the count of
// orders may have grown past the former one's. The caller holds mu.
func (a *Attendant) restarted(r Report, member tracker.Member) bool {
	if r.Born > 0 && a.report.Born > 0 {
		return r.Born != a.report.Born
	}
	return a.incarnation != "" && member.Spec.Incarnation != a.incarnation || r.Sequence < a.report.Sequence
}

// loadEarly has an empty engine load the one model on its host's disk, before anything
// is known of the deployment. The caller holds mu.
//
// After a loss of power companion and engine start with nothing, and the companion
// hears which model the engine is for when control is back, most of a second later.
// The load takes half a second more, in which all calls wait. An engine that has
// accepted an order in this life is left alone: another may know better.
func (a *Attendant) loadEarly(r Report) {
	if r.holds(a.ordered) {
		a.ordered = ""
	}
	if a.table != nil || a.ordered != "" || r.Busy || r.Sequence > 0 || len(r.Models) > 0 || len(r.OnDisk) != 1 {
		return
	}
	model := r.OnDisk[0]
	a.ordered = model
	a.spawnLocked(func() { a.loadModel(model) })
}

// engineOf returns how the service's engines are made, or nil.
func (a *Attendant) engineOf(member tracker.Member, known bool) *tracker.Engine {
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

// begin has no lock of its own. The caller holds mu.
func (a *Attendant) begin(now time.Time, r Report, engine *tracker.Engine) {
	a.table = loader.NewTable(loader.Settings{
		Slots:           max(1, engine.MaxAdapters),
		HalfLife:        a.settings.HalfLife,
		Patience:        a.settings.Patience,
		AssumedLoadTime: assumedLoadTime,
		BackoffInitial:  backoffInitial,
		BackoffMax:      backoffMax,
		MaxPermits:      maxLoads,
	}, 0, a.settings.Random)
	a.pacer = pacer.NewPacer(pacer.Settings{
		Most: maxLoads, Load: assumedLoadTime, Random: rand.New(rand.NewPCG(a.settings.Random.Uint64(), a.settings.Random.Uint64())),
	})
	a.table.SetPermits(a.pacer.Width(now))
	a.book = newCachebook(int(float64(engine.MemoryTokens) * memoryShare))
	a.table.Adopt(now, observed(r))
	a.change()
}

// assumedLoadTime is the time of a load that was never seen.
const assumedLoadTime = 250 * time.Millisecond

func observed(r Report) []loader.Observed {
	var out []loader.Observed
	for _, s := range r.slots() {
		out = append(out, loader.Observed{Version: s.version, Source: s.version, Loading: s.loading})
	}
	return out
}

// wantedModel returns the model that the engine should hold: its service's only one,
// and of several the one that it held before it became empty, or else one by its
// name. Which of several models an engine holds while it works is not decided here.
func (a *Attendant) wantedModel(e *tracker.Engine) string {
	switch {
	case len(e.Models) == 0 || len(e.Models) > 1 && len(a.report.Models) > 0:
		return ""
	case len(e.Models) == 1:
		return e.Models[0].Name
	case a.former != "":
		return a.former
	default:
		return e.Models[xxhash.Sum64String(a.settings.Name)%uint64(len(e.Models))].Name
	}
}

// loadModel has an engine that restarted empty load its model.
func (a *Attendant) loadModel(model string) {
	if err := a.order(Order{Kind: OrderLoad, Model: model}); err != nil {
		a.settings.Log.Warn().Err(err).Str("Model", model).Msg("model not loaded")
		return
	}
	a.settings.Log.Info().Str("Model", model).Msg("model ordered")
}
