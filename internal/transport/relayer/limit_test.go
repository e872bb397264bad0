package relayer_test

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/regulator"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

const limitOf2 = signed + "Limit: 2\r\n"

// reservations records the reservations at the leader and answers them.
type reservations struct {
	mu      sync.Mutex
	all     []regulator.Reserve
	answers map[string]regulator.Reserved
}

func (r *reservations) reserve(q regulator.Reserve) regulator.Reserved {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, q)
	return r.answers[q.Server]
}

func (r *reservations) received() []regulator.Reserve {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]regulator.Reserve(nil), r.all...)
}

// withLeader makes control hosts answer reservations by the backend server's name.
func (e *entry) withLeader(answers map[string]regulator.Reserved) *reservations {
	r := &reservations{answers: answers}
	e.control.mu.Lock()
	defer e.control.mu.Unlock()
	e.control.reserve = r.reserve
	return r
}

var _ = Describe("A backend server without a companion that limits requests", func() {
	ctx := context.Background()
	granted := regulator.Reserved{Granted: true}

	It("gets a call when the leader has scheduled it", func() {
		b := newBackend(text("200", limitOf2, "answer"))
		e := newEntry(runOnce, nil, b)
		leader := e.withLeader(map[string]regulator.Reserved{"b0": granted})
		Expect(e.call(ctx, nil).StatusCode).To(Equal(http.StatusOK))
		Expect(leader.received()).To(BeEmpty(), "before it has named a limit")
		Expect(e.call(ctx, nil).StatusCode).To(Equal(http.StatusOK))
		Expect(leader.received()).To(HaveLen(1))
		q := leader.received()[0]
		Expect(q.Server).To(Equal("b0"))
		Expect(q.Incarnation).To(Equal("i-0"))
		Expect(q.Rate).To(BeEquivalentTo(2))
		Expect(q.MaxWaitMillis).To(BeEquivalentTo(1000))
	})

	It("gets none that the leader has no turn for; the caller is refused at once", func() {
		b := newBackend(text("200", limitOf2, "answer"))
		e := newEntry(runOnce, nil, b)
		leader := e.withLeader(map[string]regulator.Reserved{"b0": {WaitMillis: 3000}})
		Expect(e.call(ctx, nil).StatusCode).To(Equal(http.StatusOK))
		for range 3 {
			refused := e.call(ctx, nil)
			Expect(refused.StatusCode).To(Equal(http.StatusServiceUnavailable))
			after, err := strconv.ParseFloat(refused.Header.Get("Retry-After"), 64)
			Expect(err).NotTo(HaveOccurred())
			Expect(after).To(And(BeNumerically(">", 2), BeNumerically("<", 4)))
		}
		Expect(runs(b)).To(Equal(1))
		Expect(leader.received()).To(HaveLen(1), "the wait is known after the first")
	})

	It("leaves its calls to others that have room", func() {
		b, other := newBackend(text("200", limitOf2, "answer")), newBackend(answersWell)
		e := newEntry(runOnce, nil, b, other)
		e.withLeader(map[string]regulator.Reserved{"b0": {WaitMillis: 3000}})
		for range 40 {
			Expect(e.call(ctx, nil).StatusCode).To(Equal(http.StatusOK))
		}
		Expect(runs(b)).To(BeNumerically("<=", 1))
	})

	// Guards against a limit that is broken by entries that no control host answers.
	It("gets no call while the leader is not reached", func() {
		b := newBackend(text("200", limitOf2, "answer"))
		e := newEntry(runOnce, nil, b)
		Expect(e.call(ctx, nil).StatusCode).To(Equal(http.StatusOK))
		refused := e.call(ctx, map[string]string{"Deadline": "1000"})
		Expect(refused.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(runs(b)).To(Equal(1))
	})

	It("gets the retries of a call by the same schedule", func() {
		b := newBackend(text("500", limitOf2, "failed"))
		e := newEntry(tracker.Route{Repeat: tracker.RepeatFreely, MaxAttempts: 3}, nil, b)
		leader := e.withLeader(map[string]regulator.Reserved{"b0": granted})
		e.call(ctx, nil)
		Expect(leader.received()).To(HaveLen(runs(b) - 1))
	})

	It("is not limited any more once an answer names no limit", func() {
		var mu sync.Mutex
		header := limitOf2
		b := newBackend(func(c net.Conn, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			text("200", header, "answer")(c, r)
		})
		e := newEntry(runOnce, nil, b)
		leader := e.withLeader(map[string]regulator.Reserved{"b0": granted})
		e.call(ctx, nil)
		mu.Lock()
		header = signed
		mu.Unlock()
		e.call(ctx, nil)
		Expect(leader.received()).To(HaveLen(1))
		e.call(ctx, nil)
		Expect(leader.received()).To(HaveLen(1))
		e.placer.SetScheduled([]regulator.ServerLimit{{Server: "b0", Incarnation: "i-0", Rate: 2}})
		e.call(ctx, nil)
		Eventually(leader.received).Should(HaveLen(3))
		Expect(leader.received()[1].Ended).To(BeFalse(), "the leader still lists the limit")
		Expect(leader.received()[2].Ended).To(BeTrue())
	})
})

var _ = Describe("An engine that limits requests", func() {
	ctx := context.Background()
	engine := &tracker.Engine{Models: []tracker.Model{{Name: "m"}}}
	withModel := map[string]string{"Model": "m"}

	It("is reported to its companion, and with each admission until it ends", func() {
		b := newBackend(text("200", limitOf2, "answer"))
		e := newEntry(runOnce, engine, b)
		leader := e.withLeader(nil)
		e.call(ctx, withModel)
		Eventually(func() []messenger.Limit {
			e.mu.Lock()
			defer e.mu.Unlock()
			return e.limits
		}).Should(ConsistOf(messenger.Limit{Request: "1", Incarnation: "i-0", Named: true, Rate: 2}))
		e.call(ctx, withModel)
		e.mu.Lock()
		defer e.mu.Unlock()
		Expect(e.admitted[0].Limit).To(BeNil())
		Expect(e.admitted[1].Limit).NotTo(BeNil())
		Expect(e.admitted[1].Limit.Rate).To(BeEquivalentTo(2))
		Expect(leader.received()).To(BeEmpty(), "the companion counts the calls")
	})

	It("gets no call that its companion refuses because of the limit", func() {
		b := newBackend(answersWell)
		e := newEntry(runOnce, engine, b)
		e.mu.Lock()
		e.admit = func(messenger.Admit) (messenger.Admitted, error) {
			r := messenger.NewRefusal(messenger.ReasonLimited, "")
			r.RetryAfterMillis = 30_000
			return messenger.Admitted{}, r
		}
		e.mu.Unlock()
		e.placer.ReportLimit(time.Now(), "s", placer.LimitState{Name: "b0", Incarnation: "i-0", Named: true, Rate: 1})
		refused := e.call(ctx, withModel)
		Expect(refused.StatusCode).To(Equal(http.StatusServiceUnavailable))
		after, err := strconv.ParseFloat(refused.Header.Get("Retry-After"), 64)
		Expect(err).NotTo(HaveOccurred())
		Expect(after).To(BeNumerically("~", 5, 1.25), "around the longest one")
		Expect(runs(b)).To(BeZero())
		e.mu.Lock()
		defer e.mu.Unlock()
		Expect(e.admitted).To(HaveLen(1), "refused at once, not tried until the deadline")
	})

	// Guards against a limit that is broken while the process that counts is restarted.
	It("gets calls by the leader's schedule, at half of the limit, while its companion is down", func() {
		b := newBackend(text("200", limitOf2, "answer"))
		e := newEntry(runOnce, engine, b)
		leader := e.withLeader(map[string]regulator.Reserved{"b0": {Granted: true}})
		e.call(ctx, withModel)
		e.setCompanion("b0", "127.0.0.1:1")
		e.call(ctx, withModel)
		Expect(leader.received()).To(HaveLen(1))
		Expect(leader.received()[0].Rate).To(BeEquivalentTo(1))
		Expect(runs(b)).To(Equal(2))
	})
})
