package relayer

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/protocol/exchanger"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

// TestReservationEndsWithItsAttempt guards against reservations in the retry budget that nobody
// holds: a move to another backend server is decided after the answer was read and before the
// attempt ends.
func TestReservationEndsWithItsAttempt(t *testing.T) {
	now := time.Now()
	r := &Relayer{
		settings: Settings{Now: func() time.Time { return now }, BootNow: func() time.Time { return now }},
		budget:   newBudget(0, 10, 10*time.Second, nil),
		attempts: make(map[string]map[*attempt]struct{}),
	}
	request := httptest.NewRequestWithContext(t.Context(), "GET", "/", nil)
	j := &job{
		relayer: r, request: request, ctx: t.Context(), service: &tracker.Service{Name: "s"},
		route: &tracker.Route{Repeat: tracker.RepeatFreely, MaxAttempts: 2},
	}
	j.choice.Name = "b"
	a, _, end := r.trackAttempt(j)
	a.markSent()
	r.cancelWaiting(now.Add(time.Minute), "b")
	end()
	j.cancelRetry()
	if reserved := r.budget.report(now, "s").reserved; reserved != 0 {
		t.Errorf("%v retries are reserved after the end of the call", reserved)
	}
}

// TestEndOfConnectionIsNoArrival guards against retries that are taken for arrived since their connection has
// ended: a backend server that stands still reads them later, also if the network has ended it.
func TestEndOfConnectionIsNoArrival(t *testing.T) {
	for _, c := range []struct {
		name              string
		err               error
		inFlight, retries float64
	}{
		{"answered", nil, 0, 1},
		{"not sent", errors.Annotate(exchanger.ErrNotSent, "refused"), 0, 0},
		{"ended", errors.Annotate(exchanger.ErrSent, "reset by peer"), 1, 0},
		{"answered for another request", exchanger.ErrAnswerMismatch, 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Now()
			r := &Relayer{settings: Settings{BootNow: func() time.Time { return now }}, budget: newBudget(0, 10, 10*time.Second, nil)}
			j := &job{relayer: r, service: &tracker.Service{Name: "s"}, retryInFlight: true}
			if !r.budget.reserve(now, "s") || !r.budget.commit(now, "s") {
				t.Fatal("the budget is not free at first")
			}
			j.recordArrival(c.err)
			if got := r.budget.report(now, "s"); got.inFlight != c.inFlight || got.retries != c.retries {
				t.Errorf("%v in flight and %v retries, want %v and %v", got.inFlight, got.retries, c.inFlight, c.retries)
			}
		})
	}
}
