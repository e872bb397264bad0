package main

import (
	"context"
	"io"
	"strings"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/standin/demonstrator"
)

// faultOptions are the options of a demonstration with injected faults.
type faultOptions struct {
	Faults     bool     `help:"produce faults one after the other under load, a short list that stays the same"`
	Fault      []string `placeholder:"NAME" help:"produce these faults only, or All"`
	Rounds     int      `default:"1" help:"how often each fault is produced"`
	NoFencing  bool     `arg:"--no-fencing" help:"have engines ignore fencing numbers while faults are produced"`
	Timelines  string   `placeholder:"FOLDER" help:"write the time line of each fault that broke a promise"`
	ListFaults bool     `arg:"--list-faults" help:"list the faults and end"`
}

func (c *faultOptions) enabled() bool { return c.Faults || len(c.Fault) > 0 }

// runFaults injects the faults and prints, for each promise, how it was tested and how often
// it was broken. It returns an error if any promise was broken.
func (c *faultOptions) runFaults(ctx context.Context, r demonstrator.Run, path string, out io.Writer) error {
	f := demonstrator.FaultRun{Run: r, Faults: demonstrator.ShortFaults(), Rounds: c.Rounds, Out: out, Timelines: c.Timelines, IgnoreFencing: c.NoFencing}
	if len(c.Fault) > 0 {
		var err error
		if f.Faults, err = demonstrator.ParseFaults(strings.Join(c.Fault, ",")); err != nil {
			return usageError{err}
		}
	}
	report, runErr := f.Do(ctx)
	if err := report.WriteSummary(out); err != nil {
		return err
	}
	if err := writeFile(path, report.WriteJSON); err != nil {
		return err
	}
	if runErr != nil {
		return runErr
	}
	if n := report.Broken(); n > 0 {
		return errors.Errorf("%d broken promises", n)
	}
	return nil
}
