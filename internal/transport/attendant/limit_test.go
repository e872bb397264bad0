package attendant_test

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"testing"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/regulator"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// addLimit records a state of the engine's limit.
func (l *stateListener) addLimit(params json.RawMessage) error {
	var s placer.LimitState
	if err := messenger.Decode(params, &s); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits = append(l.limits, s)
	return nil
}

// lastLimit returns the last state of the engine's limit that was received.
func (l *stateListener) lastLimit() placer.LimitState {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.limits) == 0 {
		return placer.LimitState{}
	}
	return l.limits[len(l.limits)-1]
}

// nameLimit reports an answer that names a limit.
func (f *fixture) nameLimit(rate float64) {
	f.reportLimit(messenger.Limit{Incarnation: "i-1", Named: true, Rate: rate})
}

func (f *fixture) reportLimit(m messenger.Limit) {
	f.t.Helper()
	params, err := json.Marshal(m)
	if err != nil {
		f.t.Fatal(err)
	}
	if _, err := f.attendant.Handle(context.Background(), f.conn, messenger.MethodLimit, params); err != nil {
		f.t.Fatal(err)
	}
}

// refusedAsLimited reports whether the request was refused because of the limit, and the
// wait that the refusal names.
func (a *admission) refusedAsLimited() (time.Duration, bool) {
	var refusal *messenger.Refusal
	if !a.ended() || !errors.As(a.err, &refusal) || refusal.Reason != messenger.ReasonLimited {
		return 0, false
	}
	return refusal.RetryAfter(), true
}

// countAdmitted returns the number of requests that were admitted.
func countAdmitted(requests []*admission) int {
	n := 0
	for _, a := range requests {
		if a.ended() && a.err == nil {
			n++
		}
	}
	return n
}

// TestKeepsLimitOfRequests guards against more requests at an engine than it has named,
// whichever entries send them.
func TestKeepsLimitOfRequests(t *testing.T) {
	withEngine(t, func(f *fixture, _ *engine) {
		f.admit("first", "a1", 1)
		advance(time.Second)
		f.nameLimit(2)
		var requests []*admission
		for i := range 30 {
			requests = append(requests, f.admitPunctual(strconv.Itoa(i)))
		}
		advance(4*time.Second + 10*time.Millisecond)
		admitted := countAdmitted(requests)
		if admitted != 8 {
			t.Errorf("%d requests admitted in 4 s under a limit of 2 a second, want 8", admitted)
		}
	})
}

// TestRefusesHopelessUnderLimit guards against callers that are held until their deadline
// although the limit leaves no turn for them.
func TestRefusesHopelessUnderLimit(t *testing.T) {
	withEngine(t, func(f *fixture, _ *engine) {
		f.admit("first", "a1", 1)
		advance(time.Second)
		f.nameLimit(1)
		var requests []*admission
		for i := range 12 {
			requests = append(requests, f.admitPunctual(strconv.Itoa(i)))
		}
		advance(time.Millisecond)
		refused := 0
		for _, a := range requests {
			if wait, is := a.refusedAsLimited(); is {
				refused++
				if wait < 10*time.Second {
					t.Errorf("refused with a wait of %s though that is in time", wait)
				}
			}
		}
		if refused != 2 {
			t.Errorf("%d of 12 requests that can wait 10 s are refused at once, want 2", refused)
		}
	})
}

// TestUrgentRequestsFirstUnderLimit guards against urgent requests that wait behind others,
// and against others that are kept waiting although they have lost their turn.
func TestUrgentRequestsFirstUnderLimit(t *testing.T) {
	withEngine(t, func(f *fixture, _ *engine) {
		f.admit("first", "a1", 1)
		advance(time.Second)
		f.nameLimit(1)
		var others []*admission
		for i := range 10 {
			others = append(others, f.send(messenger.Admit{Request: strconv.Itoa(i), Adapter: "a1", Version: 1, Urgency: 5, SlackMillis: 9900 + int64(i)}))
			advance(time.Millisecond)
		}
		urgent := f.send(messenger.Admit{Request: "urgent", Adapter: "a1", Version: 1, Urgency: 1})
		advance(time.Millisecond)
		if _, is := others[9].refusedAsLimited(); !is {
			t.Error("the last request still waits though its turn comes too late now")
		}
		advance(time.Second)
		urgent.mustBeAdmitted(t, 1)
		if others[0].ended() {
			t.Error("a less urgent request was admitted first")
		}
	})
}

