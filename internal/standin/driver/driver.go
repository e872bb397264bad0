package driver

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/semaphore"
)

const (
	progressInterval = time.Second
	probeInterval    = 250 * time.Millisecond
	probeTimeout     = 2 * time.Second
	recordTimeout    = 30 * time.Second
	pathReady        = "/readyz"
)

// Driver drives one run. Make a new one for each run.
type Driver struct {
	settings Settings
	caller   caller
	balancer *balancer
	observer observer
	// slots bounds the calls in progress.
	slots *semaphore.Weighted
	// start is the start of the run; it is set before any goroutine begins.
	start time.Time
	sent  atomic.Int64
	// results and samples are read by the collector.
	results chan result
	samples chan sample
}

// result is the answer to one call.
type result struct {
	call   Call
	answer Answer
	// resent marks the second answer to a call that was sent twice on purpose.
	resent bool
}

// sample is the batch fill of one interval, or why it is unknown.
type sample struct {
	at   time.Duration
	fill *float64
	err  error
}

// NewDriver returns a driver. It returns an error if the settings can't be carried
// out.
func NewDriver(s Settings) (*Driver, error) {
	s = s.withDefaults()
	if err := s.validate(); err != nil {
		return nil, errors.Trace(err)
	}
	keys, err := bearers(&s.Workload, s.Keys)
	if err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(s.Schedule.Seed, balanceStream))
	d := &Driver{
		settings: s,
		balancer: newBalancer(len(s.Entries), s.Balance, random),
		slots:    semaphore.NewWeighted(int64(s.MaxInFlight)),
		results:  make(chan result, s.MaxInFlight),
		samples:  make(chan sample),
	}
	client := newClient(s.MaxInFlight)
	d.caller = caller{client: client, service: s.Workload.Service.Name, bearer: keys, now: d.now}
	d.observer = observer{client: client}
	return d, nil
}

// now returns the time since the start of the run.
func (d *Driver) now() time.Duration { return time.Since(d.start) }

// Run drives the whole run and returns its report. If ctx ends, the run stops
// sending, waits for what it sent and reports that it was stopped. It returns an
// error where the records can't be read before the start.
func (d *Driver) Run(ctx context.Context) (*Report, error) {
	defer d.caller.client.CloseIdleConnections()
	detached := context.WithoutCancel(ctx)
	before, err := d.observe(detached, false)
	if err != nil {
		return nil, errors.Annotate(err, "before the run")
	}
	c := newCollector(&d.settings)
	seen := records{before: before, warm: before}
	d.start = time.Now()
	aside, stopAside := context.WithCancel(detached)
	defer stopAside()
	var background, collecting sync.WaitGroup
	background.Go(func() { d.sample(aside, &seen) })
	for i := range d.settings.Entries {
		if d.settings.Entries[i].Operator != "" {
			background.Go(func() { d.probe(aside, i) })
		}
	}
	collecting.Go(func() { c.collect(d) })
	d.dispatch(ctx)
	length := d.now()
	stopAside()
	background.Wait()
	close(d.results)
	close(d.samples)
	collecting.Wait()
	seen.start = d.start
	seen.after, seen.failure = d.observe(detached, false)
	return c.report(&seen, length, ctx.Err() != nil), nil
}

// dispatch sends all calls at their intended moments, until ctx ends, and waits
// for their answers.
func (d *Driver) dispatch(ctx context.Context) {
	schedule := NewSchedule(d.settings.Workload, d.settings.Schedule)
	var calls sync.WaitGroup
	defer calls.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var c Call
		if !schedule.Next(&c) {
			return
		}
		timer.Reset(c.Intended - d.now())
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		if d.slots.Acquire(ctx, 1) != nil {
			return
		}
		calls.Go(func() {
			defer d.slots.Release(1)
			d.send(context.WithoutCancel(ctx), &c)
		})
	}
}

// send sends one call, and sends it again through another entry where it asks for
// that, whether or not the first answer has come.
func (d *Driver) send(ctx context.Context, c *Call) {
	first := d.balancer.pick(d.now(), -1)
	var again sync.WaitGroup
	defer again.Wait()
	if c.Resend {
		again.Go(func() {
			timer := time.NewTimer(c.ResendAfter)
			defer timer.Stop()
			<-timer.C
			a := d.callEntry(ctx, d.balancer.pick(d.now(), first), c)
			d.results <- result{call: *c, answer: a, resent: true}
		})
	}
	a := d.callEntry(ctx, first, c)
	d.results <- result{call: *c, answer: a}
}

func (d *Driver) callEntry(ctx context.Context, entry int, c *Call) Answer {
	d.sent.Add(1)
	a := d.caller.call(ctx, d.settings.Entries[entry].Address, c)
	if a.Status == 0 {
		d.balancer.suspect(d.now(), entry)
	}
	return a
}

// probe asks an entry again and again whether it is ready.
func (d *Driver) probe(ctx context.Context, index int) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		d.balancer.setReady(index, d.ready(ctx, d.settings.Entries[index].Operator))
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (d *Driver) ready(ctx context.Context, operator string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	r, err := newRequest(ctx, http.MethodGet, "http://"+operator+pathReady, http.NoBody)
	if err != nil {
		return false
	}
	answer, err := d.caller.client.Do(r)
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

// sample reads the batch fill of each interval, and notes what was observed when
// the measuring began.
func (d *Driver) sample(ctx context.Context, seen *records) {
	last := seen.before
	if len(last.Engines) == 0 {
		return
	}
	warm := d.settings.WarmUp == 0
	ticker := time.NewTicker(d.settings.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		s := sample{at: d.now() - d.settings.Interval}
		current, err := d.observe(ctx, true)
		if err != nil {
			s.err = err
		} else {
			s.fill = batchFill(&last, &current)
			last = current
			if !warm && d.now() >= d.settings.WarmUp {
				seen.warm, warm = current, true
			}
		}
		select {
		case d.samples <- s:
		case <-ctx.Done():
			return
		}
	}
}

func (d *Driver) observe(ctx context.Context, countsOnly bool) (Observation, error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	return d.observer.observe(ctx, d.settings.Observed, countsOnly)
}
