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

// booked is a service that counts what it ran and keeps its answers.
func booked(c *companion) {
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
	return e.ask(http.MethodPost, "/services/booking/presses/7", body, "Idempotency-Key", key)
}

var _ = Describe("Claims", func() {
	var (
		c *companion
		w *world
	)

	BeforeEach(func() {
		c = newCompanion("service-1")
		booked(c)
		w = newWorld(c)
	})

	// Symptom: a booking is made twice. Sequence: a caller resends through
	// another entry, before, while or after the first run.
	It("gives the kept answer to the same key through another entry", func() {
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
		// On a busy machine the connection may go silent meanwhile.
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

	// Symptom: a call is run twice, or never although it is free to run.
	// Sequence: Control commits the claim and the answer is lost, so that the
	// entry doesn't know whether it holds the claim.
	It("proposes again as the same holder when the claim's answer was lost", func() {
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

	// Symptom: a key can never be used again although nothing ran. Sequence: the
	// claim is committed, all its answers are lost until the deadline, so that
	// the entry refuses; nobody would release the claim. Whether another entry had
	// the claim before, the entry has not heard either, so that it can't say NotRun.
	It("says Unknown without a claim, and releases one that was committed unseen", func() {
		var claims atomic.Int64
		w.control.after = func(command storer.Command) error {
			if _, ok := command.(storer.ClaimCall); ok {
				claims.Add(1)
				return errLost
			}
			return nil
		}
		a := w.entry(nil).ask(http.MethodPost, "/services/booking/presses/7", "{}", "Idempotency-Key", "b-1", "Marigoldpoint-Deadline", "100ms")
		Expect(a.outcome()).To(Equal("Unknown"), a.body)
		Expect(a.body).To(ContainSubstring("claim_unavailable"))
		Expect(a.Header.Get("X-Should-Retry")).To(Equal("true"))
		Expect(claims.Load()).To(BeNumerically(">", 1))
		Eventually(func() storer.ClaimState { return w.control.claim("b-1") }).Should(Equal(storer.ClaimStateReleased))
		Expect(c.dispatched.Load()).To(BeZero())
	})

	// Symptom: a caller hears that nothing ran, books under another key, and has two
	// bookings. Sequence: a booking runs; its caller's connection breaks; the caller
	// sends it again, with its key, through an entry that can't ask whether the key
	// has run, or that refuses it before it asks.
	DescribeTable("says of a key that has run, and can't be asked after, that it may have",
		func(code string, spoil func(e *entry)) {
			settings := func(s *configurer.EntrySettings) { s.MaxInFlight = 1 }
			Expect(w.entry(nil).book("b-1", "{}").StatusCode).To(Equal(201))
			Eventually(func() storer.ClaimState { return w.control.claim("b-1") }).Should(Equal(storer.ClaimStateDone))
			e := w.entry(settings)
			spoil(e)
			again := e.ask(http.MethodPost, "/services/booking/presses/7", "{}", "Idempotency-Key", "b-1", "Marigoldpoint-Deadline", "100ms")
			Expect(again.body).To(ContainSubstring(code))
			Expect(again.outcome()).To(Equal("Unknown"), again.body)
			Expect(again.body).To(ContainSubstring(`"outcome":"Unknown"`))
			Expect(again.Header.Get("X-Should-Retry")).To(Equal("true"), "with its key it runs at most once")
			Expect(again.Header.Get("Retry-After")).NotTo(BeEmpty())
			Expect(c.dispatched.Load()).To(Equal(int64(1)))
			unkeyed := e.ask(http.MethodPost, "/services/booking/presses/7", "{}", "Marigoldpoint-Deadline", "100ms")
			Expect(unkeyed.body).To(ContainSubstring(code))
			Expect(unkeyed.outcome()).To(Equal("NotRun"), "a request without a key is this one alone")
		},
		Entry("by an entry without the control hosts, under a rule", "configuration_lease_lost", func(*entry) {
			w.put(storer.KindPriorityRule, "town", "urgent", storer.PriorityRuleSpec{Key: "desk", Priority: 1})
			w.control.lost.Store(true)
		}),
		Entry("where no claim is answered", "claim_unavailable", func(*entry) {
			w.control.before = func(storer.Command) error { return errLost }
		}),
		Entry("by an entry that is full", "entry_limit", func(e *entry) {
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
		Entry("by an entry that stops", "stopping", func(e *entry) {
			Expect(e.Drain(GinkgoT().Context())).To(Succeed())
		}),
	)

	// Symptom: callers with keys hear "unknown" in the seconds of each change of the
	// control leader. Sequence: the entry's lease runs out while no leader is there; a
	// call with a key comes. Cause: it was refused at once, with nobody to ask.
	It("waits for the control hosts with a key, and refuses what has none at once", func() {
		w.put(storer.KindPriorityRule, "town", "urgent", storer.PriorityRuleSpec{Key: "desk", Priority: 1})
		w.control.lost.Store(true)
		e := w.entry(nil)
		unkeyed := e.ask(http.MethodPost, "/services/booking/presses/7", "{}")
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

	// Symptom: a booking is made twice. Sequence: an entry has the claim committed,
	// dispatches, and is lost before it can settle the claim; the caller comes
	// back through another entry. Cause to prevent: taking an unsettled claim for
	// a free one. (How long it is told as in progress: see package claimer.)
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

	It("keeps what may have run from running again, and says so", func() {
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

	// Symptom: a caller whose connection broke half-way can never have its
	// chain-of-title review. Sequence: the caller leaves; its work is cancelled
	// half-way; the claim ends as Unknown for good.
	It("finishes a claimed call whose caller has left, for its return", func() {
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

	It("claims only what the operators didn't declare idempotent", func() {
		e := w.entry(nil)
		Expect(e.ask(http.MethodGet, "/services/booking/presses/7", "", "Idempotency-Key", "g").StatusCode).To(Equal(201))
		Expect(e.ask(http.MethodPost, "/services/booking/lookup/9?x=1", "{}", "Idempotency-Key", "l").StatusCode).To(Equal(201))
		Expect(w.control.claim("g")).To(Equal(storer.ClaimState(-1)))
		Expect(w.control.claim("l")).To(Equal(storer.ClaimState(-1)))
		Expect((<-c.bodies).Path).To(Equal("/presses/7"))
		Expect((<-c.bodies).Path).To(Equal("/lookup/9?x=1"))
		e.ask(http.MethodPost, "/services/booking/lookupandbook", "{}", "Idempotency-Key", "n")
		Expect(w.control.claim("n")).NotTo(Equal(storer.ClaimState(-1)), "a prefix ends at a segment")
	})
})
