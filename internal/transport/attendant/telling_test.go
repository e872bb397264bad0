package attendant_test

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/transport/attendant"
)

// listening is an entry that keeps what it is told.
type listening struct {
	f      *fixture
	conn   *messenger.Conn
	near   *messenger.Conn
	mu     sync.Mutex
	states []placer.EngineState
}

func (f *fixture) listen() *listening {
	l := f.connect()
	l.watch()
	return l
}

// connect returns an entry that has not asked for the state yet.
func (f *fixture) connect() *listening {
	l := &listening{f: f}
	network, other := net.Pipe()
	quiet := messenger.Settings{HeartbeatInterval: time.Hour, SilenceLimit: 24 * time.Hour}
	l.conn = messenger.NewConn(network, quiet)
	quiet.Handler = messenger.HandlerFunc(func(_ context.Context, _ *messenger.Conn, _ messenger.Method, params json.RawMessage) (any, error) {
		var s placer.EngineState
		if err := messenger.Decode(params, &s); err != nil {
			f.t.Error(err)
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.states = append(l.states, s)
		return nil, nil
	})
	l.near = messenger.NewConn(other, quiet)
	return l
}

func (l *listening) watch() {
	if _, err := l.f.attendant.Handle(context.Background(), l.conn, messenger.MethodWatch, json.RawMessage(`{"Node":"e"}`)); err != nil {
		l.f.t.Fatal(err)
	}
	after(time.Second)
}

// heard returns what was told since the last call.
func (l *listening) heard() []placer.EngineState {
	l.mu.Lock()
	defer l.mu.Unlock()
	states := l.states
	l.states = nil
	return states
}

func (l *listening) close() {
	_ = l.near.Close()
	_ = l.conn.Close()
}

// TestTellsPartsAsEntriesKnowThem: symptom: prompts go to engines that must read them
// again, though another has read their shared parts. Sequence: an entry asks for an
// adapter with a prompt, another hears of what was read. Cause: companions hashed a
// part with the adapter's version, and entries without.
func TestTellsPartsAsEntriesKnowThem(t *testing.T) {
	with(t, func(f *fixture, _ *engine) {
		l := f.listen()
		defer l.close()
		l.heard()
		f.admitPrompt("1", "a1", 1, messenger.Part{ID: 7, Tokens: 60}, messenger.Part{ID: 8, Tokens: 40})
		after(time.Second)
		first := placer.PartHash(model, "a1", 1, 0, 7)
		want := []uint32{first, placer.PartHash(model, "a1", 1, first, 8)}
		for _, s := range l.heard() {
			if slices.Equal(s.Cached, want) {
				return
			}
		}
		t.Errorf("not told of parts %v", want)
	})
}

// TestTellsWhatWaits: symptom: after a loss of power all entries send their prompts to
// the few engines that are back, where two seconds of reading wait. Sequence: requests
// wait for an adapter; its load ends, and all are read at once. Cause: what waits for
// an adapter was told to nobody.
func TestTellsWhatWaits(t *testing.T) {
	with(t, func(f *fixture, _ *engine) {
		l := f.listen()
		defer l.close()
		l.heard()
		for i := range 5 {
			f.admitPrompt(strconv.Itoa(i), "a1", 1, messenger.Part{ID: uint64(i), Tokens: 9000})
		}
		after(2 * time.Second)
		most := 0
		states := l.heard()
		for _, s := range states {
			most = max(most, s.WaitingMillis)
		}
		read := placer.ReadTime(9000, 9000, attendant.DefaultPrefillRate)
		if want := int((5 * read).Milliseconds()); most != want {
			t.Errorf("told that %d ms wait, want %d", most, want)
		}
		if last := states[len(states)-1]; last.WaitingMillis != 0 {
			t.Errorf("%d ms wait after the load", last.WaitingMillis)
		}
	})
}

func names(slots []placer.AdapterState) []string {
	var all []string
	for _, s := range slots {
		all = append(all, s.Name)
	}
	return all
}

// TestTellsWhatHasChanged: symptom: at 25 entries before 46 engines half of what goes
// between failure domains is the same state, told again. Sequence: requests come and
// go at an engine with a full table. Cause: each word on the engine held all of it.
func TestTellsWhatHasChanged(t *testing.T) {
	with(t, func(f *fixture, _ *engine) {
		f.admit("1", "a1", 1)
		f.admit("2", "a2", 1)
		after(time.Second)
		l := f.listen()
		defer l.close()
		first := l.heard()
		if len(first) != 1 || !first[0].Whole || !slices.Equal(names(first[0].Adapters), []string{"m/a1", "m/a2"}) || first[0].MaxAdapters != slots {
			t.Fatalf("first told: %+v", first)
		}
		f.release("1")
		after(time.Second)
		news := l.heard()
		if len(news) != 1 || news[0].Whole || !slices.Equal(names(news[0].Adapters), []string{"m/a1"}) || news[0].Sequence != first[0].Sequence+1 || len(news[0].Models) > 0 {
			t.Fatalf("told after a release: %+v", news)
		}
		f.admit("3", "a3", 1)
		after(time.Second)
		gone := false
		for _, s := range l.heard() {
			gone = gone || slices.Equal(s.Gone, []string{"m/a1"})
		}
		if !gone {
			t.Error("not told that the slot was left")
		}
		l.watch()
		if again := l.heard(); len(again) != 1 || !again[0].Whole || !slices.Equal(names(again[0].Adapters), []string{"m/a2", "m/a3"}) {
			t.Errorf("asked for the whole, told: %+v", again)
		}
	})
}

// TestTellsNothingThatMovesNoChoice: symptom: half of the words on engines tell of
// requests that have ended. Sequence: seven requests share an adapter, and two of them
// end. Cause: each change was told.
func TestTellsNothingThatMovesNoChoice(t *testing.T) {
	with(t, func(f *fixture, _ *engine) {
		for i := range 7 {
			f.admit(strconv.Itoa(i), "a1", 1)
		}
		after(time.Second)
		l := f.listen()
		defer l.close()
		l.heard()
		f.release("0")
		f.release("1")
		after(time.Second)
		if news := l.heard(); len(news) != 0 {
			t.Errorf("told: %+v", news)
		}
		for i := 2; i < 7; i++ {
			f.release(strconv.Itoa(i))
		}
		after(time.Second)
		news := l.heard()
		if len(news) != 1 || len(news[0].Adapters) != 1 || news[0].Adapters[0].Pins != 0 || news[0].Running != 0 {
			t.Fatalf("told at the end: %+v", news)
		}
		if n := news[0]; n.Name != "" || n.Incarnation != "" || n.Life != 0 {
			t.Errorf("told again what is known: %+v", n)
		}
	})
}

// TestTellsWholeAfterRestart: symptom: entries count on adapters and prompt parts that
// an engine lost with its former life. Sequence: the engine restarts, empty. Cause:
// what is told builds on what was told before.
func TestTellsWholeAfterRestart(t *testing.T) {
	with(t, func(f *fixture, e *engine) {
		f.admit("1", "a1", 1)
		after(time.Second)
		l := f.listen()
		defer l.close()
		l.heard()
		e.restart("i-2")
		f.announce("i-2", 0)
		after(3 * time.Second)
		for _, s := range l.heard() {
			if s.Whole && s.Incarnation == "i-2" && len(s.Cached) == 0 {
				return
			}
		}
		t.Error("the whole was not told")
	})
}
