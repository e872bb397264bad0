package orderer

import (
	"context"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/pauser"
)

// Load orders the engine to load the adapter and waits until it is resident. The order is
// sent once. While its connection is silent, and after the connection broke, Load polls
// the state of the engine on another connection, so that a lost answer delays it by no
// more than SilenceLimit.
//
// ErrLoadFailed means that the load was begun and aborted. After any other error that
// matches ErrUnknown the load may still be in progress, which State shows.
func (e *Engine) Load(ctx context.Context, fence uint64, name, path string) error {
	s := &e.client.settings
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
	monitor := loadMonitor{order: order, missesLeft: s.ResumeAttempts}
	for {
		select {
		case err := <-answered:
			if !errors.Is(err, ErrUnknown) || errors.Is(err, ErrLoadFailed) {
				return errors.Annotatef(err, "load %s", name)
			}
			return errors.Annotatef(e.awaitLoadOutcome(ctx, &monitor, err), "load %s", name)
		case <-ticker.C:
			// The pooled connections may be silent for the same reason.
			e.client.pooled.CloseIdleConnections()
			state, err := e.State(ctx)
			if err != nil {
				continue // The answer to the order or the timeout ends the wait.
			}
			if ended, err := monitor.observe(&state); ended {
				return errors.Annotatef(err, "load %s", name)
			}
		}
	}
}

// awaitLoadOutcome determines the outcome of a load whose connection failed with cause by
// polling the state of the engine. It returns cause if the received states don't show the
// outcome.
func (e *Engine) awaitLoadOutcome(ctx context.Context, monitor *loadMonitor, cause error) error {
	s := &e.client.settings
	for attempt := 0; attempt < s.ResumeAttempts && ctx.Err() == nil; attempt++ {
		if attempt > 0 && !pauser.Pause(ctx, s.ResumePause) {
			break
		}
		state, err := e.State(ctx)
		if err != nil {
			continue
		}
		if ended, err := monitor.observe(&state); ended {
			return err
		}
		if monitor.seenIncarnation != "" {
			attempt = 0 // The load is in progress; wait for its end or the timeout.
		}
	}
	return cause
}

// loadMonitor derives the progress of a load from successive states of an engine.
type loadMonitor struct {
	order AdapterOrder
	// missesLeft is the number of further states that don't contain the load before it
	// fails with ErrRequestNotFound.
	missesLeft int
	// seenIncarnation is the incarnation of the engine in which the load was observed in
	// progress, or empty.
	seenIncarnation string
}

// observe processes a state of the engine. It returns true and the result of the load if
// the load has ended.
func (w *loadMonitor) observe(s *EngineState) (bool, error) {
	for _, a := range s.Adapters {
		if a.Name != w.order.Name {
			continue
		}
		if a.Phase == Resident && a.Path == w.order.Path {
			return true, nil
		}
		w.seenIncarnation = s.Incarnation
		return false, nil
	}
	reason := ErrLoadFailed
	if w.seenIncarnation == "" {
		reason = ErrRequestNotFound // The order may still arrive.
		w.missesLeft--
	}
	ended := w.seenIncarnation != "" || w.missesLeft <= 0
	return ended, &Error{MayHaveBegun: true, Reason: reason, Incarnation: s.Incarnation}
}
