package soaker

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/standin/driver"
)

// loadAfter is how long the load goes on after the last disturbance has begun.
const loadAfter = 4 * time.Second

// Report is the result of a soak.
type Report struct {
	Seed   uint64
	Events []Event
	Links  []LinkEvent
	// Starts is the number of incarnations of all processes, and Changes the number of accepted
	// changes of the configuration.
	Starts  int
	Changes int
	// Load is the report of the load.
	Load *driver.Report
	// Findings are the broken promises that are not in Load.
	Findings []string
}

// Broken returns the number of broken promises.
func (r *Report) Broken() int64 {
	n := int64(len(r.Findings))
	if r.Load != nil {
		n += r.Load.Broken()
	}
	return n
}

// Do runs a soak. An error means that it could not be carried out.
func Do(ctx context.Context, s Settings) (*Report, error) {
	f := &findings{began: time.Now()}
	d, err := newDeployment(s, f) //nolint:contextcheck // The processes end with close.
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer d.close()
	if err := d.awaitReady(ctx); err != nil {
		return nil, errors.Trace(err)
	}
	keys := driver.NewKeys(&s.Workload)
	if _, err := driver.Prepare(ctx, &s.Workload, keys, driver.PrepareSettings{Operators: d.operators()}); err != nil {
		return nil, errors.Annotate(err, "declaring the workload")
	}
	if err := driver.WaitAdaptersListed(ctx, &s.Workload, keys, d.entries()); err != nil {
		return nil, errors.Annotate(err, "waiting for the adapters")
	}
	load, err := driver.NewDriver(driver.Settings{
		Workload: s.Workload, Entries: d.entries(), Keys: keys, Observed: d.observed(), Balance: driver.Random,
		Schedule: driver.ScheduleSettings{Seed: s.Seed, Duration: s.Duration + loadAfter, TimeScale: s.TimeScale, RateScale: s.RateScale},
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	r := &Report{Seed: s.Seed}
	r.Events, r.Links = Draw(s.Seed, d.names(), s.Duration, s.Links)
	changer := newChanger(d.operators(), f)
	changing, stopChanging := context.WithCancel(ctx)
	defer stopChanging()
	var work sync.WaitGroup
	var loadErr error
	work.Go(func() { r.Load, loadErr = load.Run(ctx) })
	work.Go(func() { changer.run(changing) })
	d.disturb(ctx, Merge(r.Events, r.Links))
	stopChanging()
	work.Wait()
	if loadErr != nil {
		return r, errors.Annotate(loadErr, "load")
	}
	if err := changer.settle(ctx); err != nil {
		f.add("not recovered: %v", err)
	}
	r.Changes, r.Findings = len(changer.accepted), f.all()
	for _, p := range d.processes {
		r.Starts += p.startCount()
	}
	return r, nil
}

// WriteText writes the figures and the broken promises.
func (r *Report) WriteText(out io.Writer) error {
	w := bufio.NewWriter(out)
	fmt.Fprintf(w, "seed %d: %d disturbances, %d link faults, %d starts, %d changes accepted\n", r.Seed, len(r.Events), len(r.Links), r.Starts, r.Changes)
	if r.Load != nil {
		n := r.Load.All.Endings
		fmt.Fprintf(w, "  calls %d: completed %d, not run %d, unknown %d, cut %d, unanswered %d\n", n.Calls, n.Completed, n.NotRun, n.Unknown, n.Cut, n.Unanswered)
		for _, p := range r.Load.Promises {
			if p.Broken != nil && *p.Broken > 0 {
				fmt.Fprintf(w, "BROKEN %v, %d times: %v\n", p.Promise, *p.Broken, p.Examples)
			}
		}
	}
	for _, f := range r.Findings {
		fmt.Fprintln(w, "BROKEN", f)
	}
	return errors.Trace(w.Flush())
}
