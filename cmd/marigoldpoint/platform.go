package main

import (
	"context"
	"io"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/platform"
)

// platformCommand runs the roles that the users' platform asks for.
type platformCommand struct{}

func (platformCommand) run(ctx context.Context, out io.Writer) error {
	return errors.Trace(platform.Run(ctx, out))
}
