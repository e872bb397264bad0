package attendant_test

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// TestTellsManyEntriesSeldomer: symptom: at 68 entries before 117 companions each
// companion sends 800 states a second, and each entry takes as many in. Sequence:
// adapters come and go at an engine whose state all entries are told. Cause: each was
// told each change within 80 ms, whatever their number. The load is that of the users'
// largest deployment: some four calls a second for each engine, each for an adapter that
// is loaded for it.
func TestTellsManyEntriesSeldomer(t *testing.T) {
	const (
		near, far = 14, 54
		span      = 10 * time.Second
		calls     = 40
	)
	with(t, func(f *fixture, _ *engine) {
		var all []*listening
		for i := range near + far {
			domain := "elsewhere"
			if i < near {
				domain = failureDomain
			}
			all = append(all, f.listenAt(domain))
		}
		after(time.Second)
		for _, l := range all {
			if first := l.heard(); len(first) == 0 || !first[0].Whole {
				t.Fatal("an entry was not told the whole")
			}
		}
		for i := range calls {
			f.admit(strconv.Itoa(i), "a"+strconv.Itoa(i%5), 1)
			after(span / calls)
			f.release(strconv.Itoa(i))
		}
		after(3 * time.Second)
		total := 0
		for i, l := range all {
			states := l.heard()
			total += len(states)
			if len(states) < 5 {
				t.Errorf("entry %d was told %d states", i, len(states))
			}
			for k, s := range states {
				if s.Whole || k > 0 && s.Sequence != states[k-1].Sequence+1 {
					t.Errorf("entry %d: state %d does not build on the one before", i, k)
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

// TestTellsLateEntryWhatOthersKnow: an entry that comes between two states of an
// audience is told at once, and what comes next builds on that.
func TestTellsLateEntryWhatOthersKnow(t *testing.T) {
	with(t, func(f *fixture, _ *engine) {
		var all []*listening
		for range 54 {
			all = append(all, f.listenAt("elsewhere"))
		}
		after(3 * time.Second)
		f.admit("1", "a1", 1)
		after(100 * time.Millisecond)
		late := f.join("elsewhere")
		after(2 * attendantTell)
		first := late.heard()
		if len(first) != 1 || !first[0].Whole {
			t.Fatalf("told at first: %+v", first)
		}
		after(3 * time.Second)
		next := late.heard()
		if len(next) == 0 || next[0].Whole || next[0].Sequence != first[0].Sequence+1 {
			t.Fatalf("told then: %+v", next)
		}
		held := names(first[0].Adapters)
		for _, s := range next {
			held = append(held, names(s.Adapters)...)
		}
		if !slices.Contains(held, "m/a1") {
			t.Error("never told of the adapter")
		}
		for _, l := range append(all, late) {
			l.close()
		}
	})
}

// attendantTell is the attendant's least interval.
const attendantTell = 80 * time.Millisecond

// join has an entry of a failure domain ask for the engine's state.
func (f *fixture) join(domain string) *listening {
	l := f.connect()
	if _, err := f.attendant.Handle(f.t.Context(), l.conn, messenger.MethodWatch, []byte(`{"Node":"e","FailureDomain":"`+domain+`"}`)); err != nil {
		f.t.Fatal(err)
	}
	return l
}

// listenAt is join, and the time for the first state.
func (f *fixture) listenAt(domain string) *listening {
	l := f.join(domain)
	after(attendantTell)
	return l
}
