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
	fullPace  = 200 * time.Millisecond
	quietPace = 2 * time.Second
	limit     = 900 * time.Millisecond
)

// line is a connection whose writes towards the near end can be held back.
type line struct {
	net.Conn
	writes *atomic.Int64
	mute   *atomic.Bool
}

func (l line) Write(p []byte) (int, error) {
	if l.mute.Load() {
		return len(p), nil
	}
	l.writes.Add(1)
	return l.Conn.Write(p)
}

// paired runs f with two ends that know both paces, and with the far end's line.
func paired(t *testing.T, f func(near, far *messenger.Conn, line line)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		x, y := net.Pipe()
		l := line{Conn: y, writes: new(atomic.Int64), mute: new(atomic.Bool)}
		s := messenger.Settings{HeartbeatInterval: fullPace, QuietInterval: quietPace, SilenceLimit: limit}
		near, far := messenger.NewConn(x, s), messenger.NewConn(l, s)
		pass(time.Second)
		f(near, far, l)
		_ = near.Close()
		_ = far.Close()
	})
}

func pass(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

// TestQuietConnectionsBeatSeldom: symptom: at 68 entries before 117 companions four of
// five messages are heartbeats. Sequence: connections stand open, and most of them
// carry a call every twenty seconds. Cause: all of them beat as if a caller waited.
func TestQuietConnectionsBeatSeldom(t *testing.T) {
	paired(t, func(near, _ *messenger.Conn, l line) {
		before := l.writes.Load()
		pass(20 * time.Second)
		if n := l.writes.Load() - before; n < 9 || n > 11 {
			t.Errorf("%d heartbeats in 20 s at rest, want 10", n)
		}
		if near.Suspect() || near.Ended() {
			t.Error("a quiet connection counts as silent")
		}
		near.UseFullPace()
		before = l.writes.Load()
		pass(2 * time.Second)
		if n := l.writes.Load() - before; n < 10 {
			t.Errorf("%d heartbeats in 2 s while attended, want 10 or more", n)
		}
		near.AllowQuietPace()
		pass(time.Second)
		before = l.writes.Load()
		pass(20 * time.Second)
		if n := l.writes.Load() - before; n > 11 {
			t.Errorf("%d heartbeats in 20 s after the rest, want 10", n)
		}
	})
}

// TestAttendedConnectionIsJudgedFromThen: a connection that was quiet for a second is
// not silent the moment it is attended, and is so half a second later where the other
// end says nothing.
func TestAttendedConnectionIsJudgedFromThen(t *testing.T) {
	paired(t, func(near, _ *messenger.Conn, l line) {
		pass(time.Second)
		l.mute.Store(true)
		near.UseFullPace()
		if silence, ok := near.Silence(); !ok || silence > 0 {
			t.Errorf("silent for %v as it begins to be attended", silence)
		}
		pass(500 * time.Millisecond)
		if silence, _ := near.Silence(); silence < 450*time.Millisecond || !near.Suspect() {
			t.Errorf("silent for %v, 500 ms after it was attended", silence)
		}
		pass(time.Second)
		if !near.Ended() {
			t.Error("a silent connection goes on")
		}
	})
}

// TestQuietConnectionEndsToo: one that nobody attends is given up a heartbeat of the
// quiet pace later.
func TestQuietConnectionEndsToo(t *testing.T) {
	paired(t, func(near, _ *messenger.Conn, l line) {
		l.mute.Store(true)
		pass(quietPace + limit + 2*quietPace)
		if !near.Ended() {
			t.Error("a silent connection goes on")
		}
	})
}

// TestOneThatKnowsNoPacesBeatsAtTheFullOne: an end of an earlier version would else give
// the connection up for its silence.
func TestOneThatKnowsNoPacesBeatsAtTheFullOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x, y := net.Pipe()
		near := messenger.NewConn(x, messenger.Settings{HeartbeatInterval: fullPace, QuietInterval: quietPace, SilenceLimit: limit})
		far := messenger.NewConn(y, messenger.Settings{HeartbeatInterval: fullPace, SilenceLimit: limit})
		pass(10 * time.Second)
		if near.Ended() || far.Ended() {
			t.Error("given up")
		}
		_ = near.Close()
		_ = far.Close()
	})
}
