package sealer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/coordination/registrar"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/transport/listener"
	"marigoldpoint.example/marigoldpoint/internal/transport/sealer"
)

// countingConn counts the bytes sent and received.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// cpuTime returns the CPU time used by the test process.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// bench is an entry and a companion's listener, with or without authentication.
type bench struct {
	address string
	dial    sealer.DialFunc
	bytes   atomic.Int64
	// received gets a value for each message that the listener's handler receives.
	received chan struct{}
}

func newBench(b *testing.B, sealed bool) *bench {
	b.Helper()
	RegisterTestingT(b)
	network, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	x := &bench{address: network.Addr().String(), received: make(chan struct{}, 1)}
	x.dial = func(ctx context.Context, address string) (net.Conn, error) {
		c, err := tcp(ctx, address)
		return countingConn{c, &x.bytes}, err
	}
	s := messenger.Settings{Handler: messenger.HandlerFunc(
		func(context.Context, *messenger.Conn, messenger.Method, json.RawMessage) (any, error) {
			x.received <- struct{}{}
			return nil, nil
		})}
	if sealed {
		d := newDeployment(b.TempDir(), "bench")
		engine := d.seal("engine-1", nil, companion)
		network, s.Allow = engine.Listen(network), engine.Allow
		x.dial = d.seal("entry-1", nil, entry).Dial(companion, x.dial)
	}
	l := listener.NewListener(network, s)
	b.Cleanup(func() { _ = l.Close() })
	return x
}

// measure reports the CPU time of both ends and the bytes sent on the network, per
// operation.
func (x *bench) measure(b *testing.B, run func()) {
	b.Helper()
	x.bytes.Store(0)
	before := cpuTime(b)
	for b.Loop() {
		run()
	}
	b.ReportMetric(float64((cpuTime(b)-before).Nanoseconds())/1e3/float64(b.N), "cpu-µs/op")
	b.ReportMetric(float64(x.bytes.Load())/float64(b.N), "bytes/op")
}

// BenchmarkHandshake opens and closes connections.
func BenchmarkHandshake(b *testing.B) {
	for _, sealed := range []bool{false, true} {
		b.Run(fmt.Sprintf("sealed_%v", sealed), func(b *testing.B) {
			x := newBench(b, sealed)
			x.measure(b, func() {
				c, err := x.dial(context.Background(), x.address)
				if err != nil {
					b.Fatal(err)
				}
				c.Close()
			})
		})
	}
}

// BenchmarkPiece sends the pieces of an answer one by one.
func BenchmarkPiece(b *testing.B) {
	for _, size := range []int{100, 4 << 10, 64 << 10} {
		for _, sealed := range []bool{false, true} {
			b.Run(fmt.Sprintf("%dB_sealed_%v", size, sealed), func(b *testing.B) {
				x := newBench(b, sealed)
				network, err := x.dial(context.Background(), x.address)
				if err != nil {
					b.Fatal(err)
				}
				c := messenger.NewConn(network, messenger.Settings{})
				defer c.Close()
				// The parameters are those of a piece, but the method must be one that an entry may send.
				p := messenger.Piece{Request: "entry-1-7e31df10b0d1e83c", Attempt: 1, Data: make([]byte, size)}
				x.measure(b, func() {
					if err := c.Notify(context.Background(), messenger.MethodAcknowledge, p); err != nil {
						b.Fatal(err)
					}
					<-x.received
				})
			})
		}
	}
}

// BenchmarkAuthorize decides on the most expensive messages: those of a stream, a heartbeat
// with the residency of 16 slots, and a claim.
func BenchmarkAuthorize(b *testing.B) {
	RegisterTestingT(b)
	report := &registrar.ServerChange{Name: "engine-1"}
	for i := range 16 {
		report.Loaded = append(report.Loaded, fmt.Sprintf("peachtree/lyrics-%04d@3", i))
	}
	for _, c := range []struct {
		name   string
		role   configurer.Role
		method messenger.Method
		params json.RawMessage
	}{
		{"Piece", companion, messenger.MethodPiece, nil},
		{"Renew", companion, messenger.MethodRenew, params(registrar.Heartbeat{LeaseRenewal: registrar.LeaseRenewal{Name: "engine-1", Epoch: 7, Sequence: 9}})},
		{"Renew_16_loaded", companion, messenger.MethodRenew, params(registrar.Heartbeat{LeaseRenewal: registrar.LeaseRenewal{Name: "engine-1"}, Report: report})},
		{"Propose_claim", entry, messenger.MethodPropose, propose(storer.ClaimCall{Workspace: "peachtree", Key: "k", Digest: make([]byte, 32), Holder: "entry-1/r"})},
	} {
		b.Run(c.name, func(b *testing.B) {
			peer := sealer.Identity{Node: "engine-1", Roles: []configurer.Role{c.role}}
			b.ReportAllocs()
			for b.Loop() {
				if err := sealer.Authorize(peer, c.method, c.params); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
