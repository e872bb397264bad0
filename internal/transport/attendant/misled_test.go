package attendant_test

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// ask asks for admission as an entry does that expects a wait.
func (f *fixture) ask(m messenger.Admit) error {
	f.t.Helper()
	m.Incarnation, m.Model, m.Version, m.WaitMillis = "i-1", model, 1, 5000
	params, err := json.Marshal(m)
	if err != nil {
		f.t.Fatal(err)
	}
	_, err = f.attendant.Handle(f.t.Context(), f.conn, messenger.MethodAdmit, params)
	return err
}

// TestSendsBackWhatWasMisled: symptom: callers leave while their request waits for a slot
// of a crowded engine, though others are idle. Sequence: an entry of another failure
// domain, which hears of the engine every 300 ms, sends requests there for adapters that
// would need a slot; all slots are in use by then. Cause: the companion kept whatever
// came. The load is that of 68 entries before 117 engines of 8 slots: in the model 0.84
// of the calls are in time without, and 0.91 with it, at a state a second.
func TestSendsBackWhatWasMisled(t *testing.T) {
	with(t, func(f *fixture, e *engine) {
		f.admit("1", "a1", 1)
		f.admit("2", "a2", 1)
		after(time.Second)
		err := f.ask(messenger.Admit{Request: "3", Adapter: "a3", Movable: true, ExpectedMillis: 250})
		var refusal *messenger.Refusal
		if !errors.As(err, &refusal) || refusal.Reason != messenger.ReasonMisled {
			t.Fatalf("a request that finds all slots in use: %v", err)
		}
		if refusal.RetryAfter() < 500*time.Millisecond {
			t.Errorf("told that it would wait %v", refusal.RetryAfter())
		}
		if n := e.ordered(0, "a3"); n > 0 {
			t.Error("its adapter was ordered all the same")
		}
		if err := f.ask(messenger.Admit{Request: "4", Adapter: "a1", Movable: true}); err != nil {
			t.Errorf("one whose adapter is there: %v", err)
		}
		go func() {
			after(500 * time.Millisecond)
			f.release("1")
			f.release("4")
		}()
		if err := f.ask(messenger.Admit{Request: "5", Adapter: "a3", Movable: false}); err != nil {
			t.Errorf("one that was sent back before: %v", err)
		}
	})
}
