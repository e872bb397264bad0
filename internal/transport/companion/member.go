package companion

import (
	"context"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/loader"
	"marigoldpoint.example/marigoldpoint/internal/coordination/registrar"
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
	"marigoldpoint.example/marigoldpoint/internal/state/pauser"
	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// Backoff and timeout of joins. The backoff is jittered, since otherwise all members of a
// failure domain that comes back would join at the same moment.
const (
	joinBackoffInitial = 100 * time.Millisecond
	joinBackoffMax     = 5 * time.Second
	joinTimeout        = 5 * time.Second
)

// spec returns the member specification of the backend server.
func (c *Companion) spec() storer.MemberSpec {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.settings
	m := storer.MemberSpec{
		Address: s.Address, Region: s.Region, FailureDomain: s.FailureDomain,
		MaxBatch: c.maxBatch, Incarnation: c.incarnation,
	}
	if s.Companion.Kind == configurer.BackendKindService {
		m.Kind = storer.MemberKindService
		m.Service = s.Companion.ServiceName
		return m
	}
	m.BaseModel = s.Companion.BaseModel
	m.Slots = c.table.Slots()
	m.ChecksFencing = s.checksFencing(c.engine.EngineState)
	return m
}

// join retries until it has a membership or the context ends.
func (c *Companion) join(ctx context.Context) error {
	wait := joinBackoffInitial
	for {
		err := c.joinOnce(ctx)
		if err == nil {
			return nil
		}
		c.settings.Log.Warn().Err(err).Str("Backend", c.settings.Node).Msg("join failed")
		if !pauser.Pause(ctx, c.jitter(wait)) {
			return errors.Annotate(context.Cause(ctx), err.Error())
		}
		wait = min(2*wait, joinBackoffMax)
	}
}

// jitter returns a random duration between 0.5 and 1.5 times d.
func (c *Companion) jitter(d time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return d/2 + time.Duration(c.settings.Random.Int64N(int64(d)))
}

func (c *Companion) joinOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	lease, err := c.settings.Control.Join(ctx, c.settings.Node, c.spec())
	if err != nil {
		return errors.Trace(err)
	}
	leaving, ended, err := c.applyLease(lease)
	if err != nil {
		return err
	}
	if leaving {
		c.sendLeave(ctx, lease.Epoch, ended)
	}
	return nil
}

// applyLease makes lease the present membership unless its epoch is lower than the present
// one. It returns whether a planned stop has begun, in which case the caller announces the
// leave of this membership, and whether that leave announces the end.
func (c *Companion) applyLease(lease registrar.Lease) (leaving, ended bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if lease.Epoch < c.lease.Epoch {
		return false, false, errors.Errorf("membership went back from epoch %d to %d", c.lease.Epoch, lease.Epoch)
	}
	c.lease = lease
	if c.table != nil {
		c.table.RaiseFence(lease.Epoch, c.engine.HighestFence)
	}
	c.settings.Recorder.Record(recorder.Event{
		Kind: recorder.KindMemberJoined, Backend: c.settings.Node, Revision: lease.Epoch, Detail: c.incarnation,
	})
	return c.leaving, c.ended, nil
}

// membershipEnded handles the end of a membership that the control hosts have reported.
func (c *Companion) membershipEnded(name string, epoch uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if name != c.settings.Node || epoch != c.lease.Epoch {
		return
	}
	c.settings.Recorder.Record(recorder.Event{Kind: recorder.KindMemberExpired, Backend: name, Revision: epoch})
	c.rejoin()
}

// rejoin starts a join unless one is in progress, or the companion is leaving or
// superseded. The caller holds mu.
func (c *Companion) rejoin() {
	if c.joining || c.leaving || c.superseded {
		return
	}
	c.joining = true
	c.spawnLocked(func(ctx context.Context) {
		if !c.checkSuperseded(ctx) {
			if err := c.join(ctx); err != nil {
				c.settings.Log.Debug().Err(err).Msg("rejoin ended")
			}
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.joining = false
	})
}

// checkSuperseded reads the engine's state and reports whether the engine has accepted
// orders of a later companion.
func (c *Companion) checkSuperseded(ctx context.Context) bool {
	if c.settings.Engine == nil {
		return false
	}
	state, ok := c.state(ctx)
	if !ok {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if state.HighestFence > c.table.Fence() {
		c.supersede()
	}
	return c.superseded
}

// renew sends heartbeats while the backend server is reachable.
func (c *Companion) renew(ctx context.Context) {
	interval := time.Duration(c.settings.Companion.HeartbeatInterval)
	for pauser.Pause(ctx, interval) {
		if r, ok := c.renewal(); ok {
			c.settings.Control.Renew(r)
		}
	}
}

// renewal returns the next heartbeat, and false if none must be sent.
func (c *Companion) renewal() (registrar.Renewal, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// Entries must stop using a backend server that does not answer, even if its companion
	// does, so the lease is left to expire.
	if c.superseded || !c.reachable(c.settings.Now()) {
		return registrar.Renewal{}, false
	}
	r := registrar.Renewal{
		Name: c.settings.Node, Epoch: c.lease.Epoch,
		Load: registrar.Load{
			Running: c.running, Queued: c.queue.Len(), MaxBatch: c.maxBatch, QueuedTokens: c.queue.Tokens(),
		},
	}
	if c.table != nil {
		for _, slot := range c.table.Residencies(nil) {
			if slot.Phase == loader.PhaseResident && !slot.Closing {
				r.Resident = append(r.Resident, slot.Version)
			}
		}
	}
	return r, true
}
