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

// handOverTimeout bounds the transfer of leadership at a planned stop.
const handOverTimeout = 5 * time.Second

// Stop shuts the process down as planned: it interrupts no request in progress unless the
// grace period or ctx ends first, which its error reports. Close must follow.
func (p *Process) Stop(ctx context.Context) error {
	p.stopping.Store(true)
	p.recorder.Record(recorder.Event{Kind: recorder.KindStopping, Detail: "process"})
	stop := p.settings.Configuration.Stop
	if p.entry != nil && !pauser.Pause(ctx, time.Duration(stop.BalancerDelay)) {
		return errors.Annotate(ctx.Err(), "waiting for the load balancer")
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
	// Requests that become complete late in the grace period could not end in it.
	p.entry.RefuseNew()
	return stderrors.Join(p.entryListener.Shutdown(ctx), p.entry.Drain(ctx))
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
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	return p.control.Stop(ctx)
}

// Close stops all roles at once and waits for them. Requests in progress are interrupted.
func (p *Process) Close() error {
	p.cancelRun()
	var errs []error
	for _, c := range p.closers() {
		errs = append(errs, c.Close())
	}
	p.tasks.Wait()
	return stderrors.Join(errs...)
}

// closers returns the started components in closing order.
func (p *Process) closers() []io.Closer {
	var closers []io.Closer
	if p.operatorsListener != nil {
		closers = append(closers, p.operatorsListener)
	}
	if p.entryListener != nil {
		closers = append(closers, p.entryListener)
	}
	if p.entry != nil {
		closers = append(closers, p.entry)
	}
	if p.pool != nil {
		closers = append(closers, p.pool)
	}
	p.companionMu.Lock()
	defer p.companionMu.Unlock()
	if p.companionListener != nil {
		closers = append(closers, p.companionListener)
	}
	if p.companion != nil {
		closers = append(closers, p.companion)
	}
	if p.client != nil {
		closers = append(closers, p.client)
	}
	if p.control != nil {
		closers = append(closers, p.control)
	}
	return closers
}
