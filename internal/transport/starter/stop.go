package starter

import (
	"context"
	stderrors "errors"
	"io"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/pauser"
	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
)

// handOverLimit bounds the transfer of leadership at a planned stop.
const handOverLimit = 5 * time.Second

// Stop ends the process as planned: it cuts off no request in progress unless
// the grace period or ctx ends first, which its error tells. Close must follow.
func (p *Process) Stop(ctx context.Context) error {
	p.stopping.Store(true)
	p.recorder.Record(recorder.Event{Kind: recorder.KindStopping, Detail: "process"})
	stop := p.settings.Configuration.Stop
	if p.entry != nil && !pauser.Pause(ctx, time.Duration(stop.BalancerDelay)) {
		return errors.Annotate(ctx.Err(), "waiting for the balancer")
	}
	grace, cancel := context.WithTimeout(ctx, time.Duration(stop.GracePeriod))
	defer cancel()
	err := stderrors.Join(p.stopEntry(grace), p.stopCompanion(grace), p.stopControl(ctx))
	p.recorder.Record(recorder.Event{Kind: recorder.KindStopped, Detail: "process"})
	return err
}

func (p *Process) stopEntry(ctx context.Context) error {
	if p.entry == nil {
		return nil
	}
	return stderrors.Join(p.callers.Shutdown(ctx), p.entry.Drain(ctx))
}

func (p *Process) stopCompanion(ctx context.Context) error {
	c := p.currentCompanion()
	if c == nil {
		return nil
	}
	return c.Drain(ctx)
}

func (p *Process) stopControl(ctx context.Context) error {
	if p.control == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, handOverLimit)
	defer cancel()
	return p.control.Stop(ctx)
}

// Close ends all roles at once and waits for them. What was in progress is cut
// off.
func (p *Process) Close() error {
	p.abandon()
	var errs []error
	for _, c := range p.parts() {
		errs = append(errs, c.Close())
	}
	p.tasks.Wait()
	return stderrors.Join(errs...)
}

// parts returns what was started, in the order of closing.
func (p *Process) parts() []io.Closer {
	var parts []io.Closer
	if p.operators != nil {
		parts = append(parts, p.operators)
	}
	if p.callers != nil {
		parts = append(parts, p.callers)
	}
	if p.entry != nil {
		parts = append(parts, p.entry)
	}
	if p.pool != nil {
		parts = append(parts, p.pool)
	}
	p.standing.Lock()
	defer p.standing.Unlock()
	if p.dispatches != nil {
		parts = append(parts, p.dispatches)
	}
	if p.companion != nil {
		parts = append(parts, p.companion)
	}
	if p.client != nil {
		parts = append(parts, p.client)
	}
	if p.control != nil {
		parts = append(parts, p.control)
	}
	return parts
}
