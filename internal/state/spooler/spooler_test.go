package spooler_test

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/state/spooler"
)

// blockedWriter is an output whose Write blocks until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	written bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.unblock
	return s.written.Write(p)
}

// TestWriteDoesNotBlock guards against requests of an entry that all block in writing a log
// line, because the reader of the log has stopped reading and the pipe is full.
func TestWriteDoesNotBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{unblock: make(chan struct{})}
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
		close(out.unblock)
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
		lines := strings.Split(strings.TrimSpace(out.written.String()), "\n")
		if len(lines) != 11 || !strings.Contains(lines[10], `"Dropped":20`) {
			t.Errorf("written: %q", lines)
		}
	})
}

// TestFlushJoinsLines checks that lines logged within one interval are written together.
func TestFlushJoinsLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out countingWriter
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

type countingWriter struct{ writes, bytes int }

func (c *countingWriter) Write(p []byte) (int, error) {
	c.writes++
	c.bytes += len(p)
	return len(p), nil
}
