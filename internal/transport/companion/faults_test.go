package companion

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/standin/generator"
	"marigoldpoint.example/marigoldpoint/internal/transport/streamer"
)

// slow makes answers last long enough to inject a fault in mid-stream.
var slow = generator.Settings{TimeScale: 0.5}

// waitForText waits until a part of the answer has arrived.
func (l *fakeLink) waitForText(request string) {
	GinkgoHelper()
	Eventually(func() string { return l.bytes(request) }).WithTimeout(testTimeout).ShouldNot(BeEmpty())
}

var _ = Describe("A companion under faults", func() {
	It("attaches a repeated dispatch to the answer instead of running it again", func() {
		// Guards against a chain-of-title review that runs twice. The dispatch is accepted,
		// the connection fails before the entry knows, and the entry repeats the dispatch
		// of the same attempt on a new connection. Each message was treated as a new
		// request.
		b := newBench(slow)
		d := b.call("r1", "w/a@1", 30)
		d.Idempotent = false
		silent := newLink(b.companion)
		silent.maxPieces = 2
		silent.send(d)
		silent.waitForText("r1")
		l := newLink(b.companion)
		l.send(d)
		Expect(l.wait("r1").Outcome).To(Equal(messenger.OutcomeCompleted))
		Expect(b.engine.Record().Runs).To(HaveLen(1))
		d.Attempt = 2
		Expect(l.refused(d).Reason).To(Equal(messenger.ReasonOutcomeUnknown))
	})

	It("resumes an answer on a new connection at its offset", func() {
		// Guards against an answer that lacks its middle, or repeats it. The connection
		// goes silent for good in mid-stream, and the entry resumes on another one. The
		// offset was counted in pieces sent instead of bytes received.
		b := newBench(slow)
		silent := newLink(b.companion)
		silent.maxPieces = 3
		silent.send(b.call("r1", "w/a@1", 30))
		silent.waitForText("r1")
		l := newLink(b.companion)
		id := streamer.ID{Request: "r1", Attempt: 1}
		l.calls[id] = silent.calls[id]
		rest := messenger.Resume{Request: "r1", Attempt: 1, Offset: int64(len(silent.bytes("r1")))}
		if _, refusal := b.companion.resume(l, rest); refusal != nil {
			Fail(refusal.Error())
		}
		Expect(l.wait("r1").Outcome).To(Equal(messenger.OutcomeCompleted))
		Expect(l.text("r1")).To(Equal(generator.Expected("w/a@1", "r1", 30)))
	})

	It("reports correct outcomes when the engine restarts empty in mid-stream", func() {
		// Guards against a truncated answer that counts as complete, and a review that runs
		// twice. The engine restarts while one answer has begun and another, idempotent and
		// not streamed, has produced nothing yet. All failures were treated alike.
		b := newBench(slow)
		l := newLink(b.companion)
		begun := b.call("begun", "w/a@1", 60)
		begun.Idempotent = false
		l.send(begun)
		l.waitForText("begun")
		whole := b.call("whole", "w/a@1", 60)
		whole.Stream = false
		l.send(whole)
		Eventually(func() int { return len(b.engine.Record().Runs) }).WithTimeout(testTimeout).Should(Equal(2))
		b.engine.Restart()
		Expect(l.wait("begun").Outcome).To(Equal(messenger.OutcomeUnknown))
		Expect(l.wait("whole").Outcome).To(Equal(messenger.OutcomeCompleted), l.wait("whole").Detail)
		Expect(b.engine.Record().Loads).To(Equal(2))
		var ran int
		for _, r := range b.engine.Record().Runs {
			if r.Key == "begun" {
				ran++
			}
		}
		Expect(ran).To(Equal(1))
	})

	It("reports the requests during which its engine ended", func() {
		// Guards against a request that crashes engine after engine without being found. An
		// engine ends during a request, and its companion runs the request again or reports
		// that it may have run. The end of the request did not mention the end of the
		// engine.
		b := newBench(slow)
		l := newLink(b.companion)
		incarnation := b.companion.engine.Incarnation
		l.send(b.call("long", "w/a@1", 5000))
		l.waitForText("long")
		b.engine.Inject(generator.Faults{Restart: true})
		end := l.wait("long")
		Expect(end.Outcome).To(Equal(messenger.OutcomeUnknown))
		Expect(end.EndedLives).To(Equal([]string{incarnation}))
		l.send(b.call("short", "w/a@1", 5))
		Expect(l.wait("short").EndedLives).To(BeEmpty())
	})

	It("refuses requests at once, as not run, while loads keep failing", func() {
		// Guards against requests for a broken adapter that each wait for a failing load of
		// their own, because a failed load was not remembered.
		b := newBench(generator.Settings{Faults: generator.Faults{LoadFailure: 1}})
		l := newLink(b.companion)
		l.send(b.call("r1", "w/a@1", 2))
		end := l.wait("r1")
		Expect(end.Outcome).To(Equal(messenger.OutcomeNotRun))
		Expect(end.Reason).To(Equal(messenger.ReasonLoadFailed))
		Expect(end.RetryAfterMillis).To(BeNumerically(">", 0))
		Expect(l.refused(b.call("r2", "w/a@1", 2)).Reason).To(Equal(messenger.ReasonLoadFailed))
		b.engine.Inject(generator.Faults{})
		Eventually(func() bool {
			r := fmt.Sprint("again", time.Now().UnixNano())
			_, refusal := b.companion.dispatch(l, b.call(r, "w/a@1", 2))
			return refusal == nil && l.wait(r).Outcome == messenger.OutcomeCompleted
		}).WithTimeout(testTimeout).Should(BeTrue())
	})

	It("adopts a running engine without unloading adapters in use", func() {
		// Guards against a review that is interrupted when the companion of its engine
		// restarts. The companion dies, the engine keeps running its request for a grace
		// period, and the new companion's first request needs the only slot. The new
		// companion assumed the slots to be free.
		s := slow
		s.Slots = 1
		s.StreamGrace = 300 * time.Millisecond
		b := newBench(s)
		l := newLink(b.companion)
		l.send(b.call("old", "w/a@1", 5000))
		l.waitForText("old")
		old := b.companion
		next := b.start(false)
		b.companion = next
		m := newLink(next)
		m.send(b.call("new", "w/b@1", 5))
		Expect(old.Close()).To(Succeed())
		Expect(m.wait("new").Outcome).To(Equal(messenger.OutcomeCompleted))
		Expect(b.engine.Record().UnloadsInUse).To(BeZero())
		// The answer in the dead companion's buffer is lost. The new companion replies that
		// it has never seen the request, with another incarnation, which makes the outcome
		// unknown and prevents a second run.
		_, refusal := next.resume(m, messenger.Resume{Request: "old", Attempt: 1})
		Expect(refusal.Reason).To(Equal(messenger.ReasonNeverSeen))
		Expect(refusal.Detail).To(And(Equal(next.Incarnation()), Not(Equal(old.Incarnation()))))
		Expect(m.refused(b.call("old", "w/a@1", 5000)).Reason).To(Equal(messenger.ReasonNeverSeen))
	})

	It("stops sending orders with an old fencing number once the engine has seen a higher one", func() {
		// Guards against the loss of adapters that a new companion has just loaded. A
		// companion is cut off and replaced, comes back and sends orders again; the engine
		// could not tell which companion was the later one.
		b := newBench(generator.Settings{ChecksFencing: true, Slots: 1})
		l := newLink(b.companion)
		old := b.companion
		next := b.start(true)
		b.companion = next
		m := newLink(next)
		m.send(b.call("r1", "w/a@1", 2))
		Expect(m.wait("r1").Outcome).To(Equal(messenger.OutcomeCompleted))
		d := b.call("r2", "w/b@1", 2)
		d.Epoch = old.epoch()
		l.send(d)
		Expect(l.wait("r2").Outcome).To(Equal(messenger.OutcomeNotRun))
		Expect(b.engine.Record().StaleOrders).To(BeZero())
		Expect(old.Ready()).To(BeFalse())
		Expect(next.Ready()).To(BeTrue())
	})

	It("passes a cancellation on to the engine and frees the slot", func() {
		b := newBench(slow)
		l := newLink(b.companion)
		l.send(b.call("r1", "w/a@1", 5000))
		l.waitForText("r1")
		b.companion.cancelJob(messenger.Cancel{Request: "r1", Attempt: 1})
		Expect(l.wait("r1").Reason).To(Equal(messenger.ReasonCancelled))
		Expect(b.engine.Record().Runs[0].Outcome).To(Equal(generator.Cancelled))
		// A cancellation that overtakes its dispatch prevents it from running.
		b.companion.cancelJob(messenger.Cancel{Request: "r2", Attempt: 1})
		Expect(l.refused(b.call("r2", "w/a@1", 5)).Reason).To(Equal(messenger.ReasonNeverSeen))
	})

	It("keeps the pin of an ended request until the engine has stopped running it", func() {
		// Guards against an engine that fails requests in mid-answer after an eviction. The
		// engine hangs, a request goes silent and ends as unknown, another adapter needs
		// the slot, and the engine resumes and runs both. The pin was released at the end
		// of the request instead of the end of the engine's work.
		s := slow
		s.Slots = 1
		b := newBench(s)
		l := newLink(b.companion)
		held := b.call("held", "w/a@1", 400)
		held.Idempotent = false
		l.send(held)
		l.waitForText("held")
		b.engine.Inject(generator.Faults{Frozen: true})
		Expect(l.wait("held").Outcome).To(Equal(messenger.OutcomeUnknown))
		l.send(b.call("next", "w/b@1", 5))
		Expect(b.companion.pins("w/a@1")).To(Equal(1))
		b.engine.Inject(generator.Faults{})
		Expect(l.wait("next").Outcome).To(Equal(messenger.OutcomeCompleted))
		Expect(b.engine.Record().UnloadsInUse).To(BeZero())
	})

	It("loads at the rate of its static share without a control host", func() {
		b := newBench(generator.Settings{})
		b.control.lost = true
		l := newLink(b.companion)
		for i := range 4 {
			l.send(b.call(fmt.Sprint("r", i), fmt.Sprintf("w/a@%d", i), 2))
		}
		for i := range 4 {
			Expect(l.wait(fmt.Sprint("r", i)).Outcome).To(Equal(messenger.OutcomeCompleted))
		}
	})

	It("joins again when its membership is void", func() {
		b := newBench(generator.Settings{})
		before := b.companion.epoch()
		b.control.membershipEnd("atl-a-1", before)
		Eventually(b.companion.epoch).WithTimeout(testTimeout).Should(BeNumerically(">", before))
	})

	It("reports correct outcomes under many concurrent faults", func() {
		// Many workspaces, cold adapters, cancellations, interrupted streams, failing loads
		// and two restarts of the engine at once, checked against the engine's own record.
		s := generator.Settings{Slots: 3, MaxBatch: 8, StreamGrace: 100 * time.Millisecond}
		b := newBench(s)
		l := newLink(b.companion)
		random := rand.New(rand.NewPCG(3, 3))
		const requests = 240
		sent, left := map[string]messenger.Dispatch{}, map[string]bool{}
		for i := range requests {
			request := fmt.Sprint("s", i)
			d := b.call(request, fmt.Sprintf("w%d/a%d@1", random.IntN(4), random.IntN(4)), 3+random.IntN(12))
			d.Idempotent = random.IntN(2) == 0
			d.Stream = random.IntN(2) == 0
			d.Priority = random.IntN(10)
			if _, refusal := b.companion.dispatch(l, d); refusal == nil {
				sent[request] = d
			}
			if random.IntN(8) == 0 {
				left[request] = true
				b.companion.cancelJob(messenger.Cancel{Request: request, Attempt: 1})
			}
			if i%80 == 40 {
				Eventually(func() int { return b.companion.Load().Queued }).WithTimeout(testTimeout).Should(BeNumerically("<", 20))
				b.engine.Inject(generator.Faults{FailLoads: 1, DropStreams: 2, DropAfter: 1, Restart: i > 80})
			}
		}
		runs := map[string]int{}
		for request := range sent {
			if left[request] {
				l.waitCancelled(request)
			} else {
				l.wait(request)
			}
		}
		for _, r := range b.engine.Record().Runs {
			if !r.Started.IsZero() {
				runs[r.Request]++
			}
		}
		completed := 0
		for request, d := range sent {
			end := l.end(request, 1)
			if end == nil {
				Expect(left[request]).To(BeTrue(), request)
				end = b.companion.buffer.Lookup(streamer.ID{Request: request, Attempt: 1}).Ended()
				Expect(end.Outcome).To(Equal(messenger.OutcomeCompleted), "the link must get any other end")
				continue
			}
			ran := runs[request+"-1-1"] + runs[request+"-1-2"] + runs[request+"-1-3"]
			Expect(l.calls[streamer.ID{Request: request, Attempt: 1}].err).NotTo(HaveOccurred())
			switch end.Outcome {
			case messenger.OutcomeCompleted:
				completed++
				body := generator.Expected(d.Version, request, tokensOf(d))
				Expect(l.text(request)).To(Equal(body))
			case messenger.OutcomeNotRun:
				Expect(ran).To(BeZero(), "%s ended as not run: %+v", request, end)
			default:
			}
			if !d.Idempotent {
				Expect(ran).To(BeNumerically("<=", 1), request)
			}
		}
		Expect(completed).To(BeNumerically(">", requests/2))
		Expect(b.engine.Record().UnloadsInUse).To(BeZero())
		Expect(b.companion.Drain(context.Background())).To(Succeed())
	})
})
