package attendant_test

import (
	"strconv"
	"testing"
	"time"
)

// TestDetectsRestartByStartTime guards against admissions for adapters that the engine has
// lost, which it then refuses. The engine crashes and restarts with the same incarnation
// id; by the next poll it has accepted as many orders as before, sent by another process. A
// restart was detected only by a lower order count or another id.
func TestDetectsRestartByStartTime(t *testing.T) {
	withEngine(t, func(f *fixture, e *engine) {
		e.mu.Lock()
		e.started = 1
		e.mu.Unlock()
		f.admit("1", "a1", 1)
		f.release("1")
		advance(time.Second)
		l := f.watchLocal()
		defer l.close()
		l.received()
		sequence := e.sequence
		e.restart("i-1")
		e.mu.Lock()
		e.started, e.empty, e.sequence = 2, false, sequence
		e.mu.Unlock()
		advance(time.Second)
		for _, s := range l.received() {
			if s.Whole && len(s.Adapters) == 0 {
				return
			}
		}
		t.Error("the loss of the adapters was not published, at sequence " + strconv.FormatUint(sequence, 10) + "")
	})
}
