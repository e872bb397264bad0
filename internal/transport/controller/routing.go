package controller

import (
	"context"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/packer"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// PutRouting accepts a routing configuration, which the caller has checked. One
// whose number is not above that in force is accepted and changes nothing. Its
// errors are those of Propose.
func (c *Control) PutRouting(ctx context.Context, number uint64, document []byte) error {
	packed, err := packer.Pack(document)
	if err != nil {
		return errors.Trace(err)
	}
	return c.accept(ctx, storer.PutRouting{Number: number, Document: packed})
}

// SetNewestVersion accepts the newest version of an adapter or model.
func (c *Control) SetNewestVersion(ctx context.Context, name string, version uint64) error {
	return c.accept(ctx, storer.NameNewest{Name: name, Version: version})
}

func (c *Control) accept(ctx context.Context, command storer.Command) error {
	result, err := c.Propose(ctx, storer.Envelope{Command: command})
	if err != nil {
		return err
	}
	if result.Verdict != storer.VerdictAccepted {
		return errors.NotValidf("%T: %s", command, result.Reason)
	}
	c.settings.Log.Info().Type("Command", command).Uint64("Revision", result.Revision).Msg("accepted")
	return nil
}

// Routing returns the routing configuration that holds after all that was
// accepted before the call, its document as the operator sent it, and false where
// there is none.
func (c *Control) Routing(ctx context.Context) (storer.RoutingSpec, bool, error) {
	if err := c.barrier(ctx); err != nil {
		return storer.RoutingSpec{}, false, err
	}
	r, ok := c.store.Get(storer.Key{Kind: storer.KindRouting, Name: storer.RoutingName})
	if !ok {
		return storer.RoutingSpec{}, false, nil
	}
	spec := r.Spec.(storer.RoutingSpec)
	document, err := packer.Unpack(spec.Document)
	spec.Document = document
	return spec, err == nil, errors.Trace(err)
}
