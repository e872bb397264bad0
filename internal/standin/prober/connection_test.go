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

// BenchmarkConnections measures the cost of connections that send only heartbeats: the heap
// and the processor time per second of both ends together, and the bytes per second on the
// wire. The window has a fixed length because heartbeats are sent at fixed intervals.
func BenchmarkConnections(b *testing.B) {
	const window = 6 * time.Second
	measureSlopes(b, "Connections", []int{100, 400, 1600}, func(b *testing.B, n int) costs {
		b.Helper()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		defer l.Close()
		before := heapBytes()
		eventRecorder := recorder.NewRecorder(recorder.Settings{Node: "probe", RingSize: ringSize})
		settings := messenger.Settings{Recorder: eventRecorder, Log: zerolog.Nop()}
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
			ends = append(ends, messenger.NewConn(countingConn{Conn: dialled, traffic: &traffic}, settings), messenger.NewConn(accepted, settings))
		}
		<-time.After(messenger.DefaultHeartbeatInterval)
		held := heapBytes() - before
		began, bytes := processorTime(), traffic.Read.Load()+traffic.Written.Load()
		<-time.After(window)
		cpu, moved := processorTime()-began, traffic.Read.Load()+traffic.Written.Load()-bytes
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

// BenchmarkRing measures the heap of a process's full event ring.
func BenchmarkRing(b *testing.B) {
	measureSlopes(b, "Events", []int{1024, 4096, 16384}, func(b *testing.B, n int) costs {
		b.Helper()
		before := heapBytes()
		r := recorder.NewRecorder(recorder.Settings{Node: "probe", RingSize: n})
		for i := range n {
			r.Record(recorder.Event{Kind: recorder.KindConfigurationApplied, Revision: uint64(i), Request: fmt.Sprintf("request-%d", i), Detail: "a detail of one line"})
		}
		defer runtime.KeepAlive(r)
		return costs{{"heap-B", heapBytes() - before}}
	})
}
