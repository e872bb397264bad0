package attendant_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// TestPublishesLessOftenToManyEntries guards against excessive traffic: at 68 entries and
// 117 companions, each companion sent 800 states per second and each entry received as
// many, because each change was sent to each entry within 80 ms whatever their number. The
// load is that of the largest user deployment: some four requests per second and engine,
// each for an adapter that has to be loaded.
func TestPublishesLessOftenToManyEntries(t *testing.T) {
	const (
		near, far = 14, 54
		span      = 10 * time.Second
		calls     = 40
	)
	withEngine(t, func(f *fixture, _ *engine) {
		var all []*stateListener
		for i := range near + far {
			domain := "elsewhere"
			if i < near {
				domain = failureDomain
			}
			all = append(all, f.listenFrom(domain))
		}
		advance(time.Second)
		for _, l := range all {
			if first := l.received(); len(first) == 0 || !first[0].Whole {
				t.Fatal("an entry did not get the full state")
			}
		}
		for i := range calls {
			f.admit(strconv.Itoa(i), "a"+strconv.Itoa(i%5), 1)
			advance(span / calls)
			f.release(strconv.Itoa(i))
		}
		advance(3 * time.Second)
		total := 0
		for i, l := range all {
			states := l.received()
			total += len(states)
			if len(states) < 5 {
				t.Errorf("entry %d got %d states", i, len(states))
			}
			for k, s := range states {
				if s.Whole || k > 0 && s.Sequence != states[k-1].Sequence+1 {
					t.Errorf("entry %d: state %d is not based on the previous one", i, k)
				}
			}
		}
		if most := 310 * int(span/time.Second); total > most {
			t.Errorf("%d states in %v, want at most %d", total, span, most)
		}
		for _, l := range all {
			l.close()
		}
	})
}

// TestLateEntryGetsPublishedState: an entry that subscribes between two updates of its
// group gets the published state at once, and the next update is based on it.
func TestLateEntryGetsPublishedState(t *testing.T) {
	withEngine(t, func(f *fixture, _ *engine) {
		var all []*stateListener
		for range 54 {
			all = append(all, f.listenFrom("elsewhere"))
		}
		advance(3 * time.Second)
		f.admit("1", "a1", 1)
		advance(100 * time.Millisecond)
		late := f.watchFrom("elsewhere")
		advance(2 * publishInterval)
		first := late.received()
		if len(first) != 1 || !first[0].Whole {
			t.Fatalf("first state: %+v", first)
		}
		advance(3 * time.Second)
		next := late.received()
		if len(next) == 0 || next[0].Whole || next[0].Sequence != first[0].Sequence+1 {
			t.Fatalf("next state: %+v", next)
		}
		held := names(first[0].Adapters)
		for _, s := range next {
			held = append(held, names(s.Adapters)...)
		}
		if !slices.Contains(held, "m/a1") {
			t.Error("the adapter was never published")
		}
		for _, l := range append(all, late) {
			l.close()
		}
	})
}

// publishInterval is the attendant's shortest interval between two updates.
const publishInterval = 80 * time.Millisecond

// watchFrom subscribes an entry of a failure domain to the engine's state.
func (f *fixture) watchFrom(domain string) *stateListener {
	l := f.connect()
	if _, err := f.attendant.Handle(f.t.Context(), l.conn, messenger.MethodWatch, []byte(`{"Node":"e","FailureDomain":"`+domain+`"}`)); err != nil {
		f.t.Fatal(err)
	}
	return l
}

// listenFrom is watchFrom followed by the wait for the first state.
func (f *fixture) listenFrom(domain string) *stateListener {
	l := f.watchFrom(domain)
	advance(publishInterval)
	return l
}
