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

// stateListener is an entry that records the states that it receives.
type stateListener struct {
	f      *fixture
	conn   *messenger.Conn
	near   *messenger.Conn
	mu     sync.Mutex
	states []placer.EngineState
	limits []placer.LimitState
	// speeds are the slowdown factors received, in percent.
	speeds []int
	caches []placer.CacheState
	// shares are the shares of long prefills received, in percent.
	shares []int
}

func (f *fixture) watchLocal() *stateListener {
	l := f.connect()
	l.watch()
	return l
}

// connect returns an entry that has not subscribed yet.
func (f *fixture) connect() *stateListener {
	l := &stateListener{f: f}
	network, other := net.Pipe()
	quiet := messenger.Settings{HeartbeatInterval: time.Hour, SilenceLimit: 24 * time.Hour}
	l.conn = messenger.NewConn(network, quiet)
	quiet.Handler = messenger.HandlerFunc(func(_ context.Context, _ *messenger.Conn, method messenger.Method, params json.RawMessage) (any, error) {
		if method == messenger.MethodLimitState {
			return nil, l.addLimit(params)
		}
		if method == messenger.MethodSpeedState {
			var s placer.SpeedState
			err := messenger.Decode(params, &s)
			l.mu.Lock()
			defer l.mu.Unlock()
			l.speeds = append(l.speeds, s.Percent)
			return nil, err
		}
		if method == messenger.MethodLongPromptState {
			var s placer.LongPromptState
			err := messenger.Decode(params, &s)
			l.mu.Lock()
			defer l.mu.Unlock()
			l.shares = append(l.shares, s.SharePercent)
			return nil, err
		}
		if method == messenger.MethodCacheState {
			return nil, l.addCache(params)
		}
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

func (l *stateListener) watch() {
	if _, err := l.f.attendant.Handle(context.Background(), l.conn, messenger.MethodWatch, json.RawMessage(`{"Node":"e"}`)); err != nil {
		l.f.t.Fatal(err)
	}
	advance(time.Second)
}

// received returns the states received since the last call.
func (l *stateListener) received() []placer.EngineState {
	l.mu.Lock()
	defer l.mu.Unlock()
	states := l.states
	l.states = nil
	return states
}

func (l *stateListener) close() {
	_ = l.near.Close()
	_ = l.conn.Close()
}

// TestPublishesPartHashesAsEntriesComputeThem guards against prompts that are sent to
// engines which have to prefill them again though another engine has their shared parts
// cached. Companions hashed a part with the adapter's version, and entries without it.
func TestPublishesPartHashesAsEntriesComputeThem(t *testing.T) {
	withEngine(t, func(f *fixture, _ *engine) {
		l := f.watchLocal()
		defer l.close()
		l.received()
		f.admitPrompt("1", "a1", 1, messenger.Part{ID: 7, Tokens: 60}, messenger.Part{ID: 8, Tokens: 40})
		advance(time.Second)
		first := placer.PartHash(model, "a1", 1, 0, 7)
		want := []uint32{first, placer.PartHash(model, "a1", 1, first, 8)}
		for _, s := range l.received() {
			if slices.Equal(s.Cached, want) {
				return
			}
		}
		t.Errorf("parts %v were not published", want)
	})
}

// TestPublishesWaitingTime guards against an uneven load after a power loss: all entries
// sent their prompts to the few engines that were back, where two seconds of prefill were
// waiting. Requests wait for an adapter, and all are prefilled when its load ends; the time
// of waiting requests was not published.
func TestPublishesWaitingTime(t *testing.T) {
	withEngine(t, func(f *fixture, _ *engine) {
		l := f.watchLocal()
		defer l.close()
		l.received()
		for i := range 5 {
			f.admitPrompt(strconv.Itoa(i), "a1", 1, messenger.Part{ID: uint64(i), Tokens: 9000})
		}
		advance(2 * time.Second)
		most := 0
		states := l.received()
		for _, s := range states {
			most = max(most, s.WaitingMillis)
		}
		read := placer.ReadTime(9000, 9000, attendant.DefaultPrefillRate)
		if want := int((5 * read).Milliseconds()); most != want {
			t.Errorf("published a waiting time of %d ms, want %d", most, want)
		}
		if last := states[len(states)-1]; last.WaitingMillis != 0 {
			t.Errorf("waiting time after the load is %d ms, want 0", last.WaitingMillis)
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

// TestPublishesChangesOnly guards against redundant traffic: at 25 entries and 46 engines,
// half of the traffic between failure domains was unchanged state, since each update for an
// engine with a full slot table held all of it.
func TestPublishesChangesOnly(t *testing.T) {
	withEngine(t, func(f *fixture, _ *engine) {
		f.admit("1", "a1", 1)
		f.admit("2", "a2", 1)
		advance(time.Second)
		l := f.watchLocal()
		defer l.close()
		first := l.received()
		if len(first) != 1 || !first[0].Whole || !slices.Equal(names(first[0].Adapters), []string{"m/a1", "m/a2"}) || first[0].MaxAdapters != slots {
			t.Fatalf("first state: %+v", first)
		}
		f.release("1")
		advance(time.Second)
		states := l.received()
		if len(states) != 1 || states[0].Whole || !slices.Equal(names(states[0].Adapters), []string{"m/a1"}) || states[0].Sequence != first[0].Sequence+1 || len(states[0].Models) > 0 {
			t.Fatalf("states after a release: %+v", states)
		}
		f.admit("3", "a3", 1)
		advance(time.Second)
		gone := false
		for _, s := range l.received() {
			gone = gone || slices.Equal(s.Gone, []string{"m/a1"})
		}
		if !gone {
			t.Error("the eviction was not published")
		}
		l.watch()
		if again := l.received(); len(again) != 1 || !again[0].Whole || !slices.Equal(names(again[0].Adapters), []string{"m/a2", "m/a3"}) {
			t.Errorf("subscribed again, got: %+v", again)
		}
	})
}

// TestSkipsInsignificantChanges guards against redundant updates: half of them were about
// requests that had ended. Seven requests share an adapter, and two of them end, which
// affects no choice of an engine.
func TestSkipsInsignificantChanges(t *testing.T) {
	withEngine(t, func(f *fixture, _ *engine) {
		for i := range 7 {
			f.admit(strconv.Itoa(i), "a1", 1)
		}
		advance(time.Second)
		l := f.watchLocal()
		defer l.close()
		l.received()
		f.release("0")
		f.release("1")
		advance(time.Second)
		if states := l.received(); len(states) != 0 {
			t.Errorf("unexpected states: %+v", states)
		}
		for i := 2; i < 7; i++ {
			f.release(strconv.Itoa(i))
		}
		advance(time.Second)
		states := l.received()
		if len(states) != 1 || len(states[0].Adapters) != 1 || states[0].Adapters[0].Pins != 0 || states[0].Running != 0 {
			t.Fatalf("states after the last release: %+v", states)
		}
		if n := states[0]; n.Name != "" || n.Incarnation != "" || n.Life != 0 {
			t.Errorf("unchanged fields were published again: %+v", n)
		}
	})
}

// TestPublishesFullStateAfterRestart guards against entries that rely on adapters and
// prompt parts which the engine lost in a restart, because updates are based on earlier
// ones.
func TestPublishesFullStateAfterRestart(t *testing.T) {
	withEngine(t, func(f *fixture, e *engine) {
		f.admit("1", "a1", 1)
		advance(time.Second)
		l := f.watchLocal()
		defer l.close()
		l.received()
		e.restart("i-2")
		f.announce("i-2", 0)
		advance(3 * time.Second)
		for _, s := range l.received() {
			if s.Whole && s.Incarnation == "i-2" && len(s.Cached) == 0 {
				return
			}
		}
		t.Error("the full state was not published")
	})
}
