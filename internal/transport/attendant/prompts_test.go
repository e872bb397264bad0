package attendant_test

import (
	"testing"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// longPrompt is prefilled in about 265 ms at the default rate.
const longPrompt = 9200

// withEventGap runs a test of an attendant whose route allows gaps of up to 400 ms, and whose
// engine has loaded the adapter.
func withEventGap(t *testing.T, test func(f *fixture)) {
	t.Helper()
	withEngine(t, func(f *fixture, _ *engine) {
		f.eventGap = 400 * time.Millisecond
		f.reconfigure(2)
		f.admit("first", "a1", 1)
		advance(time.Second)
		test(f)
	})
}

func (f *fixture) admitLong(request string, slack time.Duration) *admission {
	return f.send(messenger.Admit{
		Request: request, Adapter: "a1", Version: 1, SlackMillis: slack.Milliseconds(), Parts: []messenger.Part{{ID: uint64(len(request)) << 8, Tokens: longPrompt}},
	})
}

// TestSpacesLongPrompts guards against streams that are late because of a pause between their
// events: two long prompts, prefilled one after the other, delayed all streams of the engine
// for longer than the route allows.
func TestSpacesLongPrompts(t *testing.T) {
	withEventGap(t, func(f *fixture) {
		one := f.admitLong("1", time.Second)
		advance(time.Millisecond)
		two := f.admitLong("22", time.Second)
		advance(time.Millisecond)
		if !one.ended() || two.ended() {
			t.Fatalf("admitted %v, %v; want the first prompt only", one.ended(), two.ended())
		}
		short := f.admit("short", "a1", 1)
		advance(time.Millisecond)
		if !short.ended() {
			t.Error("a short prompt waits")
		}
		advance(400 * time.Millisecond)
		if !two.ended() || two.err != nil {
			t.Errorf("the second prompt was not admitted after the first: %v", two.err)
		}
	})
}

// TestAdmitsUrgentPromptsFirst guards against prompts that miss their target behind others
// that have time to spare.
func TestAdmitsUrgentPromptsFirst(t *testing.T) {
	withEventGap(t, func(f *fixture) {
		f.admitLong("1", time.Second)
		advance(time.Millisecond)
		patient := f.admitLong("22", 5*time.Second)
		advance(time.Millisecond)
		urgent := f.admitLong("333", time.Second)
		advance(400 * time.Millisecond)
		if !urgent.ended() || patient.ended() {
			t.Errorf("admitted urgent %v, patient %v", urgent.ended(), patient.ended())
		}
	})
}

// TestSpacedPromptsSurviveRestart guards against requests that wait for a prompt of an engine
// that has ended.
func TestSpacedPromptsSurviveRestart(t *testing.T) {
	withEngine(t, func(f *fixture, e *engine) {
		f.eventGap = 400 * time.Millisecond
		f.reconfigure(2)
		f.admit("first", "a1", 1)
		advance(time.Second)
		f.admitLong("1", 5*time.Second)
		advance(time.Millisecond)
		two := f.admitLong("22", 5*time.Second)
		advance(time.Millisecond)
		e.restart("i-2")
		f.announce("i-2", 0)
		advance(3 * time.Second)
		if !two.ended() || two.err != nil {
			t.Errorf("not admitted by the new incarnation: %v", two.err)
		}
	})
}
