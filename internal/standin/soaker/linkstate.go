package soaker

import (
	"context"
	"sync"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/state/pauser"
)

// linkState holds the link faults in progress at one process. It is safe for concurrent use.
type linkState struct {
	mu sync.Mutex
	// active counts the faults in progress of each kind, and delay is the sum of their delays.
	// Guarded by mu.
	active [linkFaults]int
	delay  time.Duration // guarded by mu
	// changed is closed and replaced with each change; guarded by mu.
	changed chan struct{}
}

// add counts a fault, with sign 1 when it begins and -1 when it ends.
func (s *linkState) add(e LinkEvent, sign int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active[e.Fault] += sign
	s.delay += time.Duration(sign) * e.Delay
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *linkState) resetting() bool { return s.has(Reset) }

func (s *linkState) silencing() bool { return s.has(Silence) }

func (s *linkState) has(f LinkFault) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active[f] > 0
}

// pass delays the caller and waits until no fault cut is in progress. It returns false if ctx ends
// first.
func (s *linkState) pass(ctx context.Context, cut LinkFault) bool {
	s.mu.Lock()
	delay := s.delay
	s.mu.Unlock()
	if delay > 0 && !pauser.Pause(ctx, delay) {
		return false
	}
	for {
		s.mu.Lock()
		held, changed := s.active[cut] > 0, s.changed
		s.mu.Unlock()
		if !held {
			return ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
