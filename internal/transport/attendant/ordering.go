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
			// The engines bound their own loads, and the store serves adapters
			// without a permit.
			a.apply(a.table.Permitted(a.settings.Now(), t.Version))
		case loader.LoadAction:
			a.spawnLocked(func() { a.load(t) })
		case loader.UnloadAction:
			a.noteEvicted(t.Version)
			a.spawnLocked(func() { a.unload(t) })
		case loader.FailAction:
			if g := a.guests[t.Request]; g != nil {
				g.wanted = false
				a.refuse(g, loadRefusal(t))
			}
		case loader.LostAction:
			// The engine restarted: the entry sees its request fail by itself.
			if g := a.guests[t.Request]; g != nil {
				g.wanted = false
			}
		case loader.ReadStateAction, loader.FencedAction:
			a.wake()
		case loader.ReadyAction, loader.WithdrawAction, loader.ReturnPermitAction:
			// Guests are settled after each change; there are no permits to return.
		}
	}
}

// wake has the engine looked at now.
func (a *Attendant) wake() {
	select {
	case a.look <- struct{}{}:
	default:
	}
}

// happened passes an outcome to the table and does what follows.
func (a *Attendant) happened(event func(now time.Time) []loader.Action) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.settings.Now()
	a.apply(event(now))
	a.settle(now)
	a.change()
}

// load orders an adapter and waits until the engine holds it.
// What it tells the table runs under mu.
func (a *Attendant) load(l loader.LoadAction) {
	began := a.settings.Now()
	model, adapter, version := splitVersion(l.Version)
	err := a.order(Order{Kind: OrderLoad, Model: model, Adapter: adapter, Version: version})
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
		a.metrics.loads.Observe(took.Seconds())
		a.settings.Log.Debug().Str("Backend", a.settings.Name).Str("Version", l.Version).Dur("Took", took).Msg("adapter loaded")
	}
	a.happened(func(now time.Time) []loader.Action {
		if outcome == loader.OutcomeDone {
			a.pace(now, accepted)
		}
		return a.table.Loaded(now, l.Version, l.Fence, outcome, cause)
	})
}

// pace bounds the loads by the time of the one that has ended, and goes on with them
// after the pause that is due. The caller holds mu.
func (a *Attendant) pace(now, began time.Time) {
	a.pacer.Loaded(now, began)
	a.table.SetPermits(a.pacer.Width(now))
	pause := a.pacer.Pause(now)
	if pause <= 0 {
		return
	}
	a.spawnLocked(func() {
		if a.pause(pause) {
			a.happened(func(now time.Time) []loader.Action {
				a.table.SetPermits(a.pacer.Width(now))
				return a.table.Tick(now)
			})
		}
	})
}

// awaitAdapter waits until the engine holds the version.
func (a *Attendant) awaitAdapter(version string, began time.Time) error {
	missing := 0
	for a.pause(a.settings.LoadPollInterval) {
		r, err := a.read()
		if err != nil {
			return err
		}
		on := false
		for _, s := range r.slots() {
			if s.version != version {
				continue
			}
			if !s.loading {
				return nil
			}
			on = true
		}
		if on {
			missing = 0
		} else if missing++; missing > missingLimit {
			return errors.New("the engine gave the load up")
		}
		if a.settings.Now().Sub(began) > a.settings.LoadTimeout {
			return errors.New("the load took too long")
		}
	}
	return errors.New("the companion stops")
}

// missingLimit is the number of reports without a load that was accepted after
// which it counts as given up: a report may be older than the order.
const missingLimit = 6

// unload orders an adapter out of its slot.
// What it tells the table runs under mu.
func (a *Attendant) unload(u loader.UnloadAction) {
	model, adapter, _ := splitVersion(u.Version)
	outcome := loader.OutcomeDone
	if err := a.order(Order{Kind: OrderUnload, Model: model, Adapter: adapter}); err != nil {
		outcome = loader.OutcomeUnknown
		a.settings.Log.Warn().Err(err).Str("Version", u.Version).Msg("unload failed")
	} else if err := a.awaitGone(u.Version); err != nil {
		outcome = loader.OutcomeUnknown
		a.settings.Log.Warn().Err(err).Str("Version", u.Version).Msg("unload not seen")
	}
	a.happened(func(now time.Time) []loader.Action { return a.table.Unloaded(now, u.Version, u.Fence, outcome) })
}

