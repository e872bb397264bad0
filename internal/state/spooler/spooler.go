// Package spooler writes log lines without ever holding up who logs: lines wait in
// a bounded buffer, and what does not fit is dropped and counted.
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
	// DefaultBytes holds about two thousand lines: some seconds of a busy entry.
	DefaultMaxBytes = 512 << 10
	// DefaultInterval gathers the lines of one moment into one system call.
	DefaultFlushInterval = 100 * time.Millisecond
)

// Settings are a Spooler's options. The zero value of a field means its documented
// default.
type Settings struct {
	// Bytes bounds the lines that wait.
	MaxBytes      int
	FlushInterval time.Duration
}

// Spooler is a writer of lines. Several goroutines may use it.
type Spooler struct {
	settings Settings
	out      io.Writer
	stop     chan struct{}
	done     sync.WaitGroup

	mu sync.Mutex
	// waiting holds whole lines; guarded by mu, as all below.
	waiting []byte
	// dropped counts the lines lost since the last write, total all of them.
	dropped, total uint64
}

// NewSpooler returns a spooler that writes to out until Close.
func NewSpooler(out io.Writer, s Settings) *Spooler {
	s.MaxBytes = cmp.Or(s.MaxBytes, DefaultMaxBytes)
	s.FlushInterval = cmp.Or(s.FlushInterval, DefaultFlushInterval)
	w := &Spooler{settings: s, out: out, stop: make(chan struct{})}
	w.done.Go(w.run)
	return w
}

// Write takes one line. It never fails and never waits for the output.
func (s *Spooler) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting)+len(line) > s.settings.MaxBytes {
		s.dropped++
		s.total++
		return len(line), nil
	}
	s.waiting = append(s.waiting, line...)
	return len(line), nil
}

// Dropped returns the number of lines lost so far.
func (s *Spooler) Dropped() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
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
	lines, dropped := s.waiting, s.dropped
	s.waiting, s.dropped = nil, 0
	s.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "{\"level\":\"warn\",\"message\":\"log lines dropped\",\"Dropped\":%d}\n", dropped)
	}
	if len(lines) == 0 {
		return
	}
	// There is nowhere to report that the log can't be written.
	_, _ = s.out.Write(lines)
}

// Close writes what waits, and waits for it.
func (s *Spooler) Close() error {
	close(s.stop)
	s.done.Wait()
	return nil
}
