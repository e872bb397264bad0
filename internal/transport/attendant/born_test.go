package attendant_test

import (
	"strconv"
	"testing"
	"time"
)

// TestNoticesALifeByItsBirth: symptom: requests are admitted for adapters that the
// engine has lost, and it refuses them. Sequence: the engine crashes and starts again
// under its id; by the next look it has accepted as many orders as before, given by
// nobody that this companion knows of. Cause: only a lower count of orders, or another
// id, told another life.
func TestNoticesALifeByItsBirth(t *testing.T) {
	with(t, func(f *fixture, e *engine) {
		e.mu.Lock()
		e.born = 1
		e.mu.Unlock()
		f.admit("1", "a1", 1)
		f.release("1")
		after(time.Second)
		l := f.listen()
		defer l.close()
		l.heard()
		sequence := e.sequence
		e.restart("i-1")
		e.mu.Lock()
		e.born, e.empty, e.sequence = 2, false, sequence
		e.mu.Unlock()
		after(time.Second)
		for _, s := range l.heard() {
			if s.Whole && len(s.Adapters) == 0 {
				return
			}
		}
		t.Error("entries were not told of the adapters lost, " + strconv.FormatUint(sequence, 10) + " orders on")
	})
}
