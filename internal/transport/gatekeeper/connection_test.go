package gatekeeper_test

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

func refuse(reason messenger.Reason, detail string) error {
	return messenger.NewRefusal(reason, detail)
}

var _ = Describe("Connections", func() {
	// Symptom: a caller waits for the rest of an answer until its deadline,
	// while new requests to the same backend server are served.
	// Sequence: half of a stream has come; the connection dies; the companion
	// has the rest. Cause to prevent: waiting on a connection that is gone, or
	// running the request again, which would give another answer's second half.
	It("resumes a broken stream at its offset on a new connection", func() {
		c := newCompanion("engine-1")
		c.dispatch = func(conn *messenger.Conn, d messenger.Dispatch) error {
			send(conn, streamed(d.Request, d.Attempt, "one", "two", "three")[:2]...)
			go conn.Close()
			return nil
		}
		var offset atomic.Int64
		c.resume = func(conn *messenger.Conn, r messenger.Resume) error {
			offset.Store(r.Offset)
			all := streamed(r.Request, r.Attempt, "one", "two", "three")
			for _, p := range all {
				if p.Offset >= r.Offset {
					send(conn, p)
				}
			}
			return nil
		}
		a := newWorld(c).entry(nil).chat(streamBody)
		Expect(a.outcome()).To(Equal("Completed"))
		Expect(a.body).To(And(ContainSubstring("one"), ContainSubstring("two"), ContainSubstring("three"), HaveSuffix("Completed\n\n")))
		Expect(c.dispatched.Load()).To(Equal(int64(1)))
	})

	// Symptom: a stream of which half has come is run again elsewhere, or ends as
	// Unknown where there is no other.
	// Sequence: pieces come before the dispatch is answered; the connection dies
	// in between; the first try to resume fails too.
	// Cause to prevent: judging the loss before taking what came.
	It("takes what came before a dispatch whose answer was lost", func() {
		c := newCompanion("engine-1")
		e := newWorld(c).entry(nil)
		lose := func(conn *messenger.Conn) {
			go conn.Close()
			<-conn.Done()
		}
		c.dispatch = func(conn *messenger.Conn, d messenger.Dispatch) error {
			e.pieces.Deliver(streamed(d.Request, d.Attempt, "one", "two")[0])
			lose(conn)
			return nil
		}
		var resumes, offset atomic.Int64
		c.resume = func(conn *messenger.Conn, r messenger.Resume) error {
			offset.Store(r.Offset)
			if resumes.Add(1) == 1 {
				lose(conn)
				return nil
			}
			send(conn, streamed(r.Request, r.Attempt, "one", "two")[1:]...)
			return nil
		}
		a := e.chat(streamBody)
		Expect(a.outcome()).To(Equal("Completed"), a.body)
		Expect(a.body).To(And(ContainSubstring("one"), ContainSubstring("two")))
		Expect(resumes.Load()).To(Equal(int64(2)))
		Expect(offset.Load()).To(BeNumerically(">", 0))
	})

	// Symptom: a booking hangs although the service answered.
	// Sequence: something between entry and companion loses track of the
	// connection with the request in it; both ends keep it open for good; new
	// connections work. Cause to prevent: no one notices the silence. Both twice:
	// the second connection goes silent too.
	It("asks by id for a request on a connection that went silent for good", func() {
		c := newCompanion("service-1")
		c.dispatch = func(*messenger.Conn, messenger.Dispatch) error {
			c.forget()
			return nil
		}
		var resumes atomic.Int64
		c.resume = func(conn *messenger.Conn, r messenger.Resume) error {
			if resumes.Add(1) == 1 {
				c.forget()
				return nil
			}
			p := messenger.Piece{
				Request: r.Request, Attempt: r.Attempt, Data: []byte("booked"),
				Head: &messenger.Head{Status: 201}, End: &messenger.End{Outcome: messenger.OutcomeCompleted},
			}
			send(conn, p)
			return nil
		}
		w := newWorld(c)
		a := w.entry(nil).ask(http.MethodPost, "/services/booking/presses/7", "{}", "Idempotency-Key", "b-1")
		Expect(a.StatusCode).To(Equal(201))
		Expect(a.body).To(Equal("booked"))
		Expect(a.outcome()).To(Equal("Completed"))
		Expect(c.dispatched.Load()).To(Equal(int64(1)), "sent once")
		Eventually(func() storer.ClaimState { return w.control.claim("b-1") }).Should(Equal(storer.ClaimStateDone))
	})

	// Symptom: a request is said not to have run, and ran; or is run twice.
	// Sequence: the dispatch and the companion's refusal cross the loss of the
	// connection. The companion that is asked by id never saw it, and bars it.
	// Cause to prevent: taking a broken connection for a refusal.
	DescribeTable("judges a dispatch whose answer was lost",
		func(reason messenger.Reason, detail, outcome string, dispatches int) {
			c := newCompanion("service-1")
			c.dispatch = func(conn *messenger.Conn, d messenger.Dispatch) error {
				if d.Attempt > 1 {
					return refuse(messenger.ReasonStopping, "leaving")
				}
				go conn.Close()
				<-conn.Done()
				return nil
			}
			c.resume = func(*messenger.Conn, messenger.Resume) error { return refuse(reason, detail) }
			w := newWorld(c)
			a := w.entry(nil).ask(http.MethodPost, "/services/booking/presses/7", "{}", "Idempotency-Key", "b-1")
			Expect(a.outcome()).To(Equal(outcome), a.body)
			Expect(c.dispatched.Load()).To(BeNumerically(">=", dispatches))
			state := storer.ClaimStateReleased
			if outcome == "Unknown" {
				state = storer.ClaimStateUnknown
				Expect(c.dispatched.Load()).To(Equal(int64(1)))
			}
			Eventually(func() storer.ClaimState { return w.control.claim("b-1") }).Should(Equal(state))
		},
		Entry("never seen by the life it was sent to", messenger.ReasonNeverSeen, life, "NotRun", 2),
		Entry("never seen by a later life", messenger.ReasonNeverSeen, "second-life", "Unknown", 1),
		Entry("no longer held", messenger.ReasonCompacted, "", "Unknown", 1),
	)

	It("takes a request elsewhere that was refused, and says NotRun when all refuse", func() {
		one, two := newCompanion("engine-1"), newCompanion("engine-2")
		refusing := func(*messenger.Conn, messenger.Dispatch) error {
			return refuse(messenger.ReasonOverloaded, "queue is full")
		}
		one.dispatch = refusing
		w := newWorld(one, two)
		e := w.entry(nil)
		for range 4 {
			Expect(e.chat(chatBody).StatusCode).To(Equal(http.StatusOK))
		}
		two.dispatch = refusing
		a := e.chat(chatBody)
		Expect(a.StatusCode).To(Equal(http.StatusTooManyRequests))
		Expect(a.outcome()).To(Equal("NotRun"))
		Expect(a.Header.Get("Retry-After")).NotTo(BeEmpty())
	})

	// Symptom: a chat fails although nothing of it was seen and others could run it.
	// Sequence: the companion is lost with the request in it, before a first byte.
	It("runs an idempotent call elsewhere when its companion is lost before a byte", func() {
		one, two := newCompanion("engine-1"), newCompanion("engine-2")
		var lost atomic.Pointer[companion]
		for _, c := range []*companion{one, two} {
			c.dispatch = func(conn *messenger.Conn, d messenger.Dispatch) error {
				if lost.CompareAndSwap(nil, c) {
					go c.server.Close()
					<-conn.Done()
					return nil
				}
				return greet(conn, d)
			}
		}
		a := newWorld(one, two).entry(nil).chat(chatBody)
		Expect(a.StatusCode).To(Equal(http.StatusOK), a.body)
		Expect(a.Header.Get("Marigoldpoint-Backend")).NotTo(Equal(lost.Load().name))
	})

	It("gives nothing more to a backend server that is leaving or can't be reached", func() {
		one, two := newCompanion("engine-1"), newCompanion("engine-2")
		w := newWorld(one, two)
		e := w.entry(nil)
		Expect(one.server.Close()).To(Succeed())
		for range 5 {
			Expect(e.chat(chatBody).Header.Get("Marigoldpoint-Backend")).To(Equal("engine-2"))
		}
		w.put(storer.KindMember, "", "engine-2", storer.MemberSpec{
			Address: two.server.Address(), BaseModel: "base", Incarnation: life, Epoch: 7, State: storer.MemberStateLeaving,
		})
		seen := two.dispatched.Load()
		Expect(e.chat(chatBody).outcome()).To(Equal("NotRun"))
		Expect(two.dispatched.Load()).To(Equal(seen))
	})

	// Symptom: engines generate for callers that have long left.
	It("carries a caller's leaving through, and the deadline", func() {
		c := newCompanion("engine-1")
		c.dispatch = func(conn *messenger.Conn, d messenger.Dispatch) error {
			send(conn, streamed(d.Request, d.Attempt, "one", "two")[0])
			return nil
		}
		e := newWorld(c).entry(nil)
		ctx, leave := context.WithCancel(context.Background())
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, e.url+"/v1/chat/completions", strings.NewReader(streamBody))
		Expect(err).NotTo(HaveOccurred())
		r.Header.Set("Authorization", "Bearer "+bearer)
		got, err := caller.Do(r)
		Expect(err).NotTo(HaveOccurred())
		leave()
		Expect(got.Body.Close()).To(Succeed())
		Eventually(c.cancelled.Load).Should(Equal(int64(1)))

		a := e.chat(chatBody, "Marigoldpoint-Deadline", "50ms")
		Expect(a.StatusCode).To(Equal(http.StatusGatewayTimeout))
		Expect(a.outcome()).To(Equal("Unknown"))
		Eventually(c.cancelled.Load).Should(Equal(int64(2)))
	})

	// Symptom: a planned stop cuts a stream. Sequence: the stop begins while a
	// stream runs.
	It("drains: refuses new requests, finishes those in progress", func() {
		c := newCompanion("engine-1")
		started, start := gate()
		finish, release := gate()
		c.dispatch = func(conn *messenger.Conn, d messenger.Dispatch) error {
			go func() {
				start()
				<-finish
				send(conn, streamed(d.Request, d.Attempt, "one", "two")...)
			}()
			return nil
		}
		e := newWorld(c).entry(nil)
		running, drained := make(chan answer, 1), make(chan error, 1)
		go func() {
			defer GinkgoRecover()
			running <- e.chat(streamBody)
		}()
		<-started
		go func() { drained <- e.Drain(context.Background()) }()
		Eventually(e.Ready).Should(BeFalse())
		refused := e.chat(chatBody)
		Expect(refused.outcome()).To(Equal("NotRun"))
		Expect(refused.body).To(ContainSubstring("stopping"))
		Expect(drained).NotTo(Receive())
		release()
		Expect((<-running).outcome()).To(Equal("Completed"))
		Eventually(drained).Should(Receive(BeNil()))
	})

	It("refuses what it can't know when the configuration lease is lost", func() {
		c := newCompanion("engine-1")
		w := newWorld(c)
		e := w.entry(nil)
		w.control.lost.Store(true)
		Expect(e.Ready()).To(BeFalse())
		Expect(e.chat(chatBody).StatusCode).To(Equal(http.StatusOK))
		a := e.chat(`{"model":"town/lyrics","messages":[{"role":"user","content":"?"}]}`)
		Expect(a.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(a.outcome()).To(Equal("NotRun"))
	})

	It("refuses a rush at once, with times to come back that are spread", func() {
		c := newCompanion("engine-1")
		hold, release := gate()
		c.dispatch = func(conn *messenger.Conn, d messenger.Dispatch) error {
			go func() {
				<-hold
				send(conn, whole(d.Request, d.Attempt, "late")...)
			}()
			return nil
		}
		e := newWorld(c).entry(func(s *configurer.EntrySettings) { s.MaxInFlight = 2 })
		held := make(chan answer, 2)
		for range 2 {
			go func() {
				defer GinkgoRecover()
				held <- e.chat(chatBody)
			}()
		}
		Eventually(c.dispatched.Load).Should(Equal(int64(2)))
		times := map[string]bool{}
		for range 8 {
			a := e.chat(chatBody)
			Expect(a.outcome()).To(Equal("NotRun"))
			times[a.Header.Get("Retry-After-Ms")] = true
		}
		Expect(len(times)).To(BeNumerically(">", 5))
		release()
		for range 2 {
			Expect((<-held).StatusCode).To(Equal(http.StatusOK))
		}
	})
})

