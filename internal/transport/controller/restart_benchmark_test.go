package controller_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/coordination/replicator"
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/transport/controller"
	"marigoldpoint.example/marigoldpoint/internal/transport/subscriber"
)

// newStockedHost starts one control host whose state holds the given number of adapters
// with one version each, and whose history does not reach back to all of them.
func newStockedHost(b *testing.B, adapters int) *watcherFleet {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	g := &group{hosts: []configurer.ControlHost{{ID: 1, Address: l.Addr().String(), FailureDomain: "d1", Region: "r"}}}
	g.network.cut, g.network.open = make(map[string]bool), make(map[string][]net.Conn)
	c, err := controller.NewControl(controller.Settings{
		Node: "host", ID: 1, Hosts: g.hosts, Listener: l, Log: zerolog.Nop(), Random: rand.New(rand.NewPCG(1, 1)),
		Control: configurer.ControlSettings{Listen: l.Addr().String(), Group: "test"},
		Open: func(replicator.Settings, *storer.Store, replicator.Transport) (controller.ReplicatedLog, error) {
			return followerLog{}, nil
		},
	})
	if err != nil {
		b.Fatal(err)
	}
	index := uint64(0)
	put := func(kind storer.Kind, name string, spec storer.Spec) {
		index++
		data, err := storer.Encode(storer.Envelope{Time: 1, Command: storer.PutResource{Resource: storer.Resource{
			Kind: kind, Metadata: storer.Metadata{Workspace: "w", Name: name}, Spec: spec,
		}}})
		if err != nil {
			b.Fatal(err)
		}
		if r, ok := c.Store().Apply(index, data).(storer.Result); !ok || r.Verdict != storer.VerdictAccepted {
			b.Fatalf("%s: %+v", name, r)
		}
	}
	put(storer.KindWorkspace, "w", storer.WorkspaceSpec{Share: 1})
	for i := range adapters {
		name := fmt.Sprintf("adapter-%05d", i)
		put(storer.KindAdapter, name, storer.AdapterSpec{BaseModel: "base"})
		put(storer.KindVersion, name+"@1", storer.VersionSpec{Source: "weights/" + name + "/1", SizeBytes: 20 << 20})
	}
	c.Start()
	g.controls = []*controller.Control{c}
	return &watcherFleet{group: g}
}

// BenchmarkRestart measures the time until nodes that start at once, without any state,
// all hold the whole state of one control host.
func BenchmarkRestart(b *testing.B) {
	for _, adapters := range []int{3000, 15000, 61000} {
		for _, nodes := range []int{1, 10, 50} {
			b.Run(fmt.Sprintf("Adapters=%d/Nodes=%d", adapters, nodes), func(b *testing.B) {
				c := newStockedHost(b, adapters)
				defer c.group.close()
				head := c.controls[0].Store().Revision()
				before := c.cost()
				var memory runtime.MemStats
				peak := uint64(0)
				for b.Loop() {
					c.watchers, c.clients = nil, nil
					for i := range nodes {
						w := &watcher{}
						n := c.node(fmt.Sprintf("node-%d", i), "d1", distributor.ScopeEntry, func(s *subscriber.Settings) {
							s.Index = w
							dial := s.Dial
							s.Dial = func(ctx context.Context, address string) (net.Conn, error) {
								conn, err := dial(ctx, address)
								return countingConn{Conn: conn, read: &c.read}, err
							}
						})
						c.watchers, c.clients = append(c.watchers, w), append(c.clients, n.Client)
					}
					c.waitHeld(head)
					runtime.ReadMemStats(&memory)
					peak = max(peak, memory.HeapAlloc)
					for _, n := range c.clients {
						n.Close()
					}
				}
				after := c.cost()
				each := float64(b.N * nodes)
				b.ReportMetric(float64(after.read-before.read)/each/(1<<20), "MB/node")
				b.ReportMetric(float64((after.used-before.used)/time.Millisecond)/each, "cpu-ms/node")
				b.ReportMetric(float64(peak)/(1<<20), "heap-MB")
			})
		}
	}
}
