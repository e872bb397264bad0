package attendant_test

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// admitNow requests admission and waits for the answer.
func (f *fixture) admitNow(m messenger.Admit) error {
	f.t.Helper()
	m.Incarnation, m.Model, m.Version, m.WaitMillis = "i-1", model, 1, 5000
	params, err := json.Marshal(m)
	if err != nil {
		f.t.Fatal(err)
	}
	_, err = f.attendant.Handle(f.t.Context(), f.conn, messenger.MethodAdmit, params)
	return err
}

// TestRefusesMisledRequest guards against callers that leave while their request waits for
// a slot of a crowded engine though others are idle. An entry of another failure domain,
// which gets the engine's state every 300 ms, sends requests there for adapters that need a
// slot, and all slots are in use by then; the companion kept every request. In a model of
// 68 entries and 117 engines of 8 slots, at one state per second, 0.84 of the calls are in
// time without the refusal, and 0.91 with it.
func TestRefusesMisledRequest(t *testing.T) {
	withEngine(t, func(f *fixture, e *engine) {
		f.admit("1", "a1", 1)
		f.admit("2", "a2", 1)
		advance(time.Second)
		err := f.admitNow(messenger.Admit{Request: "3", Adapter: "a3", Movable: true, ExpectedMillis: 250})
		var refusal *messenger.Refusal
		if !errors.As(err, &refusal) || refusal.Reason != messenger.ReasonMisled {
			t.Fatalf("request with all slots in use: %v", err)
		}
		if refusal.RetryAfter() < 500*time.Millisecond {
			t.Errorf("retry after %v, want at least 500 ms", refusal.RetryAfter())
		}
		if n := e.ordered(0, "a3"); n > 0 {
			t.Error("its adapter was ordered after the refusal")
		}
		if err := f.admitNow(messenger.Admit{Request: "4", Adapter: "a1", Movable: true}); err != nil {
			t.Errorf("request whose adapter is loaded: %v", err)
		}
		go func() {
			advance(500 * time.Millisecond)
			f.release("1")
			f.release("4")
		}()
		if err := f.admitNow(messenger.Admit{Request: "5", Adapter: "a3", Movable: false}); err != nil {
			t.Errorf("request that was refused before: %v", err)
		}
	})
}

// TestCountsEveryRefusal guards against a counter that lacks the requests refused at once.
func TestCountsEveryRefusal(t *testing.T) {
	withEngine(t, func(f *fixture, _ *engine) {
		f.admit("1", "a1", 1)
		f.admit("2", "a2", 1)
		advance(time.Second)
		for _, request := range []string{"3", "4"} {
			if f.admitNow(messenger.Admit{Request: request, Adapter: "a" + request, Movable: true, ExpectedMillis: 1}) == nil {
				t.Fatalf("request %s was admitted", request)
			}
		}
		if n := f.counter("marigoldpoint_attendant_refused_total"); n != 2 {
			t.Errorf("%.0f refusals are counted, want 2", n)
		}
	})
}

// counter returns the value of a counter.
func (f *fixture) counter(name string) float64 {
	f.t.Helper()
	families, err := f.registry.Gather()
	if err != nil {
		f.t.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() == name {
			return family.GetMetric()[0].GetCounter().GetValue()
		}
	}
	f.t.Fatalf("no counter %s", name)
	return 0
}
