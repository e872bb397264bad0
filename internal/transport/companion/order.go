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

// apply carries out the slot table's actions. The caller holds mu, and calls startReady
// afterwards.
func (c *Companion) apply(actions []loader.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case loader.PermitAction:
			c.record(recorder.KindLoadRequested, a.Version, "")
			c.requestPermitLocked(a)
		case loader.WithdrawAction:
			if withdrawn := c.permitRequests[a.Version]; withdrawn != nil {
				close(withdrawn)
				delete(c.permitRequests, a.Version)
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
			// The caller's startReady starts the jobs that can now pin the version.
		case loader.FailAction:
			c.record(recorder.KindLoadFailed, a.Version, a.Cause)
			if j := c.jobs[a.Request]; j != nil {
				c.refuseJob(j, loadRefusal(a))
			}
		case loader.LostAction:
			if j := c.jobs[a.Request]; j != nil && j.active {
				j.abort(errRestarted)
			}
		case loader.ReadStateAction:
			c.requestRefresh()
		case loader.FencedAction:
			// Orders are sent on several connections: a refused one may have been overtaken
			// by a later one of this companion. Only the engine's highest fencing number
			// shows whether another companion has taken over.
			c.spawnLocked(func(ctx context.Context) { c.checkSuperseded(ctx) })
		}
	}
}

func (c *Companion) record(kind recorder.Kind, version, detail string) {
	c.settings.Recorder.Record(recorder.Event{
		Kind: kind, Backend: c.settings.Node, Version: version, Workspace: loader.WorkspaceOf(version), Detail: detail,
	})
}

// applyEvent passes an event to the slot table, carries out the actions that follow and
// starts the jobs that have become ready.
func (c *Companion) applyEvent(event func(now time.Time) []loader.Action) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.apply(event(c.settings.Now()))
	c.startReady()
}

// Times of the requests for permits.
const (
	// permitTimeout limits one wait at the control hosts. It is long because the next wait
	// starts at the end of their queue.
	permitTimeout = time.Minute
	// permitPollInterval is the time between two checks for contact with the control hosts.
	permitPollInterval = 100 * time.Millisecond
)

// requestPermitLocked starts a request for a permit. The caller holds mu.
func (c *Companion) requestPermitLocked(a loader.PermitAction) {
	began := c.settings.Now()
	withdrawn := make(chan struct{})
	c.permitRequests[a.Version] = withdrawn
	c.spawnLocked(func(ctx context.Context) {
		// The withdrawal is sent without an answer and may be overtaken by the next request
		// for the same version, which would then be withdrawn instead, so that its callers
		// would wait forever. Hence the pause.
		if !c.awaitPermit(ctx, a, began, withdrawn) && pauser.Pause(ctx, permitPollInterval) {
			c.permitAnswered(a.Version, func(now time.Time) []loader.Action { return c.table.Withdrawn(now, a.Version) })
		}
	})
}

// permitAnswered ends a request for a permit and reports the event to the slot table.
func (c *Companion) permitAnswered(version string, event func(now time.Time) []loader.Action) {
	c.applyEvent(func(now time.Time) []loader.Action {
		delete(c.permitRequests, version)
		return event(now)
	})
}

