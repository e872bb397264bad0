package companion

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/loader"
	"marigoldpoint.example/marigoldpoint/internal/coordination/permitter"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
	"marigoldpoint.example/marigoldpoint/internal/state/pauser"
	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
)

// apply carries out the slot table's actions. The caller holds mu. It does not
// pump: the caller does once it is done.
func (c *Companion) apply(actions []loader.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case loader.PermitAction:
			c.record(recorder.KindLoadRequested, a.Version, "")
			c.askLocked(a)
		case loader.WithdrawAction:
			if withdrawn := c.asks[a.Version]; withdrawn != nil {
				close(withdrawn)
				delete(c.asks, a.Version)
			}
		case loader.ReturnPermitAction:
			c.returnPermit(a.Version)
		case loader.LoadAction:
			c.record(recorder.KindLoadStarted, a.Version, "")
			c.spawnLocked(func(ctx context.Context) { c.load(ctx, a) })
		case loader.UnloadAction:
			c.record(recorder.KindEvicted, a.Version, "")
			c.spawnLocked(func(ctx context.Context) { c.unload(ctx, a) })
		case loader.ReadyAction:
			// The caller pumps, and so finds those that can now pin it.
		case loader.FailAction:
			c.record(recorder.KindLoadFailed, a.Version, a.Cause)
			if w := c.works[a.Request]; w != nil {
				c.withdraw(w, loadRefusal(a))
			}
		case loader.LostAction:
			if w := c.works[a.Request]; w != nil && w.begun {
				w.interrupt(errRestarted)
			}
		case loader.ReadStateAction:
			c.read()
		case loader.FencedAction:
			// Orders go out on several connections: a refused one may have been
			// overtaken by a later one of this companion. Only the engine's highest
			// number tells whether another companion has come.
			c.spawnLocked(func(ctx context.Context) { c.replaced(ctx) })
		}
	}
}

func (c *Companion) record(kind recorder.Kind, version, detail string) {
	c.settings.Recorder.Record(recorder.Event{
		Kind: kind, Backend: c.settings.Node, Version: version, Workspace: loader.WorkspaceOf(version), Detail: detail,
	})
}

// tell passes an event on to the slot table and does what follows from it.
func (c *Companion) tell(event func(now time.Time) []loader.Action) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.apply(event(c.settings.Now()))
	c.pump()
}

// The waits of permits.
const (
	// permitLimit bounds one wait at the control hosts. The next one begins at the
	// end of their queue, so that it is long.
	permitLimit = time.Minute
	// permitPause is the time between two looks at whether there is contact.
	permitPause = 100 * time.Millisecond
)

// askLocked begins to ask for a permit. The caller holds mu.
func (c *Companion) askLocked(a loader.PermitAction) {
	began := c.settings.Now()
	withdrawn := make(chan struct{})
	c.asks[a.Version] = withdrawn
	c.spawnLocked(func(ctx context.Context) {
		// What takes the request back goes out without an answer, and may be
		// overtaken by the next request for the same version: the next one would be
		// withdrawn in its place, and its callers wait for nothing.
		if !c.permit(ctx, a, began, withdrawn) && pauser.Pause(ctx, permitPause) {
			c.answered(a.Version, func(now time.Time) []loader.Action { return c.table.Withdrawn(now, a.Version) })
		}
	})
}

// answered tells the table how a request for a permit ended.
func (c *Companion) answered(version string, event func(now time.Time) []loader.Action) {
	c.tell(func(now time.Time) []loader.Action {
		delete(c.asks, version)
		return event(now)
	})
}

// permit waits for the permit to load: one of the control hosts while there is
// contact with them, else one of the static share, which keeps loads possible, if
// slow. It returns false where the request was withdrawn.
func (c *Companion) permit(ctx context.Context, a loader.PermitAction, began time.Time, withdrawn <-chan struct{}) bool {
	for ctx.Err() == nil && !closed(withdrawn) {
		switch {
		case c.settings.Control.LeaseValid():
			if grant, err := c.ask(ctx, a, withdrawn); err == nil {
				c.permitted(a, began, &grant)
				return true
			}
		case c.staticTurn():
			c.permitted(a, began, nil)
			return true
		case c.settings.Now().Sub(began) > staticPatience:
			c.answered(a.Version, func(now time.Time) []loader.Action {
				return c.table.PermitDenied(now, a.Version, "no load permit: no control host reached")
			})
			return true
		}
		pauser.Pause(ctx, permitPause)
	}
	return false
}

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// ask waits for a permit of the control hosts until it is withdrawn, and gives up
// once contact with them is lost: a wait on a dead connection would hold up the
// static share.
func (c *Companion) ask(ctx context.Context, a loader.PermitAction, withdrawn <-chan struct{}) (permitter.Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, permitLimit)
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		defer cancel()
		ticker := time.NewTicker(permitPause)
		defer ticker.Stop()
		for c.settings.Control.LeaseValid() {
			select {
			case <-withdrawn:
				return
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	}()
	defer func() {
		cancel()
		<-watched
	}()
	return c.settings.Control.RequestPermit(ctx, permitter.Request{
		Companion: c.settings.Node, Workspace: a.Workspace, Version: a.Version, Waiters: a.Waiters, Share: a.Share,
	})
}

