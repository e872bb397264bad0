package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/standin/driver"
)

// inForceTimeout bounds the wait until declared resources are in force.
const inForceTimeout = 30 * time.Second

// loadCommand puts load on a deployment and reports the results.
type loadCommand struct {
	Compare *loadCompareCommand `arg:"subcommand:compare" help:"print the figures of two reports side by side"`

	Workload  string        `default:"peachtree" placeholder:"NAME" help:"peachtree or agenzia"`
	Entries   []string      `arg:"--entry,separate" placeholder:"IP:PORT" help:"callers' listener of an entry; give one for each"`
	Operators []string      `arg:"--operator,separate" placeholder:"IP:PORT" help:"operators' listener of an entry, in the order of --entry"`
	KeyFile   string        `arg:"--key-file" placeholder:"FILE" help:"file with the operators' bearer key"`
	Engines   []string      `arg:"--engine,separate" placeholder:"IP:PORT" help:"stand-in engine whose record is read; give all or none"`
	Companion []string      `arg:"--companion,separate" placeholder:"IP:PORT" help:"operators' listener of a companion whose metrics are read, for engines that keep no record; give all or none"`
	Services  []string      `arg:"--service,separate" placeholder:"IP:PORT" help:"stand-in plain service whose record is read; give all or none"`
	Duration  time.Duration `default:"60s" help:"length of the run"`
	WarmUp    time.Duration `arg:"--warm-up" default:"0s" help:"part of the duration before the measuring begins"`
	Calls     int           `default:"1000000" help:"most calls of the run"`
	Seed      uint64        `default:"1" help:"seed of everything that is drawn"`
	TimeScale float64       `arg:"--time-scale" default:"1" help:"seconds that a second of the workload takes"`
	RateScale float64       `arg:"--rate-scale" default:"1" help:"factor of the number of calls"`
	Adapters  int           `help:"adapters in all, in place of the workload's own number"`
	Zipf      float64       `help:"exponent of the popularity, in place of the workload's own"`
	Random    bool          `help:"choose entries at random in place of in turn"`
	Keys      string        `placeholder:"FILE" help:"callers' keys: written by the run that prepares, read with --skip-prepare"`
	Skip      bool          `arg:"--skip-prepare" help:"the workload is declared already; needs --keys"`
	NoText    bool          `arg:"--unchecked-text" help:"don't compare the text of answers, for engines other than the stand-ins"`
	Remote    bool          `arg:"--allow-remote" help:"allow addresses that are not on the loopback"`
	Label     string        `help:"name of the run in reports and plots"`
	Report    string        `placeholder:"FILE" help:"write the report as JSON"`
	Plot      string        `placeholder:"FILE" help:"write the plot as PNG"`
}

// loadCompareCommand compares two reports.
type loadCompareCommand struct {
	A string `arg:"positional,required" placeholder:"A.json" help:"report to compare with"`
	B string `arg:"positional,required" placeholder:"B.json" help:"report to compare"`
}

func (c *loadCompareCommand) run(_ context.Context, out io.Writer) error {
	a, err := driver.ReadReport(c.A)
	if err != nil {
		return usageError{err}
	}
	b, err := driver.ReadReport(c.B)
	if err != nil {
		return usageError{err}
	}
	return driver.Compare(out, a, b)
}

func (c *loadCommand) run(ctx context.Context, out io.Writer) error {
	s, err := c.settings()
	if err != nil {
		return usageError{err}
	}
	if isTerminal(out) {
		s.Progress = func(p driver.Progress) { fmt.Fprintf(out, "\r%s\x1b[K", p) }
	}
	if s.Keys, err = c.prepare(ctx, &s.Workload, out); err != nil {
		return err
	}
	if err := c.awaitInForce(ctx, &s); err != nil {
		return err
	}
	d, err := driver.NewDriver(s)
	if err != nil {
		return usageError{err}
	}
	r, err := d.Run(ctx)
	if err != nil {
		return err
	}
	if s.Progress != nil {
		fmt.Fprintln(out)
	}
	if err := r.WriteText(out); err != nil {
		return err
	}
	if err := writeFile(c.Report, r.WriteJSON); err != nil {
		return err
	}
	if err := writeFile(c.Plot, r.WritePlot); err != nil {
		return err
	}
	if n := r.Broken(); n > 0 {
		return errors.Errorf("%d broken promises", n)
	}
	return nil
}

