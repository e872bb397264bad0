package companion

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/loader"
	"marigoldpoint.example/marigoldpoint/internal/coordination/regulator"
	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
	"marigoldpoint.example/marigoldpoint/internal/state/pauser"
	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
)

// engineView is the last state read from the engine.
type engineView struct {
	orderer.EngineState
	// lastContact is the time of the last answer.
	lastContact time.Time
}

// reachable reports whether the engine has answered within engineTimeout. A plain service
// always counts as reachable, as it is not polled. The caller holds mu.
func (c *Companion) reachable(now time.Time) bool {
	return c.settings.Engine == nil || now.Sub(c.engine.lastContact) < engineTimeout
}

// requestRefresh requests an early read of the engine's state.
func (c *Companion) requestRefresh() {
	select {
	case c.refreshDue <- struct{}{}:
	default:
	}
}

// adopt takes over the engine with its present adapters.
//
// If the engine ignores fencing numbers, an order of an earlier companion may still be on
// its way, and would load or unload without this companion's knowledge: a version vanishes
// under a request with no unload in the events. So no order is sent and no request accepted
// for the longest lifetime of an order.
func (c *Companion) adopt(ctx context.Context) error {
	state, err := c.awaitState(ctx)
	if err != nil {
		return err
	}
	if !c.settings.checksFencing(state) {
		if !pauser.Pause(ctx, time.Duration(c.settings.Companion.OrderLife)) {
			return errors.Trace(context.Cause(ctx))
		}
		if state, err = c.awaitState(ctx); err != nil {
			return err
		}
	}
	if want := c.settings.Companion.BaseModel; want != "" && state.BaseModel != want {
		return errors.NotValidf("engine with base model %q where the settings name %q", state.BaseModel, want)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.settings.Now()
	source := rand.New(rand.NewPCG(c.settings.Random.Uint64(), c.settings.Random.Uint64()))
	c.table = loader.NewTable(c.settings.loaderSettings(state), 0, source)
	c.table.RaiseFence(0, state.HighestFence)
	c.table.Adopt(now, observedSlots(state))
	c.engine = engineView{EngineState: state, lastContact: now}
	if c.maxBatch == 0 {
		c.maxBatch = max(1, state.MaxBatch)
	}
	return nil
}

// awaitState reads the engine's state, and retries until the engine answers.
func (c *Companion) awaitState(ctx context.Context) (orderer.EngineState, error) {
	wait := joinBackoffInitial
	for {
		state, err := c.settings.Engine.State(ctx)
		if err == nil {
			return state, nil
		}
		if !pauser.Pause(ctx, wait) {
			return state, errors.Annotate(context.Cause(ctx), err.Error())
		}
		wait = min(2*wait, joinBackoffMax)
	}
}

func observedSlots(s orderer.EngineState) []loader.ObservedSlot {
	slots := make([]loader.ObservedSlot, len(s.Adapters))
	for i, a := range s.Adapters {
		slots[i] = loader.ObservedSlot{Version: a.Name, Source: a.Path, Loading: a.Phase == orderer.Loading, InUse: a.InUse}
	}
	return slots
}

// watchEngine reads the engine's state at each heartbeat and on request.
func (c *Companion) watchEngine(ctx context.Context) {
	interval := time.Duration(c.settings.Companion.HeartbeatInterval)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-c.refreshDue:
		}
		c.pollEngine(ctx, interval)
	}
}

func (c *Companion) pollEngine(ctx context.Context, interval time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, max(interval, engineCallTimeout))
	defer cancel()
	if _, ok := c.refreshState(ctx); !ok {
		return
	}
	if report, err := c.settings.Engine.Report(ctx); err == nil {
		c.metrics.addEngineReport(report)
	}
}

// refreshState reads the engine's state and updates the slot table from it.
func (c *Companion) refreshState(ctx context.Context) (orderer.EngineState, bool) {
	c.refreshMu.Lock()
	defer c.refreshMu.Unlock()
	c.mu.Lock()
	sequence := c.table.Sequence()
	c.mu.Unlock()
	state, ok := c.state(ctx)
	if !ok {
		c.settings.Log.Warn().Str("Backend", c.settings.Node).Msg("could not read the engine state")
		return state, false
	}
	c.applyEvent(func(now time.Time) []loader.Action {
		previous := c.engine
		c.engine = engineView{EngineState: state, lastContact: now}
		if previous.Incarnation != state.Incarnation {
			return c.engineRestarted(now, state)
		}
		c.metrics.sampleBatch(c.running, c.queue.Len(), c.maxBatch)
		return c.table.Observe(now, sequence, observedSlots(state))
	})
	return state, true
}

// engineRestarted discards the state of the previous incarnation of the engine. The caller
// holds mu.
func (c *Companion) engineRestarted(now time.Time, s orderer.EngineState) []loader.Action {
	c.settings.Log.Warn().Str("Backend", c.settings.Node).Str("Incarnation", s.Incarnation).Msg("engine restarted")
	c.settings.Recorder.Record(recorder.Event{
		Kind: recorder.KindEngineRestarted, Backend: c.settings.Node, Detail: s.Incarnation,
	})
	c.regulator = regulator.Regulator{}
	c.metrics.setLimit(regulator.Limit{})
	c.table.RaiseFence(c.lease.Epoch, s.HighestFence)
	return c.table.Restarted(now)
}

// tick expires queued requests and runs the periodic work of table and buffer.
func (c *Companion) tick(ctx context.Context) {
	var last time.Time
	for pauser.Pause(ctx, tickInterval) {
		c.mu.Lock()
		now := c.settings.Now()
		for _, r := range c.queue.Expire(now) {
			c.endRejected(r)
		}
		slow := now.Sub(last) >= time.Second
		if slow && c.table != nil {
			c.apply(c.table.Tick(now))
			c.metrics.addSlotStats(c.table.Stats())
		}
		c.startReady()
		c.mu.Unlock()
		if slow {
			last = now
			c.buffer.Sweep(now)
			c.buffer.Reclaim(now, resumeWindow, int64(c.settings.Companion.AnswerBuffer)/2)
		}
	}
}
