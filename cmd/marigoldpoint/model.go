package main

import (
	"context"
	"encoding/json"
	"io"
	"runtime"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/standin/modeler"
)

// modelCommand simulates load patterns on the decision components in virtual time.
type modelCommand struct {
	Patterns []string `arg:"--pattern,separate" placeholder:"NAME" help:"pattern to play; all by default"`
	Seeds    int      `default:"5" help:"number of seeds of each"`
	Without  []string `arg:"--without,separate" placeholder:"MECHANISM" help:"mechanism to switch off; given several times, all of them at once"`
	Each     bool     `help:"also without each mechanism in turn"`
	JSON     bool     `arg:"--json" help:"write JSON instead of text"`
}

func (c *modelCommand) run(_ context.Context, out io.Writer) error {
	if c.Seeds <= 0 {
		return usageError{errors.NotValidf("--seeds %d", c.Seeds)}
	}
	patterns, without, err := c.selection()
	if err != nil {
		return usageError{err}
	}
	var rows []modeler.Row
	for _, p := range patterns {
		for _, w := range without {
			row, err := modeler.SimulateSeeds(p, w, c.Seeds, runtime.NumCPU()/2)
			if err != nil {
				return errors.Trace(err)
			}
			rows = append(rows, row)
		}
	}
	if c.JSON {
		return errors.Trace(json.NewEncoder(out).Encode(rows))
	}
	return errors.Trace(modeler.WriteTable(out, rows))
}

// selection returns the patterns to simulate and the sets of mechanisms to switch off.
func (c *modelCommand) selection() ([]modeler.Pattern, [][]modeler.Mechanism, error) {
	patterns := modeler.Patterns()
	if len(c.Patterns) > 0 {
		patterns = nil
	}
	for _, name := range c.Patterns {
		p, err := modeler.FindPattern(name)
		if err != nil {
			return nil, nil, err
		}
		patterns = append(patterns, p)
	}
	var excluded []modeler.Mechanism
	for _, name := range c.Without {
		m, err := modeler.FindMechanism(name)
		if err != nil {
			return nil, nil, err
		}
		excluded = append(excluded, m)
	}
	sets := [][]modeler.Mechanism{excluded}
	if c.Each {
		for _, m := range modeler.Mechanisms() {
			sets = append(sets, append(excluded[:len(excluded):len(excluded)], m))
		}
	}
	return patterns, sets, nil
}
