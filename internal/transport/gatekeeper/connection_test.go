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
	// Guards against waiting on a lost connection until the deadline, and against
	// running the request again, which would append the second half of another answer:
	// half of a stream has arrived, the connection breaks, and the companion has the
	// rest.
	It("resumes a broken stream at its offset on a new connection", func() {
		c := newCompanion("engine-1")
		c.dispatch = func(conn *messenger.Conn, d messenger.Dispatch) error {
			send(conn, streamedAnswer(d.Request, d.Attempt, "one", "two", "three")[:2]...)
			go conn.Close()
			return nil
		}
		var offset atomic.Int64
		c.resume = func(conn *messenger.Conn, r messenger.Resume) error {
			offset.Store(r.Offset)
			all := streamedAnswer(r.Request, r.Attempt, "one", "two", "three")
			for _, p := range all {
				if p.Offset >= r.Offset {
					send(conn, p)
				}
			}
			return nil
		}
		a := newDeployment(c).entry(nil).chat(streamBody)
		Expect(a.outcome()).To(Equal("Completed"))
		Expect(a.body).To(And(ContainSubstring("one"), ContainSubstring("two"), ContainSubstring("three"), HaveSuffix("Completed\n\n")))
		Expect(c.dispatched.Load()).To(Equal(int64(1)))
	})

	// Guards against judging a loss before the received pieces are processed: pieces
	// arrive before the reply to the dispatch, the connection breaks in between, and
	// the first attempt to resume fails too. The half-received stream would run again
	// elsewhere, or end as Unknown if there is no other backend server.
	It("processes the pieces that arrived before the reply to a dispatch was lost", func() {
		c := newCompanion("engine-1")
		e := newDeployment(c).entry(nil)
		lose := func(conn *messenger.Conn) {
			go conn.Close()
			<-conn.Done()
		}
		c.dispatch = func(conn *messenger.Conn, d messenger.Dispatch) error {
			e.pieces.Deliver(streamedAnswer(d.Request, d.Attempt, "one", "two")[0])
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
			send(conn, streamedAnswer(r.Request, r.Attempt, "one", "two")[1:]...)
			return nil
		}
		a := e.chat(streamBody)
		Expect(a.outcome()).To(Equal("Completed"), a.body)
		Expect(a.body).To(And(ContainSubstring("one"), ContainSubstring("two")))
		Expect(resumes.Load()).To(Equal(int64(2)))
		Expect(offset.Load()).To(BeNumerically(">", 0))
	})

	// Guards against a booking that hangs although the service answered: a device
	// between entry and companion loses track of the connection that carries the
	// request, both ends keep it open, and only new connections work. It happens twice
	// here: the second connection goes silent too.
	It("asks by id for a request on a connection that went silent permanently", func() {
		c := newCompanion("service-1")
		c.dispatch = func(*messenger.Conn, messenger.Dispatch) error {
			c.dropConnections()
			return nil
		}
		var resumes atomic.Int64
		c.resume = func(conn *messenger.Conn, r messenger.Resume) error {
			if resumes.Add(1) == 1 {
				c.dropConnections()
				return nil
			}
			p := messenger.Piece{
				Request: r.Request, Attempt: r.Attempt, Data: []byte("booked"),
				Head: &messenger.Head{Status: 201}, End: &messenger.End{Outcome: messenger.OutcomeCompleted},
			}
			send(conn, p)
			return nil
		}
		w := newDeployment(c)
		a := w.entry(nil).call(http.MethodPost, "/services/booking/presses/7", "{}", "Idempotency-Key", "b-1")
		Expect(a.StatusCode).To(Equal(201))
		Expect(a.body).To(Equal("booked"))
		Expect(a.outcome()).To(Equal("Completed"))
		Expect(c.dispatched.Load()).To(Equal(int64(1)), "sent once")
		Eventually(func() storer.ClaimState { return w.control.claim("b-1") }).Should(Equal(storer.ClaimStateDone))
	})

	// Guards against taking a broken connection for a refusal: the dispatch and the
	// companion's refusal cross the loss of the connection. The companion that is asked
	// by id never saw the request, and bars it. Otherwise a request would be reported
	// as not run although it ran, or run twice.
	DescribeTable("determines the outcome of a dispatch whose reply was lost",
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
			w := newDeployment(c)
			a := w.entry(nil).call(http.MethodPost, "/services/booking/presses/7", "{}", "Idempotency-Key", "b-1")
			Expect(a.outcome()).To(Equal(outcome), a.body)
			Expect(c.dispatched.Load()).To(BeNumerically(">=", dispatches))
			state := storer.ClaimStateReleased
			if outcome == "Unknown" {
				state = storer.ClaimStateUnknown
				Expect(c.dispatched.Load()).To(Equal(int64(1)))
			}
			Eventually(func() storer.ClaimState { return w.control.claim("b-1") }).Should(Equal(state))
		},
		Entry("never seen by the incarnation it was sent to", messenger.ReasonNeverSeen, companionIncarnation, "NotRun", 2),
		Entry("never seen by a later incarnation", messenger.ReasonNeverSeen, "second-life", "Unknown", 1),
		Entry("no longer held", messenger.ReasonCompacted, "", "Unknown", 1),
	)

	It("retries a refused request elsewhere, and returns NotRun if all refuse", func() {
		one, two := newCompanion("engine-1"), newCompanion("engine-2")
		refusing := func(*messenger.Conn, messenger.Dispatch) error {
			return refuse(messenger.ReasonOverloaded, "queue is full")
		}
		one.dispatch = refusing
		w := newDeployment(one, two)
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

	// Guards against failing a chat that other backend servers could run: the companion
	// is lost with the request before the first byte of the answer.
	It("runs an idempotent call elsewhere if its companion is lost before the first byte", func() {
		one, two := newCompanion("engine-1"), newCompanion("engine-2")
		var lost atomic.Pointer[companion]
		for _, c := range []*companion{one, two} {
			c.dispatch = func(conn *messenger.Conn, d messenger.Dispatch) error {
				if lost.CompareAndSwap(nil, c) {
					go c.server.Close()
					<-conn.Done()
					return nil
				}
				return answerHello(conn, d)
			}
		}
		a := newDeployment(one, two).entry(nil).chat(chatBody)
		Expect(a.StatusCode).To(Equal(http.StatusOK), a.body)
		Expect(a.Header.Get("Marigoldpoint-Backend")).NotTo(Equal(lost.Load().name))
	})

	It("sends nothing to a backend server that is leaving or can't be reached", func() {
		one, two := newCompanion("engine-1"), newCompanion("engine-2")
		w := newDeployment(one, two)
		e := w.entry(nil)
		Expect(one.server.Close()).To(Succeed())
		for range 5 {
			Expect(e.chat(chatBody).Header.Get("Marigoldpoint-Backend")).To(Equal("engine-2"))
		}
		w.put(storer.KindMember, "", "engine-2", storer.MemberSpec{
			Address: two.server.Address(), BaseModel: "base", Incarnation: companionIncarnation, Epoch: 7, State: storer.MemberStateLeaving,
		})
		seen := two.dispatched.Load()
		Expect(e.chat(chatBody).outcome()).To(Equal("NotRun"))
		Expect(two.dispatched.Load()).To(Equal(seen))
	})

	// Guards against engines that generate for callers that have left.
	It("cancels the attempt when the caller leaves or the deadline passes", func() {
		c := newCompanion("engine-1")
		c.dispatch = func(conn *messenger.Conn, d messenger.Dispatch) error {
			send(conn, streamedAnswer(d.Request, d.Attempt, "one", "two")[0])
			return nil
		}
		e := newDeployment(c).entry(nil)
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

	// Guards against a planned stop that cuts a stream in progress.
	It("drains: refuses new requests, finishes those in progress", func() {
		c := newCompanion("engine-1")
		started, start := gate()
		finish, release := gate()
		c.dispatch = func(conn *messenger.Conn, d messenger.Dispatch) error {
			go func() {
				start()
				<-finish
				send(conn, streamedAnswer(d.Request, d.Attempt, "one", "two")...)
			}()
			return nil
		}
		e := newDeployment(c).entry(nil)
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

	It("refuses calls that depend on the configuration if its lease is lost", func() {
		c := newCompanion("engine-1")
		w := newDeployment(c)
		e := w.entry(nil)
		w.control.lost.Store(true)
		Expect(e.Ready()).To(BeFalse())
		Expect(e.chat(chatBody).StatusCode).To(Equal(http.StatusOK))
		a := e.chat(`{"model":"town/lyrics","messages":[{"role":"user","content":"?"}]}`)
		Expect(a.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(a.outcome()).To(Equal("NotRun"))
	})

	It("refuses a burst at once, with spread Retry-After times", func() {
		c := newCompanion("engine-1")
		hold, release := gate()
		c.dispatch = func(conn *messenger.Conn, d messenger.Dispatch) error {
			go func() {
				<-hold
				send(conn, wholeAnswer(d.Request, d.Attempt, "late")...)
			}()
			return nil
		}
		e := newDeployment(c).entry(func(s *configurer.EntrySettings) { s.MaxInFlight = 2 })
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

// Guards against one slow backend server that delays a call: the first attempt returns
// nothing, a second one answers, and the first answers later. The two answers must not
// be mixed, and the slow attempt must be cancelled.
var _ = Describe("Hedges", func() {
	// The stopped clock guards against a request that rarely, on a busy machine, waited
	// for its deadline: the hedge is due, but not yet by a clock that was read late or
	// set back, and it is requested only once.
	DescribeTable("returns the answer that completes first, and cancels the other", func(stopped bool) {
		slow, quick := newCompanion("engine-1"), newCompanion("engine-2")
		var first atomic.Pointer[companion]
		for _, c := range []*companion{slow, quick} {
			c.dispatch = func(conn *messenger.Conn, d messenger.Dispatch) error {
				if first.CompareAndSwap(nil, c) {
					pieces := wholeAnswer(d.Request, d.Attempt, "slow")
					pieces[0].End = nil
					send(conn, pieces...)
					return nil
				}
				send(conn, wholeAnswer(d.Request, d.Attempt, "quick")...)
				return nil
			}
		}
		w := newDeployment(slow, quick)
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
		Entry("with a running clock", false),
		Entry("with a stopped clock", true),
	)
})
