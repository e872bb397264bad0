package controller_test

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/transport/subscriber"
)

// watcher is a node's replica that only records when it reached each revision.
type watcher struct {
	revision atomic.Uint64

	mu sync.Mutex
	// steps is ordered by revision and time; guarded by mu.
	steps []watcherStep
}

type watcherStep struct {
	upTo uint64
	at   time.Time
}

func (w *watcher) Revision() uint64 { return w.revision.Load() }

func (w *watcher) Apply(_ []storer.Change, upTo uint64) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.steps = append(w.steps, watcherStep{upTo: upTo, at: time.Now()})
	w.revision.Store(upTo)
	return nil
}

func (w *watcher) Reset(_ []storer.Resource, revision uint64) error {
	return w.Apply(nil, revision)
}

// heldAt returns when the watcher reached a revision.
func (w *watcher) heldAt(revision uint64) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	i, _ := slices.BinarySearchFunc(w.steps, revision, func(s watcherStep, r uint64) int { return cmp.Compare(s.upTo, r) })
	return w.steps[i].at
}

// countingConn counts the bytes read from a connection.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

// processorTime returns the CPU time used by this process.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// watcherFleet is a control group of three hosts with watchers in their three failure
// domains.
type watcherFleet struct {
	*group
	writer   *node
	watchers []*watcher
	clients  []*subscriber.Client
	read     atomic.Int64

	mu sync.Mutex
	// accepted holds the time at which each revision was accepted; guarded by mu.
	accepted map[uint64]time.Time
}

func newWatcherFleet(b *testing.B, size int) *watcherFleet {
	b.Helper()
	g, err := newGroup(3, nil)
	if err != nil {
		b.Fatal(err)
	}
	c := &watcherFleet{group: g, accepted: make(map[uint64]time.Time)}
	c.writer = g.node("writer", "d1", distributor.ScopeEntry, nil)
	for i := range size {
		w := &watcher{}
		n := g.node(fmt.Sprintf("watcher-%d", i), fmt.Sprintf("d%d", i%3+1), distributor.ScopeEntry, func(s *subscriber.Settings) {
			s.Index = w
			dial := s.Dial
			s.Dial = func(ctx context.Context, address string) (net.Conn, error) {
				conn, err := dial(ctx, address)
				if err != nil {
					return nil, err
				}
				return countingConn{Conn: conn, read: &c.read}, nil
			}
		})
		c.watchers, c.clients = append(c.watchers, w), append(c.clients, n.Client)
	}
	c.waitHeld(c.write(b, 0))
	clear(c.accepted)
	return c
}

// write proposes a change and returns its revision.
func (c *watcherFleet) write(b *testing.B, i int) uint64 {
	b.Helper()
	r, err := putWorkspace(c.writer, fmt.Sprintf("w%d", i%50), 1+i%1000)
	if err != nil || r.Verdict != storer.VerdictAccepted {
		b.Errorf("change %d: %+v, %v", i, r, err)
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accepted[r.Revision] = time.Now()
	return r.Revision
}

// waitHeld waits until all watchers hold a revision.
func (c *watcherFleet) waitHeld(revision uint64) {
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for slices.ContainsFunc(c.watchers, func(w *watcher) bool { return w.Revision() < revision }) {
		<-ticker.C
	}
}

// inForce returns, for each change, the time from its acceptance until the last watcher
// held it.
func (c *watcherFleet) inForce() []time.Duration {
	var times []time.Duration
	for revision, accepted := range c.accepted {
		var last time.Time
		for _, w := range c.watchers {
			if at := w.heldAt(revision); at.After(last) {
				last = at
			}
		}
		times = append(times, max(last.Sub(accepted), 0))
	}
	return times
}

func (c *watcherFleet) close() {
	for _, n := range c.clients {
		n.Close()
	}
	c.writer.Close()
	c.group.close()
}

// cost is a reading of the bytes read and the CPU time used.
type cost struct {
	read int64
	used time.Duration
}

func (c *watcherFleet) cost() cost { return cost{read: c.read.Load(), used: processorTime()} }

// report reports the times until changes were in force, and their cost.
func (c *watcherFleet) report(b *testing.B, before cost) {
	b.Helper()
	after := c.cost()
	times := c.inForce()
	if len(times) == 0 {
		return
	}
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds())/1000, "p99-ms")
	n := float64(len(times))
	b.ReportMetric(float64(after.read-before.read)/n/float64(len(c.watchers)), "B/change/watcher")
	b.ReportMetric(float64((after.used-before.used).Microseconds())/n, "cpu-us/change")
}

// BenchmarkInForce measures the time from the acceptance of a change until it is in force
// on all watchers, for single changes and at a constant rate. The three control hosts and
// all watchers run in this process.
func BenchmarkInForce(b *testing.B) {
	for _, size := range []int{25, 100, 200} {
		b.Run(fmt.Sprintf("Watchers=%d/OneAtATime", size), func(b *testing.B) {
			c := newWatcherFleet(b, size)
			defer c.close()
			before := c.cost()
			for i := 0; b.Loop(); i++ {
				c.waitHeld(c.write(b, i))
			}
			c.report(b, before)
		})
	}
	for _, size := range []int{25, 100, 200} {
		for _, rate := range []int{100, 1000} {
			b.Run(fmt.Sprintf("Watchers=%d/PerSecond=%d", size, rate), func(b *testing.B) { benchmarkSteadyRate(b, size, rate) })
		}
	}
}

// benchmarkSteadyRate writes changes at a constant rate, one second per iteration.
func benchmarkSteadyRate(b *testing.B, size, rate int) {
	b.Helper()
	c := newWatcherFleet(b, size)
	defer c.close()
	before := c.cost()
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	var writers sync.WaitGroup
	for second := 0; b.Loop(); second++ {
		for i := range rate {
			<-ticker.C
			writers.Go(func() { c.write(b, second*rate+i) })
		}
	}
	writers.Wait()
	for revision := range c.accepted {
		c.waitHeld(revision)
	}
	c.report(b, before)
}
