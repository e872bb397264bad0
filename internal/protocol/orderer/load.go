package orderer

import (
	"context"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/pauser"
)

// Load orders the engine to load the adapter and waits until it is resident. The
// order is sent once. While its connection is silent, and after it broke, the
// engine's state is asked for on another one, so that a lost answer costs no more
// than SilenceLimit.
//
// ErrLoadFailed means that the load was begun and given up. Any other error that
// matches ErrUnknown leaves open whether the load goes on; State tells.
func (e *Engine) Load(ctx context.Context, fence uint64, name, path string) error {
	s := &e.caller.settings
	ctx, cancel := context.WithTimeout(ctx, s.LoadTimeout)
	order := AdapterOrder{Name: name, Path: path}
	answered := make(chan error, 1)
	go func() {
		defer close(answered)
		answered <- e.order(ctx, s.LoadTimeout, PathLoadAdapter, fence, order, nil)
	}()
	defer func() {
		cancel()
		for range answered { // Closed once the goroutine has ended.
		}
	}()
	ticker := time.NewTicker(s.SilenceLimit)
	defer ticker.Stop()
	watch := loadWatch{order: order, patience: s.ResumeAttempts}
	for {
		select {
		case err := <-answered:
			if !errors.Is(err, ErrUnknown) || errors.Is(err, ErrLoadFailed) {
				return errors.Annotatef(err, "load %s", name)
			}
			return errors.Annotatef(e.settleLoad(ctx, &watch, err), "load %s", name)
		case <-ticker.C:
			// What silenced this connection may have silenced the pooled ones.
			e.caller.pooled.CloseIdleConnections()
			state, err := e.State(ctx)
			if err != nil {
				continue // The order's own answer or the timeout ends the wait.
			}
			if ended, err := watch.observe(&state); ended {
				return errors.Annotatef(err, "load %s", name)
			}
		}
	}
}

// settleLoad finds out how a load stands whose connection broke with cause. It
// returns cause if the engine shows nothing of the load, or doesn't answer.
func (e *Engine) settleLoad(ctx context.Context, watch *loadWatch, cause error) error {
	s := &e.caller.settings
	for attempt := 0; attempt < s.ResumeAttempts && ctx.Err() == nil; attempt++ {
		if attempt > 0 && !pauser.Pause(ctx, s.ResumePause) {
			break
		}
		state, err := e.State(ctx)
		if err != nil {
			continue
		}
		if ended, err := watch.observe(&state); ended {
			return err
		}
		if watch.seen != "" {
			attempt = 0 // The load goes on; only its end or the timeout matters.
		}
	}
	return cause
}

// loadWatch judges by an engine's successive states how a load stands.
type loadWatch struct {
	order AdapterOrder
	// patience is the number of further states without a trace of the load after
	// which it is given up as forgotten.
	patience int
	// seen is the incarnation in which the load was seen under way, or empty.
	seen string
}

// observe returns true when the load has ended, and how.
func (w *loadWatch) observe(s *EngineState) (bool, error) {
	for _, a := range s.Adapters {
		if a.Name != w.order.Name {
			continue
		}
		if a.Phase == Resident && a.Path == w.order.Path {
			return true, nil
		}
		w.seen = s.Incarnation
		return false, nil
	}
	reason := ErrLoadFailed
	if w.seen == "" {
		reason = ErrRequestNotFound // The order may still be on its way.
		w.patience--
	}
	ended := w.seen != "" || w.patience <= 0
	return ended, &Error{MayHaveBegun: true, Reason: reason, Incarnation: s.Incarnation}
}
