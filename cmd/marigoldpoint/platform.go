package main

import (
	"context"
	"io"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/platform"
)

// platformCommand runs the roles that the users' platform names in its settings.
type platformCommand struct {
	MetricsPort int `arg:"--metrics-port" help:"port of the metrics; 0 means the third of the project's range"`
}

func (p platformCommand) run(ctx context.Context, out io.Writer) error {
	return errors.Trace(platform.Run(ctx, out, platform.Options{MetricsPort: p.MetricsPort}))
}
