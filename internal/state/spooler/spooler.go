// Package spooler writes log lines asynchronously, so that logging never blocks. Lines are
// buffered up to a limit; lines beyond it are dropped and counted.
package spooler

import (
	"cmp"
	"fmt"
	"io"
	"sync"
	"time"
)

// Defaults of Settings.
const (
	// DefaultMaxBytes is enough for about two thousand lines, which a busy entry
	// writes in some seconds.
	DefaultMaxBytes = 512 << 10
	// DefaultFlushInterval allows the lines logged within it to be written with one
	// system call.
	DefaultFlushInterval = 100 * time.Millisecond
)

// Settings are the options of a Spooler. The zero value of a field stands for its default.
type Settings struct {
	// MaxBytes is the maximum total size of the buffered lines; DefaultMaxBytes by
	// default.
	MaxBytes int
	// FlushInterval is the interval between writes to the output;
	// DefaultFlushInterval by default.
	FlushInterval time.Duration
}

// Spooler is an asynchronous writer of lines. Its methods are safe for concurrent use.
type Spooler struct {
	settings Settings
	out      io.Writer
	stop     chan struct{}
	finished sync.WaitGroup

	mu sync.Mutex
	// pending contains the buffered lines, which are always complete; guarded by mu,
	// as are the fields below.
	pending []byte
	// dropped is the number of lines dropped since the last flush, droppedTotal the
	// number since the start.
	dropped, droppedTotal uint64
}

// NewSpooler returns a spooler that writes to out until Close is called.
func NewSpooler(out io.Writer, s Settings) *Spooler {
	s.MaxBytes = cmp.Or(s.MaxBytes, DefaultMaxBytes)
	s.FlushInterval = cmp.Or(s.FlushInterval, DefaultFlushInterval)
	w := &Spooler{settings: s, out: out, stop: make(chan struct{})}
	w.finished.Go(w.run)
	return w
}

// Write buffers one line, or drops it if the buffer is full. It never fails and never
// waits for the output.
func (s *Spooler) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending)+len(line) > s.settings.MaxBytes {
		s.dropped++
		s.droppedTotal++
		return len(line), nil
	}
	s.pending = append(s.pending, line...)
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start.
func (s *Spooler) Dropped() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.droppedTotal
}

func (s *Spooler) run() {
	ticker := time.NewTicker(s.settings.FlushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			s.flush()
			return
		case <-ticker.C:
			s.flush()
		}
	}
}

func (s *Spooler) flush() {
	s.mu.Lock()
	lines, dropped := s.pending, s.dropped
	s.pending, s.dropped = nil, 0
	s.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "{\"level\":\"warn\",\"message\":\"log lines dropped\",\"Dropped\":%d}\n", dropped)
	}
	if len(lines) == 0 {
		return
	}
	// The error is ignored, since it could only be reported in the log itself.
	_, _ = s.out.Write(lines)
}

// Close writes the buffered lines and returns once they are written. It must be called
// only once.
func (s *Spooler) Close() error {
	close(s.stop)
	s.finished.Wait()
	return nil
}
