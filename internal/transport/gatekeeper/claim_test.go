package gatekeeper_test

import (
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// serveBookings makes the companion a service that runs bookings and retains its
// answers.
func serveBookings(c *companion) {
	answer := func(request string, attempt int) messenger.Piece {
		return messenger.Piece{
			Request: request, Attempt: attempt, Data: []byte("booked by " + request),
			Head: &messenger.Head{Status: 201}, End: &messenger.End{Outcome: messenger.OutcomeCompleted},
		}
	}
	c.dispatch = func(conn *messenger.Conn, d messenger.Dispatch) error {
		send(conn, answer(d.Request, d.Attempt))
		return nil
	}
	c.resume = func(conn *messenger.Conn, r messenger.Resume) error {
		send(conn, answer(r.Request, r.Attempt))
		return nil
	}
}

func (e *entry) book(key, body string) answer {
	return e.call(http.MethodPost, "/services/booking/presses/7", body, "Idempotency-Key", key)
}

var _ = Describe("Claims", func() {
	var (
		c *companion
		w *deployment
	)

	BeforeEach(func() {
		c = newCompanion("service-1")
		serveBookings(c)
		w = newDeployment(c)
	})

	// Guards against a second booking when the caller resends the request through
	// another entry, before, during or after the first run.
	It("returns the retained answer for the same key through another entry", func() {
		first, second := w.entry(nil), w.entry(nil)
		a := first.book("b-1", "{}")
		Expect(a.StatusCode).To(Equal(201))
		Eventually(func() storer.ClaimState { return w.control.claim("b-1") }).Should(Equal(storer.ClaimStateDone))
		again := second.book("b-1", "{}")
		Expect(again.StatusCode).To(Equal(201))
		Expect(again.body).To(Equal(a.body))
		other := second.book("b-1", `{"press":8}`)
		Expect(other.StatusCode).To(Equal(http.StatusUnprocessableEntity))
		Expect(other.outcome()).To(Equal("NotRun"))
		Expect(c.dispatched.Load()).To(Equal(int64(1)))
	})

	It("runs the same key through two entries at once only once", func() {
		hold, release := gate()
		dispatch, resume := c.dispatch, c.resume
		c.dispatch = func(conn *messenger.Conn, d messenger.Dispatch) error {
			<-hold
			return dispatch(conn, d)
		}
		// On a busy machine the connection may be lost for its silence meanwhile.
		c.resume = func(conn *messenger.Conn, r messenger.Resume) error {
			<-hold
			return resume(conn, r)
		}
		one, two := w.entry(nil), w.entry(nil)
		answers := make(chan answer, 2)
		for _, e := range []*entry{one, two} {
			go func() {
				defer GinkgoRecover()
				answers <- e.book("b-1", "{}")
			}()
		}
		loser := <-answers
		Expect(loser.StatusCode).To(Equal(http.StatusConflict))
		Expect(loser.outcome()).To(Equal("Unknown"), "the other may be running it")
		release()
		Expect((<-answers).StatusCode).To(Equal(201))
		Expect(c.dispatched.Load()).To(Equal(int64(1)))
	})

	// Guards against running a call twice, or never although its key is free: control
	// commits the claim and the reply is lost, so that the entry does not know whether
	// it holds the claim.
	It("proposes again as the same holder if the reply to the claim was lost", func() {
		var lost atomic.Bool
		w.control.after = func(storer.Command) error {
			if lost.CompareAndSwap(false, true) {
				return errLost
			}
			return nil
		}
		Expect(w.entry(nil).book("b-1", "{}").StatusCode).To(Equal(201))
		Expect(c.dispatched.Load()).To(Equal(int64(1)))
	})

	// Guards against a key that can never be used again although nothing ran: the claim
	// is committed, all replies are lost until the deadline, the entry refuses the
	// call, and nothing releases the claim. The entry does not know whether another
	// entry had claimed the key before, so it must not report NotRun.
	It("returns Unknown without a claim, and releases a claim whose reply was lost", func() {
		var claims atomic.Int64
		w.control.after = func(command storer.Command) error {
			if _, ok := command.(storer.ClaimCall); ok {
				claims.Add(1)
				return errLost
			}
			return nil
		}
		a := w.entry(nil).call(http.MethodPost, "/services/booking/presses/7", "{}", "Idempotency-Key", "b-1", "Marigoldpoint-Deadline", "100ms")
		Expect(a.outcome()).To(Equal("Unknown"), a.body)
		Expect(a.body).To(ContainSubstring("claim_unavailable"))
		Expect(a.Header.Get("X-Should-Retry")).To(Equal("true"))
		Expect(claims.Load()).To(BeNumerically(">", 1))
		Eventually(func() storer.ClaimState { return w.control.claim("b-1") }).Should(Equal(storer.ClaimStateReleased))
		Expect(c.dispatched.Load()).To(BeZero())
	})

	// Guards against reporting NotRun for a key that has run: a booking runs, its
	// caller's connection breaks, and the caller resends it with its key through an
	// entry that can't ask whether the key has run, or refuses the request before it
	// asks. Told that nothing ran, the caller would book again under another key.
	DescribeTable("returns Unknown for a key that may have run and can't be looked up",
		func(code string, spoil func(e *entry)) {
			settings := func(s *configurer.EntrySettings) { s.MaxInFlight = 1 }
			Expect(w.entry(nil).book("b-1", "{}").StatusCode).To(Equal(201))
			Eventually(func() storer.ClaimState { return w.control.claim("b-1") }).Should(Equal(storer.ClaimStateDone))
			e := w.entry(settings)
			spoil(e)
			again := e.call(http.MethodPost, "/services/booking/presses/7", "{}", "Idempotency-Key", "b-1", "Marigoldpoint-Deadline", "100ms")
			Expect(again.body).To(ContainSubstring(code))
			Expect(again.outcome()).To(Equal("Unknown"), again.body)
			Expect(again.body).To(ContainSubstring(`"outcome":"Unknown"`))
			Expect(again.Header.Get("X-Should-Retry")).To(Equal("true"), "with its key it runs at most once")
			Expect(again.Header.Get("Retry-After")).NotTo(BeEmpty())
			Expect(c.dispatched.Load()).To(Equal(int64(1)))
			unkeyed := e.call(http.MethodPost, "/services/booking/presses/7", "{}", "Marigoldpoint-Deadline", "100ms")
			Expect(unkeyed.body).To(ContainSubstring(code))
			Expect(unkeyed.outcome()).To(Equal("NotRun"), "a request without a key has no earlier run")
		},
		Entry("at an entry without contact to control, under a rule", "configuration_lease_lost", func(*entry) {
			w.put(storer.KindPriorityRule, "town", "urgent", storer.PriorityRuleSpec{Key: "desk", Priority: 1})
			w.control.lost.Store(true)
		}),
		Entry("if no claim is answered", "claim_unavailable", func(*entry) {
			w.control.before = func(storer.Command) error { return errLost }
		}),
		Entry("at an entry that is full", "entry_limit", func(e *entry) {
			hold, _ := gate()
			began, begin := gate()
			dispatch := c.dispatch
			c.dispatch = func(conn *messenger.Conn, d messenger.Dispatch) error {
				c.dispatched.Add(-1)
				begin()
				<-hold
				return dispatch(conn, d)
			}
			go func() {
				defer GinkgoRecover()
				e.book("other", "{}")
			}()
			<-began
		}),
		Entry("at an entry that is stopping", "stopping", func(e *entry) {
			Expect(e.Drain(GinkgoT().Context())).To(Succeed())
		}),
	)

	// Guards against Unknown for callers with keys during each change of the control
	// leader: the entry's lease expires while there is no leader, and a call with a key
	// was refused at once.
	It("makes a call with a key wait for the control hosts, and refuses one without at once", func() {
		w.put(storer.KindPriorityRule, "town", "urgent", storer.PriorityRuleSpec{Key: "desk", Priority: 1})
		w.control.lost.Store(true)
		e := w.entry(nil)
		unkeyed := e.call(http.MethodPost, "/services/booking/presses/7", "{}")
		Expect(unkeyed.body).To(ContainSubstring("configuration_lease_lost"))
		Expect(unkeyed.outcome()).To(Equal("NotRun"))
		answered := make(chan answer, 1)
		go func() {
			defer GinkgoRecover()
			answered <- e.book("b-1", "{}")
		}()
		Consistently(answered).ShouldNot(Receive())
		w.control.lost.Store(false)
		Expect((<-answered).StatusCode).To(Equal(201))
	})

	// Guards against taking an unsettled claim for a free one: an entry claims,
	// dispatches, and is lost before it settles the claim; the caller retries through
	// another entry, and the booking would be made twice. Package claimer defines how
	// long the claim counts as in progress.
	It("runs nothing under a claim whose entry was lost", func() {
		w.control.before = func(command storer.Command) error {
			if _, ok := command.(storer.SettleClaim); ok {
				return errLost
			}
			return nil
		}
		Expect(w.entry(nil).book("b-1", "{}").StatusCode).To(Equal(201))
		again := w.entry(nil).book("b-1", "{}")
		Expect(again.StatusCode).To(Equal(http.StatusConflict))
		Expect(again.outcome()).To(Equal("Unknown"))
		Expect(again.body).To(ContainSubstring("in_progress"))
		Expect(c.dispatched.Load()).To(Equal(int64(1)))
	})

	It("does not run a call again that may have run, and returns Unknown", func() {
		c.dispatch = func(conn *messenger.Conn, d messenger.Dispatch) error {
			send(conn, messenger.Piece{Request: d.Request, Attempt: d.Attempt, End: &messenger.End{Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonEngine}})
			return nil
		}
		e := w.entry(nil)
		a := e.book("b-1", "{}")
		Expect(a.StatusCode).To(Equal(http.StatusBadGateway))
		Expect(a.outcome()).To(Equal("Unknown"))
		Expect(a.Header.Get("X-Should-Retry")).To(Equal("false"))
		Eventually(func() storer.ClaimState { return w.control.claim("b-1") }).Should(Equal(storer.ClaimStateUnknown))
		again := e.book("b-1", "{}")
		Expect(again.StatusCode).To(Equal(http.StatusConflict))
		Expect(again.outcome()).To(Equal("Unknown"))
		Expect(c.dispatched.Load()).To(Equal(int64(1)))
	})

	// Guards against a chain-of-title review that can never be completed: the caller
	// leaves, and cancelling the work halfway would end the claim as Unknown for good.
	It("finishes a claimed call whose caller has left, for its retry", func() {
		started, start := gate()
		hold, release := gate()
		inner := c.dispatch
		c.dispatch = func(conn *messenger.Conn, d messenger.Dispatch) error {
			start()
			<-hold
			return inner(conn, d)
		}
		e := w.entry(nil)
		go func() {
			<-started
			release()
		}()
		client := &http.Client{Timeout: 50 * time.Millisecond}
		r, err := http.NewRequestWithContext(GinkgoT().Context(), http.MethodPost, e.url+"/services/booking/presses/7", http.NoBody)
		Expect(err).NotTo(HaveOccurred())
		r.Header.Set("Authorization", "Bearer "+bearer)
		r.Header.Set("Idempotency-Key", "b-1")
		if got, err := client.Do(r); err == nil {
			Expect(got.Body.Close()).To(Succeed())
		}
		Eventually(func() storer.ClaimState { return w.control.claim("b-1") }).Should(Equal(storer.ClaimStateDone))
		Expect(e.book("b-1", "").StatusCode).To(Equal(201))
		Expect(c.dispatched.Load()).To(Equal(int64(1)))
		Expect(c.cancelled.Load()).To(BeZero())
	})

	It("claims only calls that the operators did not declare idempotent", func() {
		e := w.entry(nil)
		Expect(e.call(http.MethodGet, "/services/booking/presses/7", "", "Idempotency-Key", "g").StatusCode).To(Equal(201))
		Expect(e.call(http.MethodPost, "/services/booking/lookup/9?x=1", "{}", "Idempotency-Key", "l").StatusCode).To(Equal(201))
		Expect(w.control.claim("g")).To(Equal(storer.ClaimState(-1)))
		Expect(w.control.claim("l")).To(Equal(storer.ClaimState(-1)))
		Expect((<-c.bodies).Path).To(Equal("/presses/7"))
		Expect((<-c.bodies).Path).To(Equal("/lookup/9?x=1"))
		e.call(http.MethodPost, "/services/booking/lookupandbook", "{}", "Idempotency-Key", "n")
		Expect(w.control.claim("n")).NotTo(Equal(storer.ClaimState(-1)), "a prefix consists of whole segments")
	})
})
