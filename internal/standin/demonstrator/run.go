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

// readyTimeout bounds each of the waits for a new deployment: until its processes
// are ready and until its entries list the declared adapters.
const readyTimeout = 20 * time.Second

// Run describes one deployment under the load of one workload.
type Run struct {
	Workload driver.Workload
	// Entries, Engines and Services are the numbers of processes of each kind; 0
	// means the number in the workload.
	Entries  int
	Engines  int
	Services int
	// Slots and MaxBatch apply to each engine; 0 means the stand-in's default.
	Slots    int
	MaxBatch int
	// TimeScale is the duration of one second of the workload, in seconds.
	TimeScale float64
	Duration  time.Duration
	// WarmUp is the initial part of Duration whose calls are checked but not
	// measured.
	WarmUp time.Duration
	Seed   uint64
	// Policy selects how entries choose backend servers and companions evict
	// versions: the baseline policies evict the least recently used version.
	Policy configurer.Policy
	// RateScale multiplies the call rate, which is already scaled by the ratio of
	// the deployment's engines to the workload's; 0 means 1.
	RateScale float64
	Folder    string
	Label     string
	Progress  func(driver.Progress)
	// Keys are the callers' keys; nil means that new ones are generated.
	Keys []driver.WorkspaceKey
	// FirstPort is passed to Settings.FirstPort.
	FirstPort int
	// Log receives the log of all processes; the zero value discards it.
	Log zerolog.Logger
}

// deploymentSettings returns the settings of the deployment for this run.
func (r Run) deploymentSettings() Settings {
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
	s.Entry = r.entrySettings()
	if r.Policy != configurer.PolicyMarigold {
		s.Eviction = loader.PolicyLeastRecentlyUsed
	}
	return s
}

// entrySettings returns the entry settings with the policy and the weights of
// the workload's deployment.
func (r Run) entrySettings() configurer.EntrySettings {
	e := configurer.EntrySettings{Policy: r.Policy, StallWeight: 4, BatchWeight: 1}
	if r.Workload.Name == driver.AgenziaName {
		e.StallWeight, e.BatchWeight = 1, 4
	}
	return e
}

// driver returns the settings of the load driver for a running
// deployment.
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
// API. It writes a line about the declaration to out. The caller must close the
// returned deployment.
func (r Run) Prepare(ctx context.Context, out io.Writer) (*Deployment, []driver.WorkspaceKey, error) {
	d, err := NewDeployment(r.deploymentSettings()) //nolint:contextcheck // Close ends it.
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
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
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
	return keys, errors.Trace(r.waitAdaptersListed(ctx, d, keys))
}

// waitAdaptersListed waits until every entry lists the declared adapters.
// Comparing the entries' revisions is not enough: entries that lag by the same
// amount have equal revisions.
func (r Run) waitAdaptersListed(ctx context.Context, d *Deployment, keys []driver.WorkspaceKey) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return driver.WaitAdaptersListed(ctx, &r.Workload, keys, d.entries())
}

// entries returns the entries' addresses for the driver.
func (d *Deployment) entries() []driver.Entry {
	operators := d.OperatorAddresses()
	var entries []driver.Entry
	for i, address := range d.CallerAddresses() {
		entries = append(entries, driver.Entry{Address: address, Operator: operators[i]})
	}
	return entries
}

// Drive runs the workload against a prepared deployment and returns the driver's
// report.
func (r Run) Drive(ctx context.Context, d *Deployment, keys []driver.WorkspaceKey) (*driver.Report, error) {
	load, err := driver.NewDriver(r.driver(d, keys))
	if err != nil {
		return nil, errors.Trace(err)
	}
	report, err := load.Run(ctx)
	return report, errors.Trace(err)
}
