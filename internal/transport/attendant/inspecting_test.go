package attendant_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/transport/attendant"
)

// inspect asks for the state of the engine's first incarnation, whose last output is as old as quiet.
func (f *fixture) inspect(quiet time.Duration) messenger.ProcessState {
	f.t.Helper()
	params, err := json.Marshal(messenger.Inspect{Incarnation: "i-1", QuietMillis: quiet.Milliseconds()})
	if err != nil {
		f.t.Fatal(err)
	}
	answer, err := f.attendant.Handle(context.Background(), f.conn, messenger.MethodInspect, params)
	if err != nil {
		f.t.Fatal(err)
	}
	return answer.(messenger.Inspected).State
}

// TestRefusedConnectionIsNoExit guards against a process that is taken for ended, and whose requests run
// elsewhere too, since it refuses connections; and against the end of a process that is not recognized.
func TestRefusedConnectionIsNoExit(t *testing.T) {
	const brief = 10 * time.Millisecond
	for _, test := range []struct {
		name string
		// prepare brings about what the companion sees.
		prepare func(f *fixture, e *engine)
		quiet   time.Duration
		want    messenger.ProcessState
	}{
		{
			name: "crash", quiet: brief, want: messenger.ProcessExited,
			prepare: func(_ *fixture, e *engine) { e.setPresence(attendant.PresenceRefused) },
		},
		{
			name: "crash whose output was read late", quiet: 0, want: messenger.ProcessExited,
			prepare: func(_ *fixture, e *engine) {
				e.setPresence(attendant.PresenceRefused)
				advance(150 * time.Millisecond)
			},
		},
		{
			name: "crash whose listener ends before its connections", quiet: brief, want: messenger.ProcessExited,
			prepare: func(_ *fixture, e *engine) {
				e.setPresence(attendant.PresenceConnected, attendant.PresenceRefused)
			},
		},
		{
			name: "asked about long after its output", quiet: 2 * time.Second, want: messenger.ProcessUnknown,
			prepare: func(_ *fixture, e *engine) {
				e.setPresence(attendant.PresenceRefused)
				advance(2 * time.Second)
			},
		},
		{
			name: "crash and another incarnation", quiet: 400 * time.Millisecond, want: messenger.ProcessExited,
			prepare: func(_ *fixture, e *engine) {
				e.setPresence(attendant.PresenceRefused)
				advance(400 * time.Millisecond)
				e.setPresence(attendant.PresenceReplaced)
			},
		},
		{
			name: "only the network refuses", quiet: brief, want: messenger.ProcessRunning,
			prepare: func(*fixture, *engine) {},
		},
		{
			name: "an earlier connection is open", quiet: brief, want: messenger.ProcessRunning,
			prepare: func(_ *fixture, e *engine) { e.setPresence(attendant.PresenceConnected) },
		},
		{
			name: "output after the listener was closed", quiet: brief, want: messenger.ProcessRunning,
			prepare: func(_ *fixture, e *engine) {
				e.setPresence(attendant.PresenceRefused)
				advance(time.Second)
			},
		},
		{
			name: "output after connections were refused beside an open one", quiet: brief, want: messenger.ProcessRunning,
			prepare: func(f *fixture, e *engine) {
				e.setPresence(attendant.PresenceConnected)
				f.inspect(brief)
				advance(time.Second)
				e.setPresence(attendant.PresenceRefused)
			},
		},
		{
			name: "announced to leave", quiet: brief, want: messenger.ProcessLeaving,
			prepare: func(f *fixture, e *engine) {
				f.announce("i-1", storer.MemberStateLeaving)
				e.setPresence(attendant.PresenceRefused)
			},
		},
		{
			name: "no answer", quiet: brief, want: messenger.ProcessUnknown,
			prepare: func(_ *fixture, e *engine) { e.setPresence(attendant.PresenceUnknown) },
		},
		{
			name: "not seen lately", quiet: brief, want: messenger.ProcessUnknown,
			prepare: func(_ *fixture, e *engine) {
				e.setPresence(attendant.PresenceUnknown)
				advance(2 * time.Second)
				e.setPresence(attendant.PresenceRefused)
			},
		},
		{
			name: "crash after connections were refused for a while", quiet: brief, want: messenger.ProcessExited,
			prepare: func(_ *fixture, e *engine) {
				e.setPresence(attendant.PresenceRefused)
				advance(time.Second)
				e.setPresence(attendant.PresenceAccepts)
				advance(time.Second)
				e.setPresence(attendant.PresenceRefused)
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			withEngine(t, func(f *fixture, e *engine) {
				test.prepare(f, e)
				if got := f.inspect(test.quiet); got != test.want {
					t.Errorf("%v, want %v", got, test.want)
				}
			})
		})
	}
}
