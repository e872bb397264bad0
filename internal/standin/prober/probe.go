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

// callTimeout limits one call of a phase.
const callTimeout = 30 * time.Second

// Settings are the settings of a probe.
type Settings struct {
	// Hosts are the running control hosts, Group is the name of their group.
	Hosts []configurer.ControlHost
	Group string
	// Processes are the process ids of the control hosts whose usage is read.
	Processes []int
	Phase     Phase
	// Entries and Companions are the numbers of clients in addition to the phase's size.
	Entries, Companions int
	// Window is the length of a measurement; 0 means DefaultWindow.
	Window time.Duration
	// Rate is the number of changes per second in PhaseChanges; 0 means DefaultRate.
	Rate float64
	// HeartbeatInterval is the time between two lease renewals of a companion; 0 means
	// DefaultHeartbeatInterval.
	HeartbeatInterval time.Duration
	// Seed is the seed of the clients' random sources.
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

// Cost is the resource usage of one window.
type Cost struct {
	// Window is the length of the window.
	Window time.Duration
	// Hosts is the processor time of all control hosts, Clients that of the client
	// group, in microseconds per second.
	Hosts, Clients float64
	// HostsWritten is the number of bytes per second that all control hosts write to
	// connections and files.
	HostsWritten float64
	// EntryRead to CompanionWritten are bytes per second on the connections of all
	// clients of each kind.
	EntryRead, EntryWritten, CompanionRead, CompanionWritten float64
	// DigestEntries is the number of states of backend servers per second that entries
	// received.
	DigestEntries float64
	// Private is the largest private memory of a control host, in bytes.
	Private int64
}

// sub returns the cost of c above base. Window and Private are those of c.
func (c Cost) sub(base Cost) Cost {
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
	// Idle is the cost of the window before the phase, with all clients connected. Work
	// is the cost of the phase above it.
	Idle, Work Cost
	// Events is the number of events per second of the phase.
	Events float64
	// Median and P99 are the median and the 99th percentile of the response time of
	// events; 0 for heartbeats.
	Median, P99 time.Duration
	// PropagationMedian and PropagationP99 are those of the time from the acceptance of
	// a change until every entry has applied it.
	PropagationMedian, PropagationP99 time.Duration
}

// Run measures the phase once at a size, with a new client group.
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
	if row.Idle, err = s.cost(c, func() { sleep(ctx, s.Window) }); err != nil || s.Phase == PhaseIdle {
		return row, err
	}
	// Companions join after the idle window: without renewals their leases would expire.
	if err := c.Join(ctx); err != nil {
		return row, err
	}
	w := &work{group: c, runID: fmt.Sprintf("r%d-%d-%d", size, s.Seed, time.Now().UnixNano())}
	// A short run before the measurement fills pools and buffers.
	s.work(ctx, &work{group: c, runID: w.runID + "-first"}, size, s.Window/warmUpDivisor)
	busy, err := s.cost(c, func() { s.work(ctx, w, size, s.Window) })
	if err != nil {
		return row, err
	}
	row.Work = busy.sub(row.Idle)
	row.Events = float64(w.events) / busy.Window.Seconds()
	row.Median, row.P99 = quantiles(w.times)
	row.PropagationMedian, row.PropagationP99, err = propagation(ctx, c, w.changes)
	if w.firstErr != nil {
		err = w.firstErr
	}
	return row, err
}

// warmUpDivisor is the ratio of a window to the warm-up run before it.
const warmUpDivisor = 5

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// work runs the phase for d.
func (s Settings) work(ctx context.Context, w *work, size int, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d+callTimeout)
	defer cancel()
	beats := float64(len(w.group.Companions)) / s.HeartbeatInterval.Seconds()
	switch s.Phase {
	case PhaseChanges:
		callAtRate(ctx, s.Rate, d, func(i int) { w.declare(ctx, i) })
	case PhaseRenewals, PhaseLoads, PhaseReports:
		callAtRate(ctx, beats, d, func(i int) {
			w.renew(i, s.Phase)
			w.record(0, change{}, nil)
		})
	case PhaseClaims:
		callAtRate(ctx, float64(size), d, func(i int) { w.claim(ctx, i) })
	case PhasePermits:
		// Only members get permits, so the companions must renew their leases.
		var renewals sync.WaitGroup
		defer renewals.Wait()
		renewals.Go(func() { callAtRate(ctx, beats, d, func(i int) { w.renew(i, PhaseRenewals) }) })
		callAtRate(ctx, float64(size), d, func(i int) { w.permit(ctx, i) })
	case PhaseIdle:
		sleep(ctx, d)
	}
}

// cost measures the cost of the window function.
func (s Settings) cost(c *ClientGroup, window func()) (Cost, error) {
	before, err := s.totals(c)
	if err != nil {
		return Cost{}, err
	}
	began := time.Now()
	window()
	took := time.Since(began)
	after, err := s.totals(c)
	if err != nil {
		return Cost{}, err
	}
	cost := after.sub(before)
	cost.Window = took
	for _, v := range []*float64{
		&cost.Hosts, &cost.Clients, &cost.HostsWritten, &cost.EntryRead, &cost.EntryWritten, &cost.CompanionRead, &cost.CompanionWritten, &cost.DigestEntries,
	} {
		*v /= took.Seconds()
	}
	return cost, nil
}

// totals returns the cumulative usage of the control hosts and the clients.
func (s Settings) totals(c *ClientGroup) (Cost, error) {
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

// quantiles returns the median and the 99th percentile. It sorts times.
func quantiles(times []time.Duration) (median, p99 time.Duration) {
	if len(times) == 0 {
		return 0, 0
	}
	slices.Sort(times)
	return times[len(times)/2], times[len(times)*99/100]
}

// propagation returns the quantiles of the time from the acceptance of a change until every
// entry has applied it. It waits up to callTimeout for the entries.
func propagation(ctx context.Context, c *ClientGroup, changes []change) (median, p99 time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var times []time.Duration
	for _, ch := range changes {
		last := ch.accepted
		for _, l := range c.Entries {
			at, ok := l.Index.ReachedAt(ch.revision)
			for !ok {
				if sleep(ctx, pollInterval); ctx.Err() != nil {
					return 0, 0, errors.Annotatef(ctx.Err(), "%s did not reach revision %d", l.Name, ch.revision)
				}
				at, ok = l.Index.ReachedAt(ch.revision)
			}
			if at.After(last) {
				last = at
			}
		}
		times = append(times, last.Sub(ch.accepted))
	}
	median, p99 = quantiles(times)
	return median, p99, nil
}