// settings returns the settings of the run, without callers' keys.
func (c *loadCommand) settings() (driver.Settings, error) {
	s := driver.Settings{
		Schedule: driver.ScheduleSettings{
			Seed: c.Seed, Duration: c.Duration, TimeScale: c.TimeScale, RateScale: c.RateScale, MaxCalls: c.Calls,
		},
		WarmUp:        c.WarmUp,
		AllowRemote:   c.Remote,
		SkipTextCheck: c.NoText,
		Label:         c.Label,
	}
	var err error
	if s.Workload, err = driver.WorkloadByName(c.Workload); err != nil {
		return s, err
	}
	if c.Adapters > 0 {
		s.Workload = s.Workload.WithAdapters(c.Adapters)
	}
	if c.Zipf > 0 {
		s.Workload.ZipfExponent = c.Zipf
	}
	if c.Random {
		s.Balance = driver.Random
	}
	for i, a := range c.Entries {
		e := driver.Entry{Address: a}
		if i < len(c.Operators) {
			e.Operator = c.Operators[i]
		}
		s.Entries = append(s.Entries, e)
	}
	for _, a := range c.Engines {
		s.Observed = append(s.Observed, driver.RemoteEngine{Address: a})
	}
	for _, a := range c.Companion {
		s.Observed = append(s.Observed, driver.RemoteCompanion{Operator: a})
	}
	for _, a := range c.Services {
		s.Observed = append(s.Observed, driver.RemoteService{Address: a})
	}
	return s, c.validate()
}

// validate returns an error for flags that are missing, out of range or incompatible.
func (c *loadCommand) validate() error {
	switch {
	case len(c.Entries) == 0:
		return errors.NotValidf("load without --entry")
	case !c.Skip && len(c.Operators) == 0:
		return errors.NotValidf("load without --operator to prepare through, and without --skip-prepare")
	case c.Skip && c.Keys == "":
		return errors.NotValidf("--skip-prepare without --keys")
	case c.Duration <= 0 || c.TimeScale <= 0 || c.RateScale <= 0 || c.Calls <= 0:
		return errors.NotValidf("--duration, --time-scale, --rate-scale or --calls of 0 or less")
	case c.WarmUp < 0 || c.WarmUp >= c.Duration:
		return errors.NotValidf("--warm-up %v in a run of %v", c.WarmUp, c.Duration)
	case c.Remote:
		return nil
	}
	return driver.CheckLoopback(slices.Concat(c.Operators, c.Entries, c.Engines, c.Companion, c.Services)...)
}

// awaitInForce waits until the declared workload is in force at all entries.
func (c *loadCommand) awaitInForce(ctx context.Context, s *driver.Settings) error {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	return errors.Annotate(driver.WaitAdaptersListed(ctx, &s.Workload, s.Keys, s.Entries), "the workload is not in force")
}

// prepare declares the workload and returns its callers' keys. With --skip-prepare, it only
// reads the keys that an earlier run has written.
func (c *loadCommand) prepare(ctx context.Context, w *driver.Workload, out io.Writer) ([]driver.WorkspaceKey, error) {
	if c.Skip {
		data, err := os.ReadFile(c.Keys)
		if err != nil {
			return nil, usageError{err}
		}
		var keys []driver.WorkspaceKey
		if err := json.Unmarshal(data, &keys); err != nil {
			return nil, usageError{errors.Annotate(err, c.Keys)}
		}
		return keys, nil
	}
	key, err := readKey(c.KeyFile)
	if err != nil {
		return nil, usageError{err}
	}
	keys := driver.NewKeys(w)
	accepted, err := driver.Prepare(ctx, w, keys, driver.PrepareSettings{Operators: c.Operators, Key: key})
	if err != nil {
		return nil, err
	}
	fmt.Fprintf(out, "prepared: %d changes accepted\n", accepted)
	if c.Keys == "" {
		return keys, nil
	}
	data, err := json.MarshalIndent(keys, "", "  ")
	if err != nil {
		return nil, errors.Trace(err)
	}
	return keys, errors.Trace(os.WriteFile(c.Keys, data, 0o600))
}

// writeFile creates a file and writes its content with write. It does nothing if path is
// empty.
func writeFile(path string, write func(io.Writer) error) error {
	if path == "" {
		return nil
	}
	f, err := os.Create(path)
	if err != nil {
		return errors.Trace(err)
	}
	err = write(f)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return errors.Annotate(err, path)
}

// isTerminal reports whether out is a character device and thus presumably a terminal.
func isTerminal(out io.Writer) bool {
	f, ok := out.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
