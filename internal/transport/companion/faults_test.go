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

// slow makes answers last long enough for a fault in mid-stream.
var slow = generator.Settings{TimeScale: 0.5}

// streaming waits until some of the answer has arrived.
func (l *fakeLink) streaming(request string) {
	GinkgoHelper()
	Eventually(func() string { return l.bytes(request) }).WithTimeout(patience).ShouldNot(BeEmpty())
}

var _ = Describe("Under faults a companion", func() {
	It("attaches a second sending of an attempt instead of running it again", func() {
		// Symptom: a chain-of-title review runs twice.
		// Events: the dispatch is accepted; the connection breaks before the entry
		// knows; it sends the same attempt again on a new connection.
		// Cause: the companion took each message for a new request.
		b := newBench(slow)
		d := b.call("r1", "w/a@1", 30)
		d.Idempotent = false
		silent := newLink(b.companion)
		silent.take = 2
		silent.send(d)
		silent.streaming("r1")
		l := newLink(b.companion)
		l.send(d)
		Expect(l.wait("r1").Outcome).To(Equal(messenger.OutcomeCompleted))
		Expect(b.engine.Record().Runs).To(HaveLen(1))
		d.Attempt = 2
		Expect(l.refused(d).Reason).To(Equal(messenger.ReasonOutcomeUnknown))
	})

	It("gives the rest of an answer to a new connection at its offset", func() {
		// Symptom: an answer misses its middle, or repeats it.
		// Events: the connection goes silent for good in mid-stream; the entry asks
		// for the rest on another.
		// Cause: the rest was counted in pieces as sent, not in bytes as taken.
		b := newBench(slow)
		silent := newLink(b.companion)
		silent.take = 3
		silent.send(b.call("r1", "w/a@1", 30))
		silent.streaming("r1")
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

	It("tells the truth when the engine restarts empty in mid-stream", func() {
		// Symptom: a cut answer passes for whole, or a review runs twice.
		// Events: the engine restarts while one answer has begun and another,
		// idempotent and whole, has given nothing yet.
		// Cause: all failures were treated alike.
		b := newBench(slow)
		l := newLink(b.companion)
		begun := b.call("begun", "w/a@1", 60)
		begun.Idempotent = false
		l.send(begun)
		l.streaming("begun")
		whole := b.call("whole", "w/a@1", 60)
		whole.Stream = false
		l.send(whole)
		Eventually(func() int { return len(b.engine.Record().Runs) }).WithTimeout(patience).Should(Equal(2))
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

	It("tells under which requests its engine ended", func() {
		// Symptom: one caller's request ends engine after engine, and nobody knows which.
		// Events: an engine ends under a request; its companion runs that again, or tells
		// that it may have run.
		// Cause: the ending told nothing of the engine's end.
		b := newBench(slow)
		l := newLink(b.companion)
		life := b.companion.engine.Incarnation
		l.send(b.call("long", "w/a@1", 5000))
		l.streaming("long")
		b.engine.Inject(generator.Faults{Restart: true})
		end := l.wait("long")
		Expect(end.Outcome).To(Equal(messenger.OutcomeUnknown))
		Expect(end.EndedLives).To(Equal([]string{life}))
		l.send(b.call("short", "w/a@1", 5))
		Expect(l.wait("short").EndedLives).To(BeEmpty())
	})

	It("refuses early, as not run, while loads fail again and again", func() {
		// Symptom: each request for a broken adapter waits for its own failing load.
		// Events: the weights are broken; requests keep coming.
		// Cause: a failed load was forgotten at once.
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
		}).WithTimeout(patience).Should(BeTrue())
	})

	It("adopts a living engine without unloading what is in use", func() {
		// Symptom: a review is cut off when the companion beside its engine restarts.
		// Events: the companion dies; the engine goes on with its request for a
		// grace; the new companion's first request needs the only slot.
		// Cause: the new companion believed the slots to be free.
		s := slow
		s.Slots = 1
		s.StreamGrace = 300 * time.Millisecond
		b := newBench(s)
		l := newLink(b.companion)
		l.send(b.call("old", "w/a@1", 5000))
		l.streaming("old")
		old := b.companion
		next := b.start(false)
		b.companion = next
		m := newLink(next)
		m.send(b.call("new", "w/b@1", 5))
		Expect(old.Close()).To(Succeed())
		Expect(m.wait("new").Outcome).To(Equal(messenger.OutcomeCompleted))
		Expect(b.engine.Record().UnloadsInUse).To(BeZero())
		// The answer in the dead companion's buffer is lost: its entry hears from the
		// new one that it never saw the request, with another incarnation, which
		// makes the outcome unknown, and not a second run.
		_, refusal := next.resume(m, messenger.Resume{Request: "old", Attempt: 1})
		Expect(refusal.Reason).To(Equal(messenger.ReasonNeverSeen))
		Expect(refusal.Detail).To(And(Equal(next.Incarnation()), Not(Equal(old.Incarnation()))))
		Expect(m.refused(b.call("old", "w/a@1", 5000)).Reason).To(Equal(messenger.ReasonNeverSeen))
	})

	It("stops giving orders under an old number once the engine has seen a later one", func() {
		// Symptom: adapters vanish that a new companion has just loaded.
		// Events: a companion is cut off and replaced; it comes back and goes on.
		// Cause: nothing told the engine whose order is the later one.
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

	It("carries a cancellation to the engine and frees the slot", func() {
		b := newBench(slow)
		l := newLink(b.companion)
		l.send(b.call("r1", "w/a@1", 5000))
		l.streaming("r1")
		b.companion.cancelWork(messenger.Cancel{Request: "r1", Attempt: 1})
		Expect(l.wait("r1").Reason).To(Equal(messenger.ReasonCancelled))
		Expect(b.engine.Record().Runs[0].Outcome).To(Equal(generator.Cancelled))
		// A cancellation that overtakes its dispatch keeps it from running.
		b.companion.cancelWork(messenger.Cancel{Request: "r2", Attempt: 1})
		Expect(l.refused(b.call("r2", "w/a@1", 5)).Reason).To(Equal(messenger.ReasonNeverSeen))
	})

	It("holds the pin of a request that it gave up until the engine is done with it", func() {
		// Symptom: the engine fails requests in mid-answer after an eviction.
		// Events: the engine hangs; a request on it goes silent and ends as unknown;
		// another adapter needs the slot; the engine wakes up and goes on with both.
		// Cause: the pin ended with the request instead of with the engine's work.
		s := slow
		s.Slots = 1
		b := newBench(s)
		l := newLink(b.companion)
		held := b.call("held", "w/a@1", 400)
		held.Idempotent = false
		l.send(held)
		l.streaming("held")
		b.engine.Inject(generator.Faults{Frozen: true})
		Expect(l.wait("held").Outcome).To(Equal(messenger.OutcomeUnknown))
		l.send(b.call("next", "w/b@1", 5))
		Expect(b.companion.pins("w/a@1")).To(Equal(1))
		b.engine.Inject(generator.Faults{})
		Expect(l.wait("next").Outcome).To(Equal(messenger.OutcomeCompleted))
		Expect(b.engine.Record().UnloadsInUse).To(BeZero())
	})

	It("loads at its static share without a control host", func() {
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
		b.control.void("atl-a-1", before)
		Eventually(b.companion.epoch).WithTimeout(patience).Should(BeNumerically(">", before))
	})

	It("keeps its promises through a storm", func() {
		// Many workspaces, cold adapters, cancellations, cut streams, failing loads
		// and two restarts of the engine at once, checked against the engine's own
		// record.
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
				b.companion.cancelWork(messenger.Cancel{Request: request, Attempt: 1})
			}
			if i%80 == 40 {
				Eventually(func() int { return b.companion.Load().Queued }).WithTimeout(patience).Should(BeNumerically("<", 20))
				b.engine.Inject(generator.Faults{FailLoads: 1, DropStreams: 2, DropAfter: 1, Restart: i > 80})
			}
		}
		runs := map[string]int{}
		for request := range sent {
			if left[request] {
				l.waitLeft(request)
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
				Expect(end.Outcome).To(Equal(messenger.OutcomeCompleted), "any other ending is told whatever was dropped")
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
				Expect(ran).To(BeZero(), "%s was told not run: %+v", request, end)
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
