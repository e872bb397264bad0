package messenger_test

import (
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

const (
	fullPace     = 200 * time.Millisecond
	quietPace    = 2 * time.Second
	silenceLimit = 900 * time.Millisecond
)

// line is a network connection that counts writes and silently discards them once dropped
// is set.
type line struct {
	net.Conn
	writes  *atomic.Int64
	dropped *atomic.Bool
}

func (l line) Write(p []byte) (int, error) {
	if l.dropped.Load() {
		return len(p), nil
	}
	l.writes.Add(1)
	return l.Conn.Write(p)
}

// runWithPair runs f with the two ends of a connection, both of which support both paces,
// and with the network connection of the far end.
func runWithPair(t *testing.T, f func(near, far *messenger.Conn, line line)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		x, y := net.Pipe()
		l := line{Conn: y, writes: new(atomic.Int64), dropped: new(atomic.Bool)}
		s := messenger.Settings{HeartbeatInterval: fullPace, QuietInterval: quietPace, SilenceLimit: silenceLimit}
		near, far := messenger.NewConn(x, s), messenger.NewConn(l, s)
		advance(time.Second)
		f(near, far, l)
		_ = near.Close()
		_ = far.Close()
	})
}

func advance(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

// TestQuietConnectionsBeatSeldom guards against heartbeats at the full pace on all open
// connections, although most carry a call only every twenty seconds. With 68 entries and
// 117 companions, four of five messages were then heartbeats.
func TestQuietConnectionsBeatSeldom(t *testing.T) {
	runWithPair(t, func(near, _ *messenger.Conn, l line) {
		before := l.writes.Load()
		advance(20 * time.Second)
		if n := l.writes.Load() - before; n < 9 || n > 11 {
			t.Errorf("%d heartbeats in 20 s at the quiet pace, want 10", n)
		}
		if near.Suspect() || near.Ended() {
			t.Error("a connection at the quiet pace is considered silent")
		}
		near.UseFullPace()
		before = l.writes.Load()
		advance(2 * time.Second)
		if n := l.writes.Load() - before; n < 10 {
			t.Errorf("%d heartbeats in 2 s at the full pace, want 10 or more", n)
		}
		near.AllowQuietPace()
		advance(time.Second)
		before = l.writes.Load()
		advance(20 * time.Second)
		if n := l.writes.Load() - before; n > 11 {
			t.Errorf("%d heartbeats in 20 s after the return to the quiet pace, want 10", n)
		}
	})
}

// TestSilenceCountsFromFullPace checks that a connection at the quiet pace that has
// received nothing for a second is not silent when the full pace is requested, and is
// silent half a second later if the peer sends nothing.
func TestSilenceCountsFromFullPace(t *testing.T) {
	runWithPair(t, func(near, _ *messenger.Conn, l line) {
		advance(time.Second)
		l.dropped.Store(true)
		near.UseFullPace()
		if silence, ok := near.Silence(); !ok || silence > 0 {
			t.Errorf("silent for %v when the full pace is requested", silence)
		}
		advance(500 * time.Millisecond)
		if silence, _ := near.Silence(); silence < 450*time.Millisecond || !near.Suspect() {
			t.Errorf("silent for %v, 500 ms after the full pace was requested", silence)
		}
		advance(time.Second)
		if !near.Ended() {
			t.Error("a silent connection was not closed")
		}
	})
}

// TestQuietConnectionEndsToo checks that a silent connection at the quiet pace is closed
// one quiet interval later than at the full pace.
func TestQuietConnectionEndsToo(t *testing.T) {
	runWithPair(t, func(near, _ *messenger.Conn, l line) {
		l.dropped.Store(true)
		advance(quietPace + silenceLimit + 2*quietPace)
		if !near.Ended() {
			t.Error("a silent connection was not closed")
		}
	})
}

// TestPeerWithoutPacesGetsFullPace checks that a peer that sends no Pace, such as one of
// an earlier version, gets heartbeats at the full pace; otherwise it would close the
// connection as silent.
func TestPeerWithoutPacesGetsFullPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x, y := net.Pipe()
		near := messenger.NewConn(x, messenger.Settings{HeartbeatInterval: fullPace, QuietInterval: quietPace, SilenceLimit: silenceLimit})
		far := messenger.NewConn(y, messenger.Settings{HeartbeatInterval: fullPace, SilenceLimit: silenceLimit})
		advance(10 * time.Second)
		if near.Ended() || far.Ended() {
			t.Error("the connection was closed")
		}
		_ = near.Close()
		_ = far.Close()
	})
}
