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

// Driver performs one run. It can't be reused.
type Driver struct {
	settings Settings
	caller   caller
	balancer *balancer
	observer observer
	// inFlight limits the calls in progress.
	inFlight *semaphore.Weighted
	// start is the start of the run; it is set before any goroutine starts.
	start time.Time
	sent  atomic.Int64
	// results and samples are consumed by the collector.
	results chan result
	samples chan sample
}

// result is the answer to one call.
type result struct {
	call   Call
	answer Answer
	// resent marks the answer to the duplicate of a call with Call.Resend.
	resent bool
}

// sample is the batch fill of one interval, or the error that prevented its observation.
type sample struct {
	at   time.Duration
	fill *float64
	err  error
}

// NewDriver returns a driver, or an error if the settings are not valid.
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
		inFlight: semaphore.NewWeighted(int64(s.MaxInFlight)),
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

// Run performs the run and returns its report. If ctx ends, it stops sending, waits for
// the answers to the calls already sent, and marks the report as stopped. It returns an
// error if the records can't be read before the start.
func (d *Driver) Run(ctx context.Context) (*Report, error) {
	defer d.caller.client.CloseIdleConnections()
	detached := context.WithoutCancel(ctx)
	before, err := d.observe(detached, false)
	if err != nil {
		return nil, errors.Annotate(err, "read the records before the run")
	}
	c := newCollector(&d.settings)
	obs := observations{before: before, warm: before}
	d.start = time.Now()
	backgroundCtx, stopBackground := context.WithCancel(detached)
	defer stopBackground()
	var background, collecting sync.WaitGroup
	background.Go(func() { d.sample(backgroundCtx, &obs) })
	for i := range d.settings.Entries {
		if d.settings.Entries[i].Operator != "" {
			background.Go(func() { d.pollReady(backgroundCtx, i) })
		}
	}
	collecting.Go(func() { c.collectAll(d) })
	d.dispatch(ctx)
	length := d.now()
	stopBackground()
	background.Wait()
	close(d.results)
	close(d.samples)
	collecting.Wait()
	obs.start = d.start
	obs.after, obs.failure = d.observe(detached, false)
	return c.report(&obs, length, ctx.Err() != nil), nil
}

// dispatch sends all calls at their intended times until ctx ends, and waits for their
// answers.
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
		if d.inFlight.Acquire(ctx, 1) != nil {
			return
		}
		calls.Go(func() {
			defer d.inFlight.Release(1)
			d.send(context.WithoutCancel(ctx), &c)
		})
	}
}

// send sends one call and, if c.Resend is set, a duplicate through another entry,
// regardless of whether the first answer has been received.
func (d *Driver) send(ctx context.Context, c *Call) {
	first := d.balancer.pick(d.now(), -1)
	var resends sync.WaitGroup
	defer resends.Wait()
	if c.Resend {
		resends.Go(func() {
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

// pollReady polls the readiness of an entry until ctx ends.
func (d *Driver) pollReady(ctx context.Context, index int) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		d.balancer.setReady(index, d.isReady(ctx, d.settings.Entries[index].Operator))
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (d *Driver) isReady(ctx context.Context, operator string) bool {
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

// sample observes the batch fill of each interval, and stores the first observation after
// the warm-up in obs.warm.
func (d *Driver) sample(ctx context.Context, obs *observations) {
	last := obs.before
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
				obs.warm, warm = current, true
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
