package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"marigoldpoint.example/marigoldpoint/internal/standin/demonstrator"
	"marigoldpoint.example/marigoldpoint/internal/standin/driver"
)

// demoCommand runs a small but complete deployment on loopback and puts load on it.
type demoCommand struct {
	Workload  string        `default:"peachtree" placeholder:"NAME" help:"peachtree or agenzia"`
	Entries   int           `default:"3" help:"hosts with the roles Entry and Control; 0 means the workload's own size, here and below"`
	Engines   int           `default:"6" help:"model engines"`
	Services  int           `default:"1" help:"backend servers of the plain service"`
	Adapters  int           `default:"240" help:"adapters"`
	Duration  time.Duration `default:"8s" help:"length of the load"`
	WarmUp    time.Duration `arg:"--warm-up" default:"0s" help:"part of the duration before the measuring begins"`
	TimeScale float64       `arg:"--time-scale" default:"0.1" help:"seconds that a second of the workload takes"`
	RateScale float64       `arg:"--rate-scale" default:"1" help:"factor of the number of calls"`
	Slots     int           `default:"4" help:"adapter slots of each engine"`
	MaxBatch  int           `arg:"--max-batch" default:"16" help:"sequences that an engine runs at once"`
	Policy    string        `default:"Marigold" help:"Marigold, or a baseline: Random, LeastLoaded, ConsistentHash"`
	Seed      uint64        `default:"1" help:"seed of everything that is drawn"`
	Folder    string        `help:"folder for the data folders; a temporary one by default"`
	Keep      bool          `help:"go on serving after the load until interrupted, at known ports and with known keys"`
	Port      int           `default:"8100" help:"with --keep, the first port"`
	Log       string        `placeholder:"FILE" help:"write the log of all processes"`
	Report    string        `placeholder:"FILE" help:"write the report as JSON"`
	Plot      string        `placeholder:"FILE" help:"write the plot as PNG"`
	faultOptions
}

func (c *demoCommand) run(ctx context.Context, out io.Writer) error {
	if c.ListFaults {
		_, err := io.WriteString(out, demonstrator.FaultList())
		return errors.Trace(err)
	}
	r, err := c.settings()
	if err != nil {
		return usageError{err}
	}
	if r.Folder == "" {
		if r.Folder, err = os.MkdirTemp("", "marigoldpoint-demo-"); err != nil {
			return errors.Trace(err)
		}
		defer func() { _ = os.RemoveAll(r.Folder) }()
	}
	closeLog, err := c.openLog(&r)
	if err != nil {
		return err
	}
	defer closeLog()
	if c.enabled() {
		return c.runFaults(ctx, r, c.Report, out)
	}
	d, keys, err := r.Prepare(ctx, out)
	if err != nil {
		return err
	}
	defer d.Close()
	report, err := r.Drive(ctx, d, keys)
	if err != nil {
		return err
	}
	if err := c.write(report, out); err != nil {
		return err
	}
	if c.Keep {
		serveUntilInterrupted(ctx, out, d, keys)
	}
	if n := report.Broken(); n > 0 {
		return errors.Errorf("%d broken promises", n)
	}
	return nil
}

func (c *demoCommand) settings() (demonstrator.Run, error) {
	r := demonstrator.Run{
		Entries: c.Entries, Engines: c.Engines, Services: c.Services, Slots: c.Slots, MaxBatch: c.MaxBatch,
		TimeScale: c.TimeScale, RateScale: c.RateScale, Duration: c.Duration, WarmUp: c.WarmUp, Seed: c.Seed, Folder: c.Folder, Label: c.Policy,
	}
	var err error
	if r.Workload, err = driver.WorkloadByName(c.Workload); err != nil {
		return r, err
	}
	if c.Adapters > 0 {
		r.Workload = r.Workload.WithAdapters(c.Adapters)
	}
	if err := r.Policy.UnmarshalText([]byte(c.Policy)); err != nil {
		return r, errors.Annotate(err, "--policy")
	}
	if c.Keep {
		r.FirstPort = c.Port
		r.Keys = demoKeys(r.Workload)
	}
	if c.TimeScale <= 0 || c.RateScale <= 0 || c.Duration <= 0 {
		return r, errors.NotValidf("--time-scale, --rate-scale or --duration of 0 or less")
	}
	if c.Entries < 0 || c.Engines < 0 || c.Services < 0 {
		return r, errors.NotValidf("negative --entries, --engines or --services")
	}
	return r, nil
}

// openLog sets the log of all processes to the file named by --log, or to none. The caller
// must call closeLog.
func (c *demoCommand) openLog(r *demonstrator.Run) (closeLog func(), err error) {
	if c.Log == "" {
		r.Log = zerolog.Nop()
		return func() {}, nil
	}
	f, err := os.Create(c.Log)
	if err != nil {
		return nil, usageError{err}
	}
	r.Log = zerolog.New(zerolog.SyncWriter(f)).Level(zerolog.DebugLevel).With().Timestamp().Logger()
	return func() { _ = f.Close() }, nil
}

func (c *demoCommand) write(r *driver.Report, out io.Writer) error {
	if err := r.WriteText(out); err != nil {
		return err
	}
	if err := writeFile(c.Report, r.WriteJSON); err != nil {
		return err
	}
	return writeFile(c.Plot, r.WritePlot)
}

// demoKeys returns fixed keys, so that the README can list them. They only protect a demo
// on loopback.
func demoKeys(w driver.Workload) []driver.WorkspaceKey {
	keys := make([]driver.WorkspaceKey, 0, len(w.Workspaces))
	for _, l := range w.Workspaces {
		keys = append(keys, driver.WorkspaceKey{Workspace: l.Name, Key: "demo-key-of-" + l.Name})
	}
	return keys
}

// serveUntilInterrupted prints the addresses and keys of a deployment and keeps it running
// until the command is interrupted.
func serveUntilInterrupted(ctx context.Context, out io.Writer, d *demonstrator.Deployment, keys []driver.WorkspaceKey) {
	fmt.Fprintf(out, "\nserving until interrupted:\n")
	operators := d.OperatorAddresses()
	for i, name := range d.Names() {
		fmt.Fprintf(out, "  %-12s operators http://%s\n", name, operators[i])
	}
	for _, a := range d.CallerAddresses() {
		fmt.Fprintf(out, "  callers      http://%s\n", a)
	}
	for _, k := range keys {
		fmt.Fprintf(out, "  key of %-12s %s\n", k.Workspace, k.Key)
	}
	<-ctx.Done()
}
