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
})
