package prober

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
)

// Defaults of Settings.
const (
	DefaultWindow            = 10 * time.Second
	DefaultRate              = 50.0
	DefaultHeartbeatInterval = 500 * time.Millisecond
)

// callTimeout bounds one call of a phase.
const callTimeout = 30 * time.Second

// Settings are the options of a probe.
type Settings struct {
	// Hosts are the control hosts that run already, and Group their group.
	Hosts []configurer.ControlHost
	Group string
	// Processes are the control hosts' process ids, whose usage is read.
	Processes []int
	Phase     Phase
	// Entries and Companions are connected besides what the phase's size counts.
	Entries, Companions int
	// Window is the length of a measurement; 0 means DefaultWindow.
	Window time.Duration
	// Rate is the number of changes a second of PhaseChanges; 0 means
	// DefaultRate.
	Rate float64
	// HeartbeatInterval is the time between two renewals of a companion; 0 means
	// DefaultHeartbeatInterval.
	HeartbeatInterval time.Duration
	// Seed seeds what is drawn.
	Seed uint64
}

func (s Settings) withDefaults() Settings {
	if s.Window <= 0 {
		s.Window = DefaultWindow
	}
	if s.Rate <= 0 {
		s.Rate = DefaultRate
	}
	if s.HeartbeatInterval <= 0 {
		s.HeartbeatInterval = DefaultHeartbeatInterval
	}
	return s
}

// Cost is what one window used, in units per second where it names no other.
type Cost struct {
	// Window is the measured length.
	Window time.Duration
	// Hosts is the processor time of all control hosts, Clients that of the client group, in
	// microseconds a second.
	Hosts, Clients float64
	// HostsWritten is what all control hosts write to connections and files, in
	// bytes a second.
	HostsWritten float64
	// EntryRead to CompanionWritten are bytes a second, of all clients together.
	EntryRead, EntryWritten, CompanionRead, CompanionWritten float64
	// DigestEntries are the states of backend servers that reached entries.
	DigestEntries float64
	// Private is the greatest private memory of a control host, in bytes.
	Private int64
}

// minus returns what c used above base.
func (c Cost) minus(base Cost) Cost {
	c.Hosts -= base.Hosts
	c.Clients -= base.Clients
	c.HostsWritten -= base.HostsWritten
	c.EntryRead -= base.EntryRead
	c.EntryWritten -= base.EntryWritten
	c.CompanionRead -= base.CompanionRead
	c.CompanionWritten -= base.CompanionWritten
	c.DigestEntries -= base.DigestEntries
	return c
}

// Row is one measurement of a phase at a size.
type Row struct {
	Size int
	// Idle is the window before the phase, with all clients connected. Work is
	// what the phase used above it.
	Idle, Work Cost
	// Events is the number of events a second of the phase.
	Events float64
	// Median and P99 are the median and the 99th percentile of the time that an
	// event's caller waited; 0 for heartbeats.
	Median, P99 time.Duration
	// PropagationMedian and PropagationP99 are the same of the time from the acceptance of
	// a change until every entry holds it.
	PropagationMedian, PropagationP99 time.Duration
}

// Run measures the phase once at a size.
func Run(ctx context.Context, s Settings, size int) (Row, error) {
	s = s.withDefaults()
	cs := ClientGroupSettings{
		Hosts: s.Hosts, Group: s.Group, Entries: s.Entries, Companions: s.Companions,
		Prefix: fmt.Sprintf("probe-%d-%d-", size, s.Seed), Random: rand.New(rand.NewPCG(s.Seed, uint64(size))),
	}
	switch s.Phase {
	case PhaseIdle, PhaseChanges:
		cs.Entries += size
	case PhaseRenewals, PhaseLoads, PhaseReports:
		cs.Companions += size
	case PhaseClaims, PhasePermits:
	}
	c := NewClientGroup(cs) //nolint:contextcheck // Clients outlive the calls that they make.
	row, err := s.measure(ctx, c, size)
	closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	if e := c.Close(closing); err == nil {
		err = e
	}
	return row, errors.Annotatef(err, "%v at size %d", s.Phase, size)
}