// awaitPermit waits for the permit to load: one of the control hosts while there is contact
// with them, else one of the static share, which keeps loads possible at a low rate. It
// returns false if the request was withdrawn.
func (c *Companion) awaitPermit(ctx context.Context, a loader.PermitAction, began time.Time, withdrawn <-chan struct{}) bool {
	for ctx.Err() == nil && !isClosed(withdrawn) {
		switch {
		case c.settings.Control.LeaseValid():
			if grant, err := c.requestPermit(ctx, a, withdrawn); err == nil {
				c.permitGranted(a, began, &grant)
				return true
			}
		case c.takeStaticLoad():
			c.permitGranted(a, began, nil)
			return true
		case c.settings.Now().Sub(began) > staticLoadTimeout:
			c.permitAnswered(a.Version, func(now time.Time) []loader.Action {
				return c.table.PermitDenied(now, a.Version, "no load permit: no control host reached")
			})
			return true
		}
		pauser.Pause(ctx, permitPollInterval)
	}
	return false
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// requestPermit waits for a permit of the control hosts until the request is withdrawn or
// contact with them is lost: a wait on a dead connection would delay the use of the static
// share.
func (c *Companion) requestPermit(ctx context.Context, a loader.PermitAction, withdrawn <-chan struct{}) (permitter.Grant, error) {
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		defer cancel()
		ticker := time.NewTicker(permitPollInterval)
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

// permitGranted reports a permit to the slot table; grant is nil for the static share.
func (c *Companion) permitGranted(a loader.PermitAction, began time.Time, grant *permitter.Grant) {
	source := "static share"
	if grant != nil {
		source = fmt.Sprintf("number %d", grant.Number)
	}
	waited := c.settings.Now().Sub(began)
	c.metrics.permitWait.Observe(waited.Seconds())
	c.record(recorder.KindPermitGranted, a.Version, fmt.Sprintf("%s after %v, %d waiting", source, waited, a.Waiters))
	c.permitAnswered(a.Version, func(now time.Time) []loader.Action {
		if grant != nil {
			c.grants[a.Version] = *grant
		}
		return c.table.Permitted(now, a.Version)
	})
}

// takeStaticLoad uses a load of the static share if one is due.
func (c *Companion) takeStaticLoad() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.settings.Now()
	if now.Before(c.nextStaticLoad) {
		return false
	}
	c.nextStaticLoad = now.Add(c.staticInterval())
	return true
}

func (c *Companion) staticInterval() time.Duration {
	return time.Duration(float64(time.Second) / c.settings.Companion.StaticLoadRate)
}

// returnPermit returns the version's permit to the control hosts. The caller holds mu.
func (c *Companion) returnPermit(version string) {
	if grant, ok := c.grants[version]; ok {
		delete(c.grants, version)
		c.settings.Control.FinishPermit(grant)
	}
}

// load orders the engine to load a version and reports the outcome to the table.
func (c *Companion) load(ctx context.Context, a loader.LoadAction) {
	began := c.settings.Now()
	err := c.orderLoad(ctx, a)
	outcome := loadOutcome(err)
	cause := ""
	if err != nil {
		cause = err.Error()
		c.settings.Log.Warn().Err(err).Str("Version", a.Version).Uint64("Fence", a.Fence).Msg("load failed")
	}
	c.applyEvent(func(now time.Time) []loader.Action {
		c.returnPermit(a.Version)
		if outcome == loader.OutcomeDone {
			c.recordLoadTime(now.Sub(began))
			c.record(recorder.KindLoadFinished, a.Version, now.Sub(began).String())
		}
		return c.table.Loaded(now, a.Version, a.Fence, outcome, cause)
	})
}

// maxLoadAttempts limits the attempts to send a load order.
const maxLoadAttempts = 4

// orderLoad sends the order, and repeats it if it certainly did not reach the engine: the
// requests that wait for the version must not fail because the engine is restarting.
func (c *Companion) orderLoad(ctx context.Context, a loader.LoadAction) error {
	wait := settleBackoffInitial
	for attempt := 1; ; attempt++ {
		err := c.settings.Engine.Load(ctx, a.Fence, a.Version, a.Source)
		var e *orderer.Error
		unsent := errors.Is(err, orderer.ErrNotRun) && errors.As(err, &e) && e.Status == 0
		if !unsent || attempt == maxLoadAttempts || !pauser.Pause(ctx, wait) || !c.orderPending(a) {
			return err
		}
		wait *= 2
	}
}

// orderPending reports whether the table still waits for the order. It does not once a
// restart of the engine has been detected; the table then issues another order.
func (c *Companion) orderPending(a loader.LoadAction) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.OrderInFlight(a.Version, a.Fence)
}

// recordLoadTime updates the moving mean of the load time. The caller holds mu.
func (c *Companion) recordLoadTime(d time.Duration) {
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
		// The engine's slots differ from the table's.
		return loader.OutcomeUnknown
	case errors.Is(err, orderer.ErrLoadFailed), errors.Is(err, orderer.ErrNotRun):
		return loader.OutcomeFailed
	default:
		return loader.OutcomeUnknown
	}
}

// unload orders the engine to unload a version and reports the outcome to the table.
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
	c.applyEvent(func(now time.Time) []loader.Action { return c.table.Unloaded(now, a.Version, a.Fence, outcome) })
}

// supersede stops this companion from accepting requests for good: the engine has accepted
// orders of a later companion, which has replaced this one. If this one joined again, the
// two would end each other's membership in turn forever. The process becomes unready, and
// the operator decides. The caller holds mu.
func (c *Companion) supersede() {
	if c.superseded {
		return
	}
	c.superseded = true
	c.settings.Log.Error().Str("Backend", c.settings.Node).Msg("another companion sends orders to the engine; no longer accepting requests")
	c.settings.Recorder.Record(recorder.Event{Kind: recorder.KindFault, Backend: c.settings.Node, Detail: "superseded"})
	for _, j := range c.jobs {
		if !j.active {
			c.refuseJob(j, messenger.NewRefusal(messenger.ReasonStaleEpoch, "superseded by another companion"))
		}
	}
}

var _ messenger.Handler = (*Companion)(nil)