// Symptom: one slow backend server makes a whole call late. Sequence: the first
// attempt gives nothing; a second one, beside it, answers; the first answers
// later. Cause to prevent: two answers mixed, or the slow one left running.
var _ = Describe("Hedges", func() {
	// The clock that stands still: a request waits for its deadline, seldom, on a
	// busy machine. Sequence: the hedge comes due; by the clock, read late or set
	// back, it is not yet due; it is asked for only once.
	DescribeTable("gives the answer that is whole first, and cancels the other", func(stopped bool) {
		slow, quick := newCompanion("engine-1"), newCompanion("engine-2")
		var first atomic.Pointer[companion]
		for _, c := range []*companion{slow, quick} {
			c.dispatch = func(conn *messenger.Conn, d messenger.Dispatch) error {
				if first.CompareAndSwap(nil, c) {
					pieces := whole(d.Request, d.Attempt, "slow")
					pieces[0].End = nil
					send(conn, pieces...)
					return nil
				}
				send(conn, whole(d.Request, d.Attempt, "quick")...)
				return nil
			}
		}
		w := newWorld(slow, quick)
		if at := time.Now(); stopped {
			w.now = func() time.Time { return at }
		}
		e := w.entry(func(s *configurer.EntrySettings) { s.HedgeAfter = configurer.Duration(time.Millisecond) })
		a := e.chat(chatBody, "Marigoldpoint-Deadline", "20s")
		Expect(a.outcome()).To(Equal("Completed"))
		Expect(a.body).To(And(ContainSubstring("quick"), Not(ContainSubstring("slow"))))
		Expect(a.Header.Get("Marigoldpoint-Backend")).NotTo(Equal(first.Load().name))
		Eventually(first.Load().cancelled.Load).Should(Equal(int64(1)))
		Expect(slow.dispatched.Load() + quick.dispatched.Load()).To(Equal(int64(2)))
	},
		Entry("by a clock that goes", false),
		Entry("by a clock that stands still", true),
	)
})
