package attendant_test

import (
	"testing"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// long sends a request with a long prompt: 9,000 tokens take 265 ms at the usual speed.
func (f *fixture) long(request string) *admission {
	return f.send(messenger.Admit{Request: request, Adapter: "a1", Version: 1, Tokens: 9000})
}

// withSlowMachine runs a test on an engine that has reported the usual speed for a while, and runs
// a request.
func withSlowMachine(t *testing.T, test func(f *fixture, e *engine)) {
	t.Helper()
	withEngine(t, func(f *fixture, e *engine) {
		e.slow(1)
		f.admit("running", "a1", 1).mustBeAdmittedAfter(t, time.Second)
		advance(20 * time.Second)
		test(f, e)
	})
}

// TestPostponesLongPrefill guards against streams that pause for longer than their routes allow,
// since a long prompt is prefilled while the engine's machine takes 2.5 times as long.
func TestPostponesLongPrefill(t *testing.T) {
	withSlowMachine(t, func(f *fixture, e *engine) {
		e.slow(2.5)
		first := f.long("first")
		short := f.send(messenger.Admit{Request: "short", Adapter: "a1", Version: 1, Tokens: 800})
		advance(200 * time.Millisecond)
		if first.ended() {
			t.Error("granted while the machine is slowed")
		}
		short.mustBeAdmitted(t, 1)
		e.slow(1)
		advance(60 * time.Millisecond)
		first.mustBeAdmitted(t, 1)
	})
}

// TestPostponesPrefillForOneSlowPeriodOnly guards against long prompts that are never prefilled on
// a machine that stays slowed.
func TestPostponesPrefillForOneSlowPeriodOnly(t *testing.T) {
	withSlowMachine(t, func(f *fixture, e *engine) {
		e.slow(2.5)
		first := f.long("first")
		advance(500 * time.Millisecond)
		if first.ended() {
			t.Error("granted within a slow period")
		}
		advance(200 * time.Millisecond)
		first.mustBeAdmitted(t, 1)
	})
}

// TestGrantsWithoutSlowdownFactor guards against long prompts that wait for an engine whose health
// path no longer answers with a factor.
func TestGrantsWithoutSlowdownFactor(t *testing.T) {
	withSlowMachine(t, func(f *fixture, e *engine) {
		e.slow(0)
		advance(5 * time.Second)
		first := f.long("first")
		advance(100 * time.Millisecond)
		first.mustBeAdmitted(t, 1)
	})
}
