package controller_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/coordination/permitter"
	"marigoldpoint.example/marigoldpoint/internal/coordination/registrar"
)

// BenchmarkFailover kills the leader of three control hosts, and measures the time until
// a change is accepted and until a companion has a load permit, with the default settings
// and three companions that renew twice a second.
func BenchmarkFailover(b *testing.B) {
	g, err := newGroup(3, nil)
	if err != nil {
		b.Fatal(err)
	}
	defer g.close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var companions []*node
	for i := 1; i <= 3; i++ {
		domain := fmt.Sprintf("d%d", i)
		n := g.node("backend-"+domain, domain, distributor.ScopeCompanion, nil)
		b.Cleanup(func() { n.Close() })
		lease, err := n.Join(ctx, "backend-"+domain, member(domain, "i"))
		if err != nil {
			b.Fatal(err)
		}
		go func() {
			ticker := time.NewTicker(500 * time.Millisecond)
			defer ticker.Stop()
			for ctx.Err() == nil {
				n.Renew(registrar.Renewal{Name: lease.Name, Epoch: lease.Epoch})
				<-ticker.C
			}
		}()
		companions = append(companions, n)
	}
	var accepted, granted []time.Duration
	for i := 0; b.Loop(); i++ {
		b.StopTimer()
		old := g.leader()
		for poll := time.Tick(time.Millisecond); old < 0; old = g.leader() {
			<-poll
		}
		b.StartTimer()
		killed := time.Now()
		if err := g.kill(old); err != nil {
			b.Fatal(err)
		}
		if _, err := putWorkspace(companions[i%3], "w", 1+i); err != nil {
			b.Fatal(err)
		}
		accepted = append(accepted, time.Since(killed))
		waiting, cancel := context.WithTimeout(ctx, time.Minute)
		grant, err := companions[i%3].RequestPermit(waiting, permitter.Request{
			Companion: fmt.Sprintf("backend-d%d", i%3+1), Workspace: "w", Version: fmt.Sprintf("w/a%d@1", i),
		})
		cancel()
		if err != nil {
			b.Fatal(err)
		}
		granted = append(granted, time.Since(killed))
		companions[i%3].FinishPermit(grant)
		b.StopTimer()
		l, err := net.Listen("tcp", g.hosts[old].Address)
		if err == nil {
			err = g.start(old, l)
		}
		if err != nil {
			b.Fatal(err)
		}
		b.StartTimer()
	}
	for name, times := range map[string][]time.Duration{"accepted": accepted, "granted": granted} {
		slices.Sort(times)
		b.ReportMetric(float64(times[len(times)/2].Milliseconds()), "p50-ms-"+name)
		b.ReportMetric(float64(times[len(times)-1].Milliseconds()), "most-ms-"+name)
	}
}