// awaitGone waits until the engine holds the version no more.
func (a *Attendant) awaitGone(version string) error {
	for began := a.settings.Now(); a.settings.Now().Sub(began) < a.settings.LoadTimeout; {
		r, err := a.read()
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
	return errors.New("the adapter stays")
}

func (r Report) occupies(version string) bool {
	for _, s := range r.slots() {
		if s.version == version {
			return true
		}
	}
	return false
}

// satisfied reports whether the engine is as the order wants it, or on its way.
func (r Report) satisfied(o Order) bool {
	if o.Adapter == "" {
		return r.holds(o.Model) == (o.Kind == OrderLoad)
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
	// orderAttempts bounds the sendings of one order.
	orderAttempts = 8
	// slotLooks is the number of looks at an engine after which a slot that should
	// be free and isn't is given up: what fills it is known by then.
	slotLooks = 2
)

// errNoSlot tells that an engine has no slot free though the slot table has given
// one away: an order that was given up was carried out after all.
const errNoSlot = errors.ConstError("no free slot")

// order gives an order, based on what the engine has accepted so far, until it is
// accepted or what it asks for is so. An adapter waits for its model and for a free
// slot; meanwhile other orders go on, that for the model among them.
//
// An order without an answer may be carried out seconds later. Each names the
// sequence that it is based on: whichever of two like orders comes first makes the
// other one void, and one that comes after a later order is refused. Without it a
// late unload would drop an adapter that was loaded anew.
func (a *Attendant) order(o Order) error {
	var last error
	began := a.settings.Now()
	for sent := 0; sent < orderAttempts; {
		done, tried, err := a.orderOnce(o)
		if done {
			return err
		}
		if tried {
			sent++
		}
		last = err
		limit := a.settings.LoadTimeout
		if errors.Is(err, errNoSlot) {
			a.wake()
			limit = slotLooks * a.settings.ObserveInterval
		}
		if a.settings.Now().Sub(began) > limit || !a.pause(a.settings.LoadPollInterval) {
			break
		}
	}
	return last
}

// orderOnce looks whether the order is needed and possible, and gives it. Done tells
// that there is no more to do, and tried that it was sent.
func (a *Attendant) orderOnce(o Order) (done, tried bool, err error) {
	a.ordering.Lock()
	defer a.ordering.Unlock()
	r, err := a.read()
	switch {
	case err != nil:
		return false, true, err
	case r.satisfied(o):
		return true, false, nil
	case o.Kind == OrderLoad && o.Adapter != "" && !r.holds(o.Model):
		return false, false, errors.New("the engine does not hold the model")
	case o.Kind == OrderLoad && o.Adapter != "" && len(r.slots()) >= a.slotCount():
		// More than fit would crash the engine.
		return false, false, errNoSlot
	}
	reply, err := a.give(o, r)
	switch {
	case err != nil:
		return false, true, err
	case reply == ReplyAccepted, reply == ReplyAlreadyDone:
		return true, true, nil
	default:
		return reply == ReplyFenced || reply == ReplyInvalid, true, errors.Errorf("the engine answered %s", reply)
	}
}

func (a *Attendant) give(o Order, r Report) (Reply, error) {
	a.mu.Lock()
	o.Expect, o.Fence, o.Incarnation = r.Sequence, max(a.epoch, leastFence), a.incarnation
	a.mu.Unlock()
	if o.Adapter == "" {
		// Whatever life the engine is in, it needs its model. The word of its new
		// life comes a second or more after a loss of power, by way of control.
		o.Incarnation = ""
	}
	ctx, cancel := context.WithTimeout(a.root, a.settings.OrderTimeout)
	defer cancel()
	reply, err := a.settings.Engine.Order(ctx, o)
	a.settings.Log.Debug().Err(err).Stringer("Kind", o.Kind).Str("Model", o.Model).Str("Adapter", o.Adapter).Uint64("Version", o.Version).
		Uint64("Expect", o.Expect).Uint64("Fence", o.Fence).Stringer("Reply", reply).Msg("order")
	return reply, errors.Trace(err)
}

// leastFence is the fencing number before a membership is known: below that of all
// memberships, and not 0, which engines take for none.
const leastFence = 1

func (a *Attendant) slotCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.table == nil {
		return 0
	}
	return a.table.Slots()
}

// recentLimit is the number of adapters remembered that left their slots. The
// engine keeps their weights in its own memory.
const recentLimit = 40

func (a *Attendant) noteEvicted(version string) {
	model, adapter, _ := splitVersion(version)
	name := adapterName(model, adapter)
	a.recent = slices.DeleteFunc(a.recent, func(r string) bool { return r == name })
	a.recent = append(a.recent, name)
	a.left = append(a.left, name)
	if over := len(a.recent) - recentLimit; over > 0 {
		a.recent = a.recent[over:]
	}
}
