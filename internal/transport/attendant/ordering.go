package attendant

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/loader"
)

// apply carries out the slot table's actions. The caller holds mu.
func (a *Attendant) apply(actions []loader.Action) {
	for _, action := range actions {
		switch t := action.(type) {
		case loader.PermitAction:
			// The engines limit their own loads, and the store serves adapters without a
			// permit.
			a.apply(a.table.Permitted(a.settings.Now(), t.Version))
		case loader.LoadAction:
			a.spawnLocked(func() { a.load(t) })
		case loader.UnloadAction:
			a.recordEviction(t.Version)
			a.spawnLocked(func() { a.unload(t) })
		case loader.FailAction:
			if adm := a.admissions[t.Request]; adm != nil {
				adm.inTable = false
				a.refuse(adm, loadRefusal(t))
			}
		case loader.LostAction:
			// The engine restarted, so the entry's request fails on its own connection.
			if adm := a.admissions[t.Request]; adm != nil {
				adm.inTable = false
			}
		case loader.ReadStateAction, loader.FencedAction:
			a.wake()
		case loader.ReadyAction, loader.WithdrawAction, loader.ReturnPermitAction:
			// Ready requests are admitted after each change; there are no permits to return.
		}
	}
}

// wake starts a poll of the engine at once.
func (a *Attendant) wake() {
	select {
	case a.wakeup <- struct{}{}:
	default:
	}
}

// applyEvent passes the outcome of an order to the table and carries out the actions that
// follow. It locks mu while it calls event.
func (a *Attendant) applyEvent(event func(now time.Time) []loader.Action) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.settings.Now()
	a.apply(event(now))
	a.admitReady(now)
	a.refuseOverloaded(now)
	a.markChanged()
}

// load orders an adapter, waits until the engine has loaded it, and reports the outcome to
// the table under mu.
func (a *Attendant) load(l loader.LoadAction) {
	began := a.settings.Now()
	model, adapter, version := splitVersion(l.Version)
	err := a.order(Order{Kind: OrderLoad, Model: model, Adapter: adapter, Version: version})
	if errors.Is(err, errReplaced) {
		a.giveUpReplaced(l)
		return
	}
	accepted := a.settings.Now()
	if err == nil {
		err = a.awaitAdapter(l.Version, accepted)
	}
	took := a.settings.Now().Sub(began)
	outcome, cause := loader.OutcomeDone, ""
	if err != nil {
		outcome, cause = loader.OutcomeFailed, err.Error()
		a.settings.Log.Warn().Err(err).Str("Version", l.Version).Dur("Took", took).Msg("load failed")
	} else {
		a.metrics.loadTime.Observe(took.Seconds())
		a.settings.Log.Debug().Str("Backend", a.settings.Name).Str("Version", l.Version).Dur("Took", took).Msg("adapter loaded")
	}
	a.applyEvent(func(now time.Time) []loader.Action {
		if outcome == loader.OutcomeDone {
			a.shortage.times.RecordLoad(took)
			a.updateLoadLimit(now, accepted)
		}
		return a.table.Loaded(now, l.Version, l.Fence, outcome, cause)
	})
}

// updateLoadLimit adjusts the number of concurrent loads to the time of the load that has
// ended, and starts the next loads after the pacer's pause. The caller holds mu.
func (a *Attendant) updateLoadLimit(now, began time.Time) {
	a.pacer.Loaded(now, began)
	a.table.SetPermits(a.pacer.Limit(now))
	pause := a.pacer.Pause(now)
	if pause <= 0 {
		return
	}
	a.spawnLocked(func() {
		if a.pause(pause) {
			a.applyEvent(func(now time.Time) []loader.Action {
				a.table.SetPermits(a.pacer.Limit(now))
				return a.table.Tick(now)
			})
		}
	})
}

// awaitAdapter waits until the engine has loaded the version. It fails if the engine has
// dropped the load or LoadTimeout has passed.
func (a *Attendant) awaitAdapter(version string, began time.Time) error {
	missing := 0
	for a.pause(a.settings.LoadPollInterval) {
		r, err := a.fetchReport()
		if err != nil {
			return err
		}
		pending := false
		for _, s := range r.slots() {
			if s.version != version {
				continue
			}
			if !s.loading {
				return nil
			}
			pending = true
		}
		if pending {
			missing = 0
		} else if missing++; missing > maxMissingReports {
			return errors.New("the engine gave the load up")
		}
		if a.settings.Now().Sub(began) > a.settings.LoadTimeout {
			return errors.New("the load took too long")
		}
	}
	return errors.New("the companion stops")
}

// maxMissingReports is the number of successive reports without an accepted load after
// which it counts as dropped; a single report may be older than the order.
const maxMissingReports = 6

// unload orders the engine to unload a version, waits until it has, and reports the outcome
// to the table under mu.
func (a *Attendant) unload(u loader.UnloadAction) {
	model, adapter, _ := splitVersion(u.Version)
	outcome := loader.OutcomeDone
	if err := a.order(Order{Kind: OrderUnload, Model: model, Adapter: adapter}); err != nil {
		outcome = loader.OutcomeUnknown
		a.settings.Log.Warn().Err(err).Str("Version", u.Version).Msg("unload failed")
	} else if err := a.awaitUnload(u.Version); err != nil {
		outcome = loader.OutcomeUnknown
		a.settings.Log.Warn().Err(err).Str("Version", u.Version).Msg("unload not confirmed")
	}
	a.applyEvent(func(now time.Time) []loader.Action { return a.table.Unloaded(now, u.Version, u.Fence, outcome) })
}

