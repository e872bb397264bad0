package companion

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/standin/generator"
)

var _ = Describe("A companion during a planned stop", func() {
	// Guards against a planned stop that takes two minutes, or is reported as having
	// interrupted requests, although none is in progress. After a caller has left, its
	// entry cancels the attempt and never acknowledges the end; the drain waited for that
	// acknowledgement until AnswerRetention.
	It("does not wait for answers whose attempts were cancelled", func() {
		b := newBench(generator.Settings{})
		l := newLink(b.companion)
		l.maxPieces = 1
		l.send(b.call("left", "w/a@1", 5000))
		l.waitForText("left")
		b.companion.cancelJob(messenger.Cancel{Request: "left", Attempt: 1})
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		Expect(b.companion.Drain(ctx)).To(Succeed())
	})

	It("ends a membership whose join completes after the leave", func() {
		// Guards against a membership that keeps serving because its join was in progress
		// during the leave.
		b := newBench(generator.Settings{})
		joins := b.control.joins.Load()
		b.control.joinGate = make(chan struct{})
		b.control.membershipEnd("atl-a-1", b.companion.epoch())
		Eventually(b.control.joins.Load).WithTimeout(testTimeout).Should(Equal(joins + 1))
		Expect(b.companion.Drain(context.Background())).To(Succeed())
		close(b.control.joinGate)
		Eventually(b.companion.epoch).WithTimeout(testTimeout).Should(BeEquivalentTo(2))
		Eventually(func() []uint64 {
			b.control.mu.Lock()
			defer b.control.mu.Unlock()
			return b.control.endedEpochs
		}).WithTimeout(testTimeout).Should(ContainElement(BeEquivalentTo(2)))
	})
})

var _ = Describe("A companion whose callers leave", func() {
	// Guards against streams that slow down and stop while
	// marigoldpoint_answer_buffer_bytes is at its limit with few callers. After callers
	// have left in mid-stream, their entry acknowledges no more bytes and cancels the
	// attempts; unacknowledged bytes were kept until AnswerRetention.
	It("frees the buffer of their answers", func() {
		b := newBench(slow)
		for _, request := range []string{"r1", "r2", "r3"} {
			l := newLink(b.companion)
			l.maxPieces = 1
			l.send(b.call(request, "w/a@1", 5000))
			l.waitForText(request)
		}
		Expect(b.companion.buffer.Used()).To(BeNumerically(">", 0))
		for _, request := range []string{"r1", "r2", "r3"} {
			b.companion.cancelJob(messenger.Cancel{Request: request, Attempt: 1})
		}
		Expect(b.companion.buffer.Used()).To(BeZero())
		Eventually(func() int { return b.companion.Load().Running }).WithTimeout(testTimeout).Should(BeZero())
		Expect(b.companion.buffer.Used()).To(BeZero())
	})
})