// permitted tells the table of a permit, with the grant if it has one.
func (c *Companion) permitted(a loader.PermitAction, began time.Time, grant *permitter.Grant) {
	source := "static share"
	if grant != nil {
		source = fmt.Sprintf("number %d", grant.Number)
	}
	waited := c.settings.Now().Sub(began)
	c.metrics.permitWait.Observe(waited.Seconds())
	c.record(recorder.KindPermitGranted, a.Version, fmt.Sprintf("%s after %v, %d waiting", source, waited, a.Waiters))
	c.answered(a.Version, func(now time.Time) []loader.Action {
		if grant != nil {
			c.grants[a.Version] = *grant
		}
		return c.table.Permitted(now, a.Version)
	})
}

// staticTurn takes a load of the static share if one is due.
func (c *Companion) staticTurn() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.settings.Now()
	if now.Before(c.staticNext) {
		return false
	}
	c.staticNext = now.Add(c.staticInterval())
	return true
}

func (c *Companion) staticInterval() time.Duration {
	return time.Duration(float64(time.Second) / c.settings.Companion.StaticLoadRate)
}

// returnPermit gives the version's permit back. The caller holds mu.
func (c *Companion) returnPermit(version string) {
	if grant, ok := c.grants[version]; ok {
		delete(c.grants, version)
		c.settings.Control.FinishPermit(grant)
	}
}

// load orders the engine to load and tells the table how it went.
func (c *Companion) load(ctx context.Context, a loader.LoadAction) {
	began := c.settings.Now()
	err := c.orderLoad(ctx, a)
	outcome := loadOutcome(err)
	cause := ""
	if err != nil {
		cause = err.Error()
		c.settings.Log.Warn().Err(err).Str("Version", a.Version).Uint64("Fence", a.Fence).Msg("load failed")
	}
	c.tell(func(now time.Time) []loader.Action {
		c.returnPermit(a.Version)
		if outcome == loader.OutcomeDone {
			c.noteLoad(now.Sub(began))
			c.record(recorder.KindLoadFinished, a.Version, now.Sub(began).String())
		}
		return c.table.Loaded(now, a.Version, a.Fence, outcome, cause)
	})
}

// loadAttempts bounds the sendings of a load order.
const loadAttempts = 4

// orderLoad sends the order, and again while it certainly did not reach the
// engine: one that is just restarting must not cost all who wait for the version
// their answer.
func (c *Companion) orderLoad(ctx context.Context, a loader.LoadAction) error {
	wait := settleInitial
	for attempt := 1; ; attempt++ {
		err := c.settings.Engine.Load(ctx, a.Fence, a.Version, a.Source)
		var e *orderer.Error
		unsent := errors.Is(err, orderer.ErrNotRun) && errors.As(err, &e) && e.Status == 0
		if !unsent || attempt == loadAttempts || !pauser.Pause(ctx, wait) || !c.orders(a) {
			return err
		}
		wait *= 2
	}
}

// orders tells whether the table still waits for the order. It does not once the
// engine has been found restarted, and then gives another.
func (c *Companion) orders(a loader.LoadAction) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.OrderInFlight(a.Version, a.Fence)
}

// noteLoad keeps a moving mean of the time of a load. The caller holds mu.
func (c *Companion) noteLoad(d time.Duration) {
	if c.loadTime == 0 {
		c.loadTime = d
		return
	}
	c.loadTime += (d - c.loadTime) / 4
}

func loadOutcome(err error) loader.Outcome {
	switch {
	case err == nil:
		return loader.OutcomeDone
	case errors.Is(err, orderer.ErrFenced):
		return loader.OutcomeFenced
	case errors.Is(err, orderer.ErrAlreadyLoaded), errors.Is(err, orderer.ErrNoSlot):
		// The engine's slots are not as the table has them.
		return loader.OutcomeUnknown
	case errors.Is(err, orderer.ErrLoadFailed), errors.Is(err, orderer.ErrNotRun):
		return loader.OutcomeFailed
	default:
		return loader.OutcomeUnknown
	}
}

// unload orders the engine to drop a version and tells the table how it went.
func (c *Companion) unload(ctx context.Context, a loader.UnloadAction) {
	err := c.settings.Engine.Unload(ctx, a.Fence, a.Version)
	outcome := loader.OutcomeUnknown
	switch {
	case err == nil, errors.Is(err, orderer.ErrNotResident):
		outcome = loader.OutcomeDone
	case errors.Is(err, orderer.ErrFenced):
		outcome = loader.OutcomeFenced
	}
	if err != nil {
		c.settings.Log.Warn().Err(err).Str("Version", a.Version).Uint64("Fence", a.Fence).Msg("unload failed")
	}
	c.tell(func(now time.Time) []loader.Action { return c.table.Unloaded(now, a.Version, a.Fence, outcome) })
}

// supersede gives up for good: the engine has obeyed a later giver of orders, so
// that another companion has taken this one's place. Were this one to join again,
// the two would end each other's membership in turn for ever. The process turns
// unready, and whoever runs it decides. The caller holds mu.
func (c *Companion) supersede() {
	if c.superseded {
		return
	}
	c.superseded = true
	c.settings.Log.Error().Str("Backend", c.settings.Node).Msg("another companion gives orders to the engine; giving up")
	c.settings.Recorder.Record(recorder.Event{Kind: recorder.KindFault, Backend: c.settings.Node, Detail: "superseded"})
	for _, w := range c.works {
		if !w.begun {
			c.withdraw(w, messenger.NewRefusal(messenger.ReasonStaleEpoch, "superseded by another companion"))
		}
	}
}

var _ messenger.Handler = (*Companion)(nil)