func (s Settings) measure(ctx context.Context, c *ClientGroup, size int) (Row, error) {
	row := Row{Size: size}
	if err := c.WaitLeases(ctx); err != nil {
		return row, err
	}
	if len(c.Entries) > 0 {
		if err := Prepare(ctx, c.Entries[0]); err != nil {
			return row, err
		}
	}
	var err error
	if row.Idle, err = s.cost(c, func() { rest(ctx, s.Window) }); err != nil || s.Phase == PhaseIdle {
		return row, err
	}
	// Companions join after the rest: without renewals their leases run out.
	if err := c.Join(ctx); err != nil {
		return row, err
	}
	w := &work{crowd: c, run: fmt.Sprintf("r%d-%d-%d", size, s.Seed, time.Now().UnixNano())}
	// A first short run has pools and buffers there before the measurement.
	s.work(ctx, &work{crowd: c, run: w.run + "-first"}, size, s.Window/warmParts)
	busy, err := s.cost(c, func() { s.work(ctx, w, size, s.Window) })
	if err != nil {
		return row, err
	}
	row.Work = busy.minus(row.Idle)
	row.Events = float64(w.events) / busy.Window.Seconds()
	row.Median, row.P99 = quantiles(w.times)
	row.PropagationMedian, row.PropagationP99, err = inForce(ctx, c, w.changes)
	if w.failed != nil {
		err = w.failed
	}
	return row, err
}

// warmParts is the part of a window, as its divisor, of the run before it.
const warmParts = 5

func rest(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// work runs the phase for a time.
func (s Settings) work(ctx context.Context, w *work, size int, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d+callTimeout)
	defer cancel()
	beats := float64(len(w.crowd.Companions)) / s.HeartbeatInterval.Seconds()
	switch s.Phase {
	case PhaseChanges:
		steady(ctx, s.Rate, d, func(i int) { w.declare(ctx, i) })
	case PhaseRenewals, PhaseLoads, PhaseReports:
		steady(ctx, beats, d, func(i int) {
			w.renew(i, s.Phase)
			w.done(0, change{}, nil)
		})
	case PhaseClaims:
		steady(ctx, float64(size), d, func(i int) { w.claim(ctx, i) })
	case PhasePermits:
		// Only members get permits, so that the companions' leases must live.
		var renewals sync.WaitGroup
		defer renewals.Wait()
		renewals.Go(func() { steady(ctx, beats, d, func(i int) { w.renew(i, PhaseRenewals) }) })
		steady(ctx, float64(size), d, func(i int) { w.permit(ctx, i) })
	case PhaseIdle:
		rest(ctx, d)
	}
}

// cost measures what a window uses.
func (s Settings) cost(c *ClientGroup, window func()) (Cost, error) {
	before, err := s.take(c)
	if err != nil {
		return Cost{}, err
	}
	began := time.Now()
	window()
	took := time.Since(began)
	after, err := s.take(c)
	if err != nil {
		return Cost{}, err
	}
	cost := after.minus(before)
	cost.Window = took
	for _, v := range []*float64{
		&cost.Hosts, &cost.Clients, &cost.HostsWritten, &cost.EntryRead, &cost.EntryWritten, &cost.CompanionRead, &cost.CompanionWritten, &cost.DigestEntries,
	} {
		*v /= took.Seconds()
	}
	return cost, nil
}

// take returns the sums since the beginning.
func (s Settings) take(c *ClientGroup) (Cost, error) {
	own, err := UsageOf(os.Getpid())
	if err != nil {
		return Cost{}, err
	}
	total := Cost{
		Clients:   microseconds(own.Processor),
		EntryRead: float64(c.EntryTraffic.Read.Load()), EntryWritten: float64(c.EntryTraffic.Written.Load()),
		CompanionRead: float64(c.CompanionTraffic.Read.Load()), CompanionWritten: float64(c.CompanionTraffic.Written.Load()),
		DigestEntries: float64(c.DigestEntries.Load()),
	}
	for _, pid := range s.Processes {
		u, err := UsageOf(pid)
		if err != nil {
			return Cost{}, err
		}
		total.Hosts += microseconds(u.Processor)
		total.HostsWritten += float64(u.Written)
		total.Private = max(total.Private, u.Private)
	}
	return total, nil
}

func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// quantiles returns the median and the 99th percentile.
func quantiles(times []time.Duration) (half, worst time.Duration) {
	if len(times) == 0 {
		return 0, 0
	}
	slices.Sort(times)
	return times[len(times)/2], times[len(times)*99/100]
}

// inForce returns the quantiles of the time from the acceptance of a change
// until every entry holds it.
func inForce(ctx context.Context, c *ClientGroup, changes []change) (half, worst time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var times []time.Duration
	for _, ch := range changes {
		last := ch.accepted
		for _, l := range c.Entries {
			at, ok := l.Index.ReachedAt(ch.revision)
			for !ok {
				if rest(ctx, settlePoll); ctx.Err() != nil {
					return 0, 0, errors.Annotatef(ctx.Err(), "%s lacks revision %d", l.Name, ch.revision)
				}
				at, ok = l.Index.ReachedAt(ch.revision)
			}
			if at.After(last) {
				last = at
			}
		}
		times = append(times, last.Sub(ch.accepted))
	}
	half, worst = quantiles(times)
	return half, worst, nil
}
