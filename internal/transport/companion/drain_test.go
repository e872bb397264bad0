package companion

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/standin/generator"
)

var _ = Describe("A companion that stops as planned", func() {
	// Symptom: a planned stop takes two minutes, or is given up as having cut
	// requests off, although nothing is in progress.
	// Events: a caller leaves; its entry cancels the attempt, and never
	// acknowledges an ending that it has no use for; the companion stops.
	// Cause: the drain waited for that acknowledgement until AnswerRetention.
	It("does not wait for answers whose attempts were cancelled", func() {
		b := newBench(generator.Settings{})
		l := newLink(b.companion)
		l.take = 1
		l.send(b.call("left", "w/a@1", 5000))
		l.streaming("left")
		b.companion.cancelWork(messenger.Cancel{Request: "left", Attempt: 1})
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		Expect(b.companion.Drain(ctx)).To(Succeed())
	})

	It("ends a membership whose join completes after the leave", func() {
		// Guards against a membership that keeps serving because its join was in progress during the leave.
		b := newBench(generator.Settings{})
		joins := b.control.joins.Load()
		b.control.joinGate = make(chan struct{})
		b.control.void("atl-a-1", b.companion.epoch())
		Eventually(b.control.joins.Load).WithTimeout(patience).Should(Equal(joins + 1))
		Expect(b.companion.Drain(context.Background())).To(Succeed())
		close(b.control.joinGate)
		Eventually(b.companion.epoch).WithTimeout(patience).Should(BeEquivalentTo(2))
		Eventually(func() []uint64 {
			b.control.mu.Lock()
			defer b.control.mu.Unlock()
			return b.control.endedEpochs
		}).WithTimeout(patience).Should(ContainElement(BeEquivalentTo(2)))
	})
})

var _ = Describe("A companion whose callers leave", func() {
	// Symptom: new streams slow down and stop; marigoldpoint_answer_buffer_bytes is
	// at its limit while few callers are there.
	// Events: callers leave in mid-stream; their entry takes and acknowledges
	// nothing more, and cancels the attempts.
	// Cause: bytes that were not acknowledged stayed until AnswerRetention.
	It("holds nothing of their answers", func() {
		b := newBench(slow)
		for _, request := range []string{"r1", "r2", "r3"} {
			l := newLink(b.companion)
			l.take = 1
			l.send(b.call(request, "w/a@1", 5000))
			l.streaming(request)
		}
		Expect(b.companion.buffer.Used()).To(BeNumerically(">", 0))
		for _, request := range []string{"r1", "r2", "r3"} {
			b.companion.cancelWork(messenger.Cancel{Request: request, Attempt: 1})
		}
		Expect(b.companion.buffer.Used()).To(BeZero())
		Eventually(func() int { return b.companion.Load().Running }).WithTimeout(patience).Should(BeZero())
		Expect(b.companion.buffer.Used()).To(BeZero())
	})
})