// TestResumedRequestsFirstUnderLimit guards against streams that break off since they wait
// behind requests whose callers have received nothing yet.
func TestResumedRequestsFirstUnderLimit(t *testing.T) {
	withEngine(t, func(f *fixture, _ *engine) {
		f.admit("first", "a1", 1).mustBeAdmittedAfter(t, time.Second)
		f.nameLimit(1)
		waiting := f.send(messenger.Admit{Request: "waiting", Adapter: "a1", Version: 1, SlackMillis: 10_000})
		advance(time.Millisecond)
		resumed := f.send(messenger.Admit{Request: "resumed", Adapter: "a1", Version: 1, Urgency: 9, Resumed: true})
		resumed.mustBeAdmittedAfter(t, 1100*time.Millisecond)
		if waiting.ended() {
			t.Error("the other request was admitted first")
		}
		waiting.mustBeAdmittedAfter(t, time.Second)
	})
}

// TestLimitEnds guards against a limit that lasts longer than the engine names it, and one
// that ends by an answer to a request that was sent before it.
func TestLimitEnds(t *testing.T) {
	withEngine(t, func(f *fixture, _ *engine) {
		f.admit("before", "a1", 1).mustBeAdmittedAfter(t, time.Second)
		f.nameLimit(1)
		after := f.admit("after", "a1", 1)
		waiting := f.admitPunctual("waiting")
		advance(1100 * time.Millisecond)
		after.mustBeAdmitted(t, 1)
		f.reportLimit(messenger.Limit{Request: "before", Incarnation: "i-1"})
		f.reportLimit(messenger.Limit{Request: "unknown", Incarnation: "i-1"})
		f.reportLimit(messenger.Limit{Request: "after", Incarnation: "i-0"})
		advance(10 * time.Millisecond)
		if waiting.ended() {
			t.Fatal("the limit ended by an answer to an earlier request, or of another incarnation")
		}
		f.reportLimit(messenger.Limit{Request: "after", Incarnation: "i-1"})
		advance(10 * time.Millisecond)
		waiting.mustBeAdmitted(t, 1)
	})
}

// admitPunctual requests admission of a request that is answered on time whenever it is
// admitted.
func (f *fixture) admitPunctual(request string) *admission {
	return f.send(messenger.Admit{Request: request, Adapter: "a1", Version: 1, SlackMillis: 10_000})
}

// TestRefusesUnpunctualUnderLimit guards against queues in which all requests become late.
func TestRefusesUnpunctualUnderLimit(t *testing.T) {
	withEngine(t, func(f *fixture, _ *engine) {
		f.admit("first", "a1", 1).mustBeAdmittedAfter(t, time.Second)
		f.nameLimit(1)
		var requests []*admission
		for i := range 5 {
			requests = append(requests, f.send(messenger.Admit{Request: strconv.Itoa(i), Adapter: "a1", Version: 1, SlackMillis: 2500}))
			advance(time.Millisecond)
		}
		for i, a := range requests {
			if _, refused := a.refusedAsLimited(); refused != (i >= 2) {
				t.Errorf("request %d of those that must be sent within 2.5 s: refused %t", i, refused)
			}
		}
	})
}

// mustBeAdmittedAfter lets d pass and fails unless the request is admitted then.
func (a *admission) mustBeAdmittedAfter(t *testing.T, d time.Duration) {
	t.Helper()
	advance(d)
	a.mustBeAdmitted(t, 1)
}

// TestOldLimitIsNotBroughtBack guards against a limit that has ended and starts again since
// an entry attaches what it learned earlier.
func TestOldLimitIsNotBroughtBack(t *testing.T) {
	withEngine(t, func(f *fixture, _ *engine) {
		f.admit("1", "a1", 1).mustBeAdmittedAfter(t, time.Second)
		f.nameLimit(1)
		f.admit("2", "a1", 1).mustBeAdmittedAfter(t, 1100*time.Millisecond)
		f.reportLimit(messenger.Limit{Request: "2", Incarnation: "i-1"})
		advance(time.Second)
		for i := range 5 {
			old := &messenger.Limit{Incarnation: "i-1", Named: true, Rate: 1, AgeMillis: 2000}
			f.send(messenger.Admit{Request: "old" + strconv.Itoa(i), Adapter: "a1", Version: 1, Limit: old}).mustBeAdmittedAfter(t, time.Millisecond)
		}
	})
}

