package spooler_test

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/state/spooler"
)

// stuck is an output that takes nothing until it is let go.
type stuck struct {
	let     chan struct{}
	written bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.let
	return s.written.Write(p)
}

// TestNeverHoldsUp: symptom: all requests of an entry stop at once. Sequence: the
// reader of its log stops reading; the log's pipe fills up; each request writes a
// line and waits. Cause: lines were written by who logged them.
func TestNeverHoldsUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stuck{let: make(chan struct{})}
		s := spooler.NewSpooler(out, spooler.Settings{MaxBytes: 100, FlushInterval: time.Second})
		line := []byte(strings.Repeat("x", 9) + "\n")
		for range 30 {
			if n, err := s.Write(line); n != len(line) || err != nil {
				t.Fatalf("Write: %d, %v", n, err)
			}
		}
		if got := s.Dropped(); got != 20 {
			t.Errorf("%d lines dropped, want 20", got)
		}
		close(out.let)
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
		lines := strings.Split(strings.TrimSpace(out.written.String()), "\n")
		if len(lines) != 11 || !strings.Contains(lines[10], `"Dropped":20`) {
			t.Errorf("written: %q", lines)
		}
	})
}

// TestGathers shows that the lines of one moment go out together.
func TestGathers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out counter
		s := spooler.NewSpooler(&out, spooler.Settings{FlushInterval: time.Second})
		for range 5 {
			_, _ = s.Write([]byte("line\n"))
		}
		<-time.After(1500 * time.Millisecond)
		synctest.Wait()
		if out.writes != 1 || out.bytes != 25 {
			t.Errorf("%d writes of %d bytes", out.writes, out.bytes)
		}
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
	})
}

type counter struct{ writes, bytes int }

func (c *counter) Write(p []byte) (int, error) {
	c.writes++
	c.bytes += len(p)
	return len(p), nil
}
