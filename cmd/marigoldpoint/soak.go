package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/standin/driver"
	"marigoldpoint.example/marigoldpoint/internal/standin/soaker"
)

// soakCommand disturbs a deployment of separate processes by signals under load.
type soakCommand struct {
	Workload  string        `default:"peachtree" placeholder:"NAME" help:"peachtree or agenzia"`
	Entries   int           `default:"3" help:"hosts with the roles Entry and Control"`
	Engines   int           `default:"4" help:"model engines, each with a companion"`
	Services  int           `default:"2" help:"backend servers of the plain service, each with a companion"`
	Adapters  int           `default:"80" help:"adapters"`
	Duration  time.Duration `default:"15s" help:"time in which processes are disturbed"`
	Links     bool          `help:"also disturb the connections between processes: delays, resets, cuts in one direction, silence"`
	TimeScale float64       `arg:"--time-scale" default:"0.1" help:"seconds that a second of the workload takes"`
	RateScale float64       `arg:"--rate-scale" default:"0.4" help:"factor of the number of calls"`
	Seed      uint64        `default:"1" help:"seed of the first soak"`
	Seeds     uint64        `default:"1" help:"number of soaks, each with the next seed"`
	Folder    string        `help:"folder for settings, data and logs, which stay; by default a temporary one, which stays only if a promise was broken"`
}

func (c *soakCommand) run(ctx context.Context, out io.Writer) error {
	w, err := driver.WorkloadByName(c.Workload)
	if err != nil {
		return usageError{err}
	}
	if c.Entries < 1 || c.Engines < 1 || c.Services < 1 || c.Adapters < 1 || c.Duration <= 0 || c.TimeScale <= 0 || c.RateScale <= 0 {
		return usageError{errors.NotValidf("number of 0 or less")}
	}
	program, err := os.Executable()
	if err != nil {
		return errors.Trace(err)
	}
	s := soaker.Settings{
		Program: program, Workload: w.WithAdapters(c.Adapters), Entries: c.Entries, Engines: c.Engines, Services: c.Services,
		Duration: c.Duration, Links: c.Links, TimeScale: c.TimeScale, RateScale: c.RateScale, Out: out,
	}
	broken := 0
	for s.Seed = c.Seed; s.Seed < c.Seed+c.Seeds; s.Seed++ {
		kept, err := c.soak(ctx, s)
		if err != nil {
			return errors.Annotatef(err, "seed %d", s.Seed)
		}
		if !kept {
			broken++
		}
	}
	fmt.Fprintf(out, "%d seeds, %d of them with broken promises\n", c.Seeds, broken)
	if broken > 0 {
		return errors.Errorf("%d of %d seeds broke promises", broken, c.Seeds)
	}
	return nil
}

// soak runs one soak and reports whether all promises were kept.
func (c *soakCommand) soak(ctx context.Context, s soaker.Settings) (kept bool, err error) {
	if s.Folder, err = c.folder(s.Seed); err != nil {
		return false, err
	}
	if c.Folder == "" {
		defer func() {
			if kept {
				_ = os.RemoveAll(s.Folder)
			}
		}()
	}
	fmt.Fprintf(s.Out, "seed %d, folder %s\n", s.Seed, s.Folder)
	r, err := soaker.Do(ctx, s)
	if err != nil {
		return false, err
	}
	return r.Broken() == 0, errors.Trace(r.WriteText(s.Out))
}

// folder creates the folder of one soak.
func (c *soakCommand) folder(seed uint64) (string, error) {
	if c.Folder == "" {
		path, err := os.MkdirTemp("", "marigoldpoint-soak-")
		return path, errors.Trace(err)
	}
	path, err := filepath.Abs(filepath.Join(c.Folder, fmt.Sprint("seed-", seed)))
	if err != nil {
		return "", errors.Trace(err)
	}
	return path, errors.Trace(os.MkdirAll(path, 0o750))
}
