package prober

import (
	"fmt"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
)

// BenchmarkConnections gives what connections cost that only send heartbeats:
// the heap of both ends together, and the processor time and bytes a second of
// both ends. The window is a wait, since heartbeats are a matter of time.
func BenchmarkConnections(b *testing.B) {
	const window = 6 * time.Second
	slopes(b, "Connections", []int{100, 400, 1600}, func(b *testing.B, n int) costs {
		b.Helper()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		defer l.Close()
		before := heap()
		clock := recorder.NewRecorder(recorder.Settings{Node: "probe", RingSize: ringSize})
		settings := messenger.Settings{Recorder: clock, Log: zerolog.Nop()}
		var traffic Traffic
		var ends []*messenger.Conn
		for range n {
			dialled, err := (&net.Dialer{}).DialContext(b.Context(), "tcp", l.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			accepted, err := l.Accept()
			if err != nil {
				b.Fatal(err)
			}
			ends = append(ends, messenger.NewConn(counted{Conn: dialled, traffic: &traffic}, settings), messenger.NewConn(accepted, settings))
		}
		<-time.After(messenger.DefaultHeartbeatInterval)
		held := heap() - before
		began, bytes := used(), traffic.Read.Load()+traffic.Written.Load()
		<-time.After(window)
		cpu, moved := used()-began, traffic.Read.Load()+traffic.Written.Load()-bytes
		for _, c := range ends {
			if err := c.Close(); err != nil {
				b.Fatal(err)
			}
		}
		return costs{
			{"heap-B", held},
			{"cpu-µs/s", microseconds(cpu) / window.Seconds()},
			{"B/s", float64(moved) / window.Seconds()},
		}
	})
}

// BenchmarkRing gives the heap of a process's ring of events when it is full.
func BenchmarkRing(b *testing.B) {
	slopes(b, "Events", []int{1024, 4096, 16384}, func(b *testing.B, n int) costs {
		b.Helper()
		before := heap()
		r := recorder.NewRecorder(recorder.Settings{Node: "probe", RingSize: n})
		for i := range n {
			r.Record(recorder.Event{Kind: recorder.KindConfigurationApplied, Revision: uint64(i), Request: fmt.Sprintf("request-%d", i), Detail: "a detail of one line"})
		}
		defer runtime.KeepAlive(r)
		return costs{{"heap-B", heap() - before}}
	})
}
