package attendant_test

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/cacher"
	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

func (l *stateListener) addCache(params json.RawMessage) error {
	var s placer.CacheState
	if err := messenger.Decode(params, &s); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.caches = append(l.caches, s)
	return nil
}

// estimate returns what an entry knows after all reports on the cache, the number of reports and
// the last whole one.
func (l *stateListener) estimate() (e cacher.Estimate, count int, whole placer.CacheState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.caches {
		if s.Update.Whole {
			whole = s
		}
		e.Apply(time.Now(), s.Update)
	}
	return e, len(l.caches), whole
}

// expect returns what is expected of the first part of a prompt for an adapter.
func (l *stateListener) expect(adapter string, id uint64) cacher.Expected {
	e, _, _ := l.estimate()
	hash := placer.PartHash(model, adapter, 1, 0, id)
	return e.Expect(time.Now(), cacher.Prompt{Parts: []uint32{hash}, Tokens: []int{6300}, Total: 9190}, cacher.Demand{})
}

func withMemory(t *testing.T, used, total int, f func(*fixture, *engine, *stateListener)) {
	t.Helper()
	withEngine(t, func(x *fixture, e *engine) {
		e.mu.Lock()
		e.memoryUsed, e.memoryTotal = used, total
		e.mu.Unlock()
		l := x.watchLocal()
		defer l.close()
		f(x, e, l)
	})
}

func (f *fixture) runLongPrompt(request, adapter string, id uint64) {
	f.admitPrompt(request, adapter, 1, messenger.Part{ID: id, Tokens: 6300}, messenger.Part{ID: 1000 + id, Tokens: 2890})
	advance(500 * time.Millisecond)
	f.release(request)
	advance(time.Second)
}

// TestPublishesMarginsByReportedMemory guards against entries that count a shared part as cached
// at an engine whose memory running requests need.
func TestPublishesMarginsByReportedMemory(t *testing.T) {
	withMemory(t, 0, 100_000, func(f *fixture, e *engine, l *stateListener) {
		f.runLongPrompt("1", "a1", 7)
		if x := l.expect("a1", 7); x.Known != 6300 || x.Probability < 0.9 {
			t.Errorf("ample memory: expected %+v", x)
		}
		e.mu.Lock()
		e.memoryUsed = 98_000
		e.mu.Unlock()
		advance(time.Second)
		if x := l.expect("a1", 7); x.Known != 0 {
			t.Errorf("no memory: expected %+v", x)
		}
	})
}

// TestReportsOnCacheAreBounded guards against reports that fill the entries' links.
func TestReportsOnCacheAreBounded(t *testing.T) {
	withMemory(t, 0, 2_000_000, func(f *fixture, _ *engine, l *stateListener) {
		for i := range 60 {
			f.admitPrompt(string(rune('A'+i)), "a1", 1, messenger.Part{ID: uint64(i), Tokens: 6300}, messenger.Part{ID: uint64(1000 + i), Tokens: 2890})
		}
		advance(10 * time.Second)
		l.mu.Lock()
		defer l.mu.Unlock()
		bytes := 0
		for _, s := range l.caches {
			text, err := messenger.EncodeNotice(s)
			if err != nil {
				t.Fatal(err)
			}
			bytes += len(text)
			if !s.Update.Whole && len(s.Update.Parts) > cacher.MaxChangedParts {
				t.Errorf("%d parts in one report", len(s.Update.Parts))
			}
		}
		t.Logf("%d bytes in %d reports in 11 s", bytes, len(l.caches))
		if bytes > 500*11 {
			t.Errorf("%d bytes in 11 s", bytes)
		}
	})
}

// TestNothingIsReportedWithoutMemory guards against traffic in deployments whose engines don't
// report their memory.
func TestNothingIsReportedWithoutMemory(t *testing.T) {
	withMemory(t, 0, 0, func(f *fixture, _ *engine, l *stateListener) {
		f.runLongPrompt("1", "a1", 7)
		if _, count, _ := l.estimate(); count != 0 {
			t.Errorf("%d reports", count)
		}
	})
}

// TestNothingIsReportedWhereNotWeighed guards against reports that cost deployments whose entries do
// not use them: those that are not under pressure and whose engines report no slowdown factor.
func TestNothingIsReportedWhereNotWeighed(t *testing.T) {
	withMemory(t, 0, 50_000, func(f *fixture, e *engine, _ *stateListener) {
		f.promptCache = cacher.ModeAuto
		f.restartCompanion()
		advance(time.Second)
		l := f.watchLocal()
		defer l.close()
		f.runLongPrompt("1", "a1", 7)
		if _, count, _ := l.estimate(); count > 0 {
			t.Errorf("%d reports", count)
		}
		e.slow(1)
		f.admit("2", "a1", 1)
		advance(15 * time.Second)
		if _, count, _ := l.estimate(); count == 0 {
			t.Error("no report where the engine reports a slowdown factor")
		}
	})
}

// TestRestartOfEngineClearsCache guards against prompts that are sent to an engine for parts that
// its previous incarnation had cached.
func TestRestartOfEngineClearsCache(t *testing.T) {
	withMemory(t, 0, 100_000, func(f *fixture, e *engine, l *stateListener) {
		f.runLongPrompt("1", "a1", 7)
		e.restart("i-2")
		f.announce("i-2", 0)
		advance(2 * time.Second)
		_, _, whole := l.estimate()
		if x := l.expect("a1", 7); x.Known != 0 || whole.Incarnation != "i-2" {
			t.Errorf("expected %+v of incarnation %q", x, whole.Incarnation)
		}
	})
}

// TestUnloadedAdapterClearsItsParts guards against parts that are counted as cached although the
// engine has dropped them with their adapter.
func TestUnloadedAdapterClearsItsParts(t *testing.T) {
	withMemory(t, 0, 100_000, func(f *fixture, _ *engine, l *stateListener) {
		f.runLongPrompt("1", "a1", 7)
		f.runLongPrompt("2", "a2", 7)
		f.runLongPrompt("3", "a3", 7)
		known := 0
		for _, adapter := range []string{"a1", "a2", "a3"} {
			if l.expect(adapter, 7).Known > 0 {
				known++
			}
		}
		if known != slots {
			t.Errorf("parts of %d adapters, %d are loaded", known, slots)
		}
	})
}

// TestReturnsWeighedRequestThatWaitsLongerThanItsPrefill guards against a queue of the calls of
// one prefix, sent by entries that don't know of each other's.
func TestReturnsWeighedRequestThatWaitsLongerThanItsPrefill(t *testing.T) {
	withMemory(t, 0, 1_000_000, func(f *fixture, _ *engine, _ *stateListener) {
		f.runLongPrompt("1", "a1", 7)
		var last *admission
		for i := range 6 {
			last = f.send(messenger.Admit{
				Request: string(rune('A' + i)), Adapter: "a1", Version: 1, Movable: true, MaxExcessMillis: 200,
				Parts: []messenger.Part{{ID: 7, Tokens: 6300}, {ID: uint64(2000 + i), Tokens: 2890}},
			})
			advance(time.Millisecond)
		}
		var refusal *messenger.Refusal
		if !last.ended() || !errors.As(last.err, &refusal) || refusal.Reason != messenger.ReasonMisled {
			t.Errorf("ended %v, error %v", last.ended(), last.err)
		}
	})
}
