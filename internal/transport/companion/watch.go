package companion

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/loader"
	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
	"marigoldpoint.example/marigoldpoint/internal/state/pauser"
	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
)

// engineView is what was last read of the engine.
type engineView struct {
	orderer.EngineState
	// heard is the time of the last answer.
	heard time.Time
}

// reachable tells whether the engine answered lately. The caller holds mu. Of a
// plain service only its requests tell.
func (c *Companion) reachable(now time.Time) bool {
	return c.settings.Engine == nil || now.Sub(c.engine.heard) < engineLimit
}

// read makes the engine's state be read soon.
func (c *Companion) read() {
	select {
	case c.reading <- struct{}{}:
	default:
	}
}

// adopt takes over the engine as it stands.
//
// Where the engine ignores fencing numbers, an order that an earlier companion
// gave may still be on its way, and would load or unload behind the back of this
// one: a version vanishes under a request with no unload in the events. So no
// order is given, and no request taken, for the longest life of an order.
func (c *Companion) adopt(ctx context.Context) error {
	state, err := c.firstState(ctx)
	if err != nil {
		return err
	}
	if !c.settings.checksFencing(state) {
		if !pauser.Pause(ctx, time.Duration(c.settings.Companion.OrderLife)) {
			return errors.Trace(context.Cause(ctx))
		}
		if state, err = c.firstState(ctx); err != nil {
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
	c.table.Adopt(now, observed(state))
	c.engine = engineView{EngineState: state, heard: now}
	if c.maxBatch == 0 {
		c.maxBatch = max(1, state.MaxBatch)
	}
	return nil
}

// firstState reads the engine's state until it answers.
func (c *Companion) firstState(ctx context.Context) (orderer.EngineState, error) {
	wait := joinInitial
	for {
		state, err := c.settings.Engine.State(ctx)
		if err == nil {
			return state, nil
		}
		if !pauser.Pause(ctx, wait) {
			return state, errors.Annotate(context.Cause(ctx), err.Error())
		}
		wait = min(2*wait, joinMax)
	}
}

func observed(s orderer.EngineState) []loader.ObservedSlot {
	slots := make([]loader.ObservedSlot, len(s.Adapters))
	for i, a := range s.Adapters {
		slots[i] = loader.ObservedSlot{Version: a.Name, Source: a.Path, Loading: a.Phase == orderer.Loading, InUse: a.InUse}
	}
	return slots
}

// watch reads the engine's state at each heartbeat and when asked to.
func (c *Companion) watch(ctx context.Context) {
	interval := time.Duration(c.settings.Companion.HeartbeatInterval)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-c.reading:
		}
		c.observe(ctx, interval)
	}
}

func (c *Companion) observe(ctx context.Context, interval time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, max(interval, stopLimit))
	defer cancel()
	if _, ok := c.notice(ctx); !ok {
		return
	}
	if report, err := c.settings.Engine.Report(ctx); err == nil {
		c.metrics.reported(report)
	}
}

// notice reads the engine's state and brings the slot table in line with it.
func (c *Companion) notice(ctx context.Context) (orderer.EngineState, bool) {
	c.noticing.Lock()
	defer c.noticing.Unlock()
	c.mu.Lock()
	sequence := c.table.Sequence()
	c.mu.Unlock()
	state, ok := c.state(ctx)
	if !ok {
		c.settings.Log.Warn().Str("Backend", c.settings.Node).Msg("engine state not read")
		return state, false
	}
	c.tell(func(now time.Time) []loader.Action {
		former := c.engine
		c.engine = engineView{EngineState: state, heard: now}
		if former.Incarnation != state.Incarnation {
			return c.engineRestarted(now, state)
		}
		c.metrics.sampled(c.running, c.queue.Len(), c.maxBatch)
		return c.table.Observe(now, sequence, observed(state))
	})
	return state, true
}

// engineRestarted voids what was known of the former engine. The caller holds
// mu.
func (c *Companion) engineRestarted(now time.Time, s orderer.EngineState) []loader.Action {
	c.settings.Log.Warn().Str("Backend", c.settings.Node).Str("Incarnation", s.Incarnation).Msg("engine restarted")
	c.settings.Recorder.Record(recorder.Event{
		Kind: recorder.KindEngineRestarted, Backend: c.settings.Node, Detail: s.Incarnation,
	})
	c.table.RaiseFence(c.lease.Epoch, s.HighestFence)
	return c.table.Restarted(now)
}

// tick does what becomes due by time alone.
func (c *Companion) tick(ctx context.Context) {
	var last time.Time
	for pauser.Pause(ctx, tickInterval) {
		c.mu.Lock()
		now := c.settings.Now()
		for _, r := range c.queue.Expire(now) {
			c.giveUp(r)
		}
		slow := now.Sub(last) >= time.Second
		if slow && c.table != nil {
			c.apply(c.table.Tick(now))
			c.metrics.slots(c.table.Stats())
		}
		c.pump()
		c.mu.Unlock()
		if slow {
			last = now
			c.buffer.Sweep(now)
			c.buffer.Reclaim(now, returnLimit, int64(c.settings.Companion.AnswerBuffer)/2)
		}
	}
}
