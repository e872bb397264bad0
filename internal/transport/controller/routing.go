package controller

import (
	"context"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/packer"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// PutRouting commits a routing configuration that the caller has validated. A
// configuration whose number is not above the one in force is accepted and changes
// nothing. Its errors are those of Propose.
func (c *Control) PutRouting(ctx context.Context, number uint64, document []byte) error {
	packed, err := packer.Pack(document)
	if err != nil {
		return errors.Trace(err)
	}
	return c.proposeCommand(ctx, storer.PutRouting{Number: number, Document: packed})
}

// NameNewest commits the newest version of an adapter or model.
func (c *Control) NameNewest(ctx context.Context, name string, version uint64) error {
	return c.proposeCommand(ctx, storer.NameNewest{Name: name, Version: version})
}

func (c *Control) proposeCommand(ctx context.Context, command storer.Command) error {
	result, err := c.Propose(ctx, storer.Envelope{Command: command})
	if err != nil {
		return err
	}
	if result.Verdict != storer.VerdictAccepted {
		return errors.NotValidf("%T: %s", command, result.Reason)
	}
	c.settings.Log.Info().Type("Command", command).Uint64("Revision", result.Revision).Msg("routing command accepted")
	return nil
}

// Routing returns the routing configuration in force after everything accepted before the
// call, with its document as the operator sent it. It returns false if there is none.
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
