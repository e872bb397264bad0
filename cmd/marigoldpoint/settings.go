package main

import (
	"context"
	"fmt"
	"io"

	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
)

// settingsCommand groups the commands for settings files.
type settingsCommand struct {
	Check *settingsCheckCommand `arg:"subcommand:check" help:"check settings files without running them"`
}

// settingsCheckCommand checks settings files.
type settingsCheckCommand struct {
	Files []string `arg:"positional,required" placeholder:"FILE" help:"settings files"`
}

func (c *settingsCheckCommand) run(_ context.Context, out io.Writer) error {
	for _, f := range c.Files {
		if _, err := configurer.Load(f); err != nil {
			return usageError{err}
		}
		fmt.Fprintf(out, "%s: good\n", f)
	}
	return nil
}
