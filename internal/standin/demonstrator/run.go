package demonstrator

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"marigoldpoint.example/marigoldpoint/internal/coordination/loader"
	"marigoldpoint.example/marigoldpoint/internal/standin/driver"
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
)

// readyLimit bounds the start of a deployment.
const readyLimit = 20 * time.Second

// Run describes one deployment driven by one workload.
type Run struct {
	Workload driver.Workload
	// Entries, Engines and Services size the deployment; 0 means the workload's
	// own sizes.
	Entries  int
	Engines  int
	Services int
	// Slots and MaxBatch are those of each engine; 0 means the stand-in's.
	Slots    int
	MaxBatch int
	// TimeScale is the length of a second of the workload, in seconds.
	TimeScale float64
	Duration  time.Duration
	// WarmUp is the part of Duration that is checked and not measured.
	WarmUp time.Duration
	Seed   uint64
	// Policy is how entries choose and companions evict: the baselines evict the
	// version used longest ago.
	Policy configurer.Policy
	// RateScale multiplies the calls beyond the deployment's part of the
	// workload's engines; 0 means 1.
	RateScale float64
	Folder    string
	Label     string
	Progress  func(driver.Progress)
	// Keys are the callers' keys; none means new ones.
	Keys []driver.WorkspaceKey
	// FirstPort is that of the deployment's settings.
	FirstPort int
	// Log is the log of all processes; the zero value drops it.
	Log zerolog.Logger
}

// deployment returns the settings of the deployment.
func (r Run) deployment() Settings {
	size := r.Workload.Size
	s := Settings{Entries: r.Entries, Engines: r.Engines, Services: r.Services, Folder: r.Folder, Seed: r.Seed, FirstPort: r.FirstPort, Log: r.Log}
	if s.Entries == 0 {
		s.Entries = size.FailureDomains
	}
	if s.Engines == 0 {
		s.Engines = size.Engines
	}
	if s.Services == 0 {
		s.Services = size.ServiceWorkers
	}
	s.Engine.BaseModel = r.Workload.BaseModel
	s.Engine.Slots, s.Engine.MaxBatch, s.Engine.TimeScale = r.Slots, r.MaxBatch, r.TimeScale
	s.Engine.ChecksFencing = true
	s.Companion.Prefetch = r.Policy == configurer.PolicyMarigold
	s.Store.Rate, s.Store.TimeScale = size.LoadsPerSecond, r.TimeScale
	s.Control.StoreRate = float64(size.LoadsPerSecond) / r.TimeScale
	s.Service.Name = r.Workload.Service.Name
	s.Entry = r.entry()
	if r.Policy != configurer.PolicyMarigold {
		s.Eviction = loader.PolicyLeastRecentlyUsed
	}
	return s
}

// entry returns the settings that the two deployments' weights stand in.
func (r Run) entry() configurer.EntrySettings {
	e := configurer.EntrySettings{Policy: r.Policy, StallWeight: 4, BatchWeight: 1}
	if r.Workload.Name == driver.AgenziaName {
		e.StallWeight, e.BatchWeight = 1, 4
	}
	return e
}

// Driver returns the settings of the driver for a running deployment.
func (r Run) driver(d *Deployment, keys []driver.WorkspaceKey) driver.Settings {
	rate := r.RateScale
	if rate == 0 {
		rate = 1
	}
	s := driver.Settings{
		Workload: r.Workload,
		Schedule: driver.ScheduleSettings{
			Seed:      r.Seed,
			Duration:  r.Duration,
			TimeScale: r.TimeScale,
			RateScale: rate * float64(len(d.Engines())) / float64(r.Workload.Size.Engines),
		},
		WarmUp:   r.WarmUp,
		Keys:     keys,
		Label:    r.Label,
		Progress: r.Progress,
	}
	s.Entries = d.entries()
	for _, e := range d.Engines() {
		s.Observed = append(s.Observed, driver.LocalEngine{Engine: e, MaxBatch: e.MaxBatch()})
	}
	for _, v := range d.Services() {
		s.Observed = append(s.Observed, driver.LocalService{Service: v})
	}
	return s
}

// Prepare starts the deployment and declares the workload through its operator
// API. The deployment must be closed.
func (r Run) Prepare(ctx context.Context, out io.Writer) (*Deployment, []driver.WorkspaceKey, error) {
	d, err := NewDeployment(r.deployment()) //nolint:contextcheck // Close ends it.
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	keys, err := r.declare(ctx, d, out)
	if err != nil {
		_ = d.Close()
		return nil, nil, errors.Trace(err)
	}
	return d, keys, nil
}

func (r Run) declare(ctx context.Context, d *Deployment, out io.Writer) ([]driver.WorkspaceKey, error) {
	ready, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	if err := d.Ready(ready); err != nil {
		return nil, errors.Trace(err)
	}
	began := time.Now()
	keys := r.Keys
	if keys == nil {
		keys = driver.NewKeys(&r.Workload)
	}
	operators := d.OperatorAddresses()[:len(d.CallerAddresses())]
	accepted, err := driver.Prepare(ctx, &r.Workload, keys, driver.PrepareSettings{Operators: operators})
	if err != nil {
		return nil, errors.Trace(err)
	}
	fmt.Fprintf(out, "declared %d adapters in %d changes, accepted in %v\n",
		r.Workload.Adapters(), accepted, time.Since(began).Round(time.Millisecond))
	return keys, errors.Trace(r.inForce(ctx, d, keys))
}

// inForce waits until every entry serves what was declared. Comparing the
// entries' revisions would not do: entries that are equally behind agree.
func (r Run) inForce(ctx context.Context, d *Deployment, keys []driver.WorkspaceKey) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	return driver.WaitAdaptersListed(ctx, &r.Workload, keys, d.entries())
}

// entries returns the entries as the driver reaches them.
func (d *Deployment) entries() []driver.Entry {
	operators := d.OperatorAddresses()
	var entries []driver.Entry
	for i, address := range d.CallerAddresses() {
		entries = append(entries, driver.Entry{Address: address, Operator: operators[i]})
	}
	return entries
}

// Drive runs the workload against a prepared deployment.
func (r Run) Drive(ctx context.Context, d *Deployment, keys []driver.WorkspaceKey) (*driver.Report, error) {
	load, err := driver.NewDriver(r.driver(d, keys))
	if err != nil {
		return nil, errors.Trace(err)
	}
	report, err := load.Run(ctx)
	return report, errors.Trace(err)
}