// awaitUnload waits until the version no longer occupies a slot. It fails after
// LoadTimeout.
func (a *Attendant) awaitUnload(version string) error {
	for began := a.settings.Now(); a.settings.Now().Sub(began) < a.settings.LoadTimeout; {
		r, err := a.fetchReport()
		if err != nil {
			return err
		}
		if !r.occupies(version) {
			return nil
		}
		if !a.pause(a.settings.LoadPollInterval) {
			break
		}
	}
	return errors.New("adapter still occupies its slot")
}

func (r Report) occupies(version string) bool {
	for _, s := range r.slots() {
		if s.version == version {
			return true
		}
	}
	return false
}

// satisfied reports whether the engine is in the state that the order asks for, or on its
// way to it.
func (r Report) satisfied(o Order) bool {
	if o.Adapter == "" {
		return r.hasModel(o.Model) == (o.Kind == OrderLoad)
	}
	for _, s := range r.slots() {
		model, adapter, version := splitVersion(s.version)
		if model == o.Model && adapter == o.Adapter {
			return o.Kind == OrderLoad && version == o.Version
		}
	}
	return o.Kind == OrderUnload
}

const (
	// maxOrderAttempts limits the attempts to send one order.
	maxOrderAttempts = 8
	// noSlotIntervals is the number of observe intervals after which an order fails if the
	// engine has no free slot: by then a poll has shown what occupies it.
	noSlotIntervals = 2
)

// errNoSlot means that the engine has no free slot though the slot table has assigned one:
// an order that had timed out was carried out after all.
const errNoSlot = errors.ConstError("no free slot")

// order sends an order, based on the engine's current sequence, until it is accepted or the
// engine is in the requested state. An adapter waits for its model and for a free slot;
// other orders, such as that for the model, are sent meanwhile.
//
// An order without an answer may be carried out seconds later. Each order names the
// sequence that it is based on: of two identical orders, the first to arrive makes the
// other one void, and an order that arrives after a later one is refused. Otherwise a late
// unload would drop an adapter that has been loaded again.
func (a *Attendant) order(o Order) error {
	var last error
	began := a.settings.Now()
	for attempts := 0; attempts < maxOrderAttempts; {
		done, tried, err := a.orderOnce(o, attempts == 0)
		if done {
			return err
		}
		if tried {
			attempts++
		}
		last = err
		limit := a.settings.LoadTimeout
		if errors.Is(err, errNoSlot) {
			a.wake()
			limit = noSlotIntervals * a.settings.ObserveInterval
		}
		if a.settings.Now().Sub(began) > limit || !a.pause(a.settings.LoadPollInterval) {
			break
		}
	}
	return last
}

// orderOnce checks whether the order is needed and possible, and sends it. Done reports
// that no further attempt is needed, and sent that this attempt counts against
// maxOrderAttempts. First means that the order can't have been sent before: one that may have
// been is completed also for a version that was replaced meanwhile.
func (a *Attendant) orderOnce(o Order, first bool) (done, sent bool, err error) {
	a.orderMu.Lock()
	defer a.orderMu.Unlock()
	r, err := a.fetchReport()
	switch {
	case err != nil:
		return false, true, err
	case r.satisfied(o):
		return true, false, nil
	case first && a.replaced(o):
		return true, false, errReplaced
	case o.Kind == OrderLoad && o.Adapter != "" && !r.hasModel(o.Model):
		return false, false, errors.New("the engine does not hold the model")
	case o.Kind == OrderLoad && o.Adapter != "" && len(r.slots()) >= a.slotCount():
		// An order for more adapters than fit would crash the engine.
		return false, false, errNoSlot
	}
	reply, err := a.sendOrder(o, r)
	switch {
	case err != nil:
		return false, true, err
	case reply == ReplyAccepted, reply == ReplyAlreadyDone:
		return true, true, nil
	default:
		return reply == ReplyFenced || reply == ReplyInvalid, true, errors.Errorf("the engine answered %s", reply)
	}
}

// sendOrder sends an order that is based on the report r.
func (a *Attendant) sendOrder(o Order, r Report) (Reply, error) {
	a.mu.Lock()
	o.Expect, o.Fence, o.Incarnation = r.Sequence, max(a.epoch, initialFence), a.incarnation
	a.mu.Unlock()
	if o.Adapter == "" {
		// Every incarnation of the engine needs its model. After a power loss the new
		// incarnation arrives by way of control a second or more later.
		o.Incarnation = ""
	}
	ctx, cancel := context.WithTimeout(a.root, a.settings.OrderTimeout)
	defer cancel()
	reply, err := a.settings.Engine.Order(ctx, o)
	a.settings.Log.Debug().Err(err).Stringer("Kind", o.Kind).Str("Model", o.Model).Str("Adapter", o.Adapter).Uint64("Version", o.Version).
		Uint64("Expect", o.Expect).Uint64("Fence", o.Fence).Stringer("Reply", reply).Msg("order")
	return reply, errors.Trace(err)
}

// initialFence is the fencing token before a membership is known: lower than that of any
// membership, and not 0, which engines treat as no token.
const initialFence = 1

// slotCount returns the number of adapter slots, or 0 before the first report.
func (a *Attendant) slotCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.table == nil {
		return 0
	}
	return a.table.Slots()
}

// maxEvicted is the number of evicted adapters that are remembered. The engine keeps their
// weights in host memory.
const maxEvicted = 40

// recordEviction adds the adapter of a version to the evicted ones. The caller holds mu.
func (a *Attendant) recordEviction(version string) {
	model, adapter, _ := splitVersion(version)
	name := adapterName(model, adapter)
	a.evicted = slices.DeleteFunc(a.evicted, func(r string) bool { return r == name })
	a.evicted = append(a.evicted, name)
	a.newlyEvicted = append(a.newlyEvicted, name)
	if over := len(a.evicted) - maxEvicted; over > 0 {
		a.evicted = a.evicted[over:]
	}
}