// TestLimitOfPreviousIncarnation guards against the limit of an engine that has ended at the
// one that has started since.
func TestLimitOfPreviousIncarnation(t *testing.T) {
	withEngine(t, func(f *fixture, e *engine) {
		f.admit("1", "a1", 1).mustBeAdmittedAfter(t, time.Second)
		f.nameLimit(0)
		e.restart("i-2")
		f.announce("i-2", storer.MemberStateServing)
		advance(3 * time.Second)
		f.nameLimit(0)
		for i := range 5 {
			f.admitIncarnation("i-2", "new"+strconv.Itoa(i), "a1", 1)
		}
		last := f.admitIncarnation("i-2", "last", "a1", 1)
		advance(time.Second)
		last.mustBeAdmitted(t, 1)
	})
}

// TestRestartedCompanionLearnsLimit guards against a companion that has restarted and admits
// without a limit until the next answer names it.
func TestRestartedCompanionLearnsLimit(t *testing.T) {
	withEngine(t, func(f *fixture, _ *engine) {
		f.admit("1", "a1", 1).mustBeAdmittedAfter(t, time.Second)
		known := &messenger.Limit{Incarnation: "i-1", Named: true, Rate: 2, AgeMillis: 900}
		var requests []*admission
		for i := range 20 {
			requests = append(requests, f.send(messenger.Admit{Request: "r" + strconv.Itoa(i), Adapter: "a1", Version: 1, Limit: known, SlackMillis: 10_000}))
		}
		advance(2*time.Second + 10*time.Millisecond)
		admitted := countAdmitted(requests)
		if admitted > 5 {
			t.Errorf("%d requests admitted in 2 s, want at most 5", admitted)
		}
	})
}

// TestLimitInReports guards against a limit that only the engine's reports name, or that
// they end though only answers to requests name it.
func TestLimitInReports(t *testing.T) {
	withEngine(t, func(f *fixture, e *engine) {
		f.admit("1", "a1", 1).mustBeAdmittedAfter(t, time.Second)
		f.nameLimit(1)
		advance(2 * time.Second)
		f.admit("2", "a1", 1).mustBeAdmittedAfter(t, time.Millisecond)
		waiting := f.admit("3", "a1", 1)
		advance(500 * time.Millisecond)
		if waiting.ended() {
			t.Fatal("a report without a limit ended one that reports do not name")
		}
		e.setLimit(regulator.Notice{Kind: regulator.NoticeLimited, Rate: 1})
		advance(300 * time.Millisecond)
		e.setLimit(regulator.Notice{Kind: regulator.NoticeUnlimited})
		advance(300 * time.Millisecond)
		for i := range 3 {
			f.admit("more"+strconv.Itoa(i), "a1", 1).mustBeAdmittedAfter(t, time.Millisecond)
		}
	})
}

// TestPublishesLimit guards against entries that send calls to a limited engine since they
// do not know how long these wait there.
func TestPublishesLimit(t *testing.T) {
	withEngine(t, func(f *fixture, _ *engine) {
		l := f.watchLocal()
		defer l.close()
		f.admit("1", "a1", 1).mustBeAdmittedAfter(t, time.Second)
		f.nameLimit(1)
		f.admitPunctual("2")
		f.admitPunctual("3")
		advance(200 * time.Millisecond)
		s := l.lastLimit()
		if !s.Named || s.Rate != 1 || s.Incarnation != "i-1" || s.WaitMillis < 2500 || s.WaitMillis > 3000 {
			t.Errorf("published %+v, want a limit of 1 and a wait of 2.5 to 3 s", s)
		}
		late := f.connect()
		defer late.close()
		late.watch()
		if s := late.lastLimit(); !s.Named {
			t.Errorf("a new subscriber got %+v", s)
		}
		advance(time.Second)
		f.reportLimit(messenger.Limit{Request: "2", Incarnation: "i-1"})
		advance(200 * time.Millisecond)
		if s := l.lastLimit(); s.Named {
			t.Errorf("published %+v after the end", s)
		}
	})
}
