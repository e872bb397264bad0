package streamer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

var (
	start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)
	id    = ID{Request: "r1", Attempt: 1}
)

var _ = Describe("A buffer", func() {
	It("bars an attempt that it reported as never seen", func() {
		// Guards against running a request that was reported as not run: the dispatch
		// is delayed in the network, the entry asks for the attempt on a new
		// connection, is told that it was never seen, and reports that; then the
		// dispatch arrives. The companion must remember what it reported.
		b := NewBuffer(Settings{})
		_, err := b.FindOrBar(start, id)
		Expect(errors.Is(err, ErrNeverSeen)).To(BeTrue())
		_, err = b.Begin(id, false)
		Expect(errors.Is(err, ErrBarred)).To(BeTrue())
		_, err = b.Begin(ID{Request: "r1", Attempt: 2}, false)
		Expect(err).NotTo(HaveOccurred())
	})

	It("returns an error rather than forget a barred attempt", func() {
		b := NewBuffer(Settings{MaxBarred: 1, Retention: time.Minute})
		other := ID{Request: "r2", Attempt: 1}
		_, err := b.FindOrBar(start, id)
		Expect(errors.Is(err, ErrNeverSeen)).To(BeTrue())
		_, err = b.FindOrBar(start, other)
		Expect(errors.Is(err, ErrTooManyBarred)).To(BeTrue())
		b.Sweep(start.Add(2 * time.Minute))
		_, err = b.FindOrBar(start, other)
		Expect(errors.Is(err, ErrNeverSeen)).To(BeTrue())
	})

	It("accepts a second attempt only of a request that may run twice", func() {
		b := NewBuffer(Settings{})
		_, err := b.Begin(id, true)
		Expect(err).NotTo(HaveOccurred())
		_, err = b.Begin(id, true)
		Expect(errors.Is(err, ErrSeen)).To(BeTrue())
		_, err = b.Begin(ID{Request: "r1", Attempt: 2}, true)
		Expect(errors.Is(err, ErrOtherAttempt)).To(BeTrue())
	})

	It("retains a complete answer for another entry, until memory is short", func() {
		b := NewBuffer(Settings{})
		a, err := b.Begin(id, true)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Write(context.Background(), time.Second, nil, []byte("whole"))).To(Succeed())
		a.End(start, messenger.End{Outcome: messenger.OutcomeCompleted})
		a.Acknowledge(5, true)
		Expect(a.Released()).To(BeTrue())
		r, err := a.Attach(0)
		Expect(err).NotTo(HaveOccurred())
		p, err := r.Next(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(string(p.Data)).To(Equal("whole"))
		Expect(p.End).NotTo(BeNil())

		b.Reclaim(start, time.Minute, 0)
		Expect(b.Used()).To(BeZero())
		_, err = a.Attach(0)
		Expect(errors.Is(err, ErrNotHeld)).To(BeTrue())
	})
})

func TestWriterWaitsForRoom(t *testing.T) {
	// Guards against memory that grows with each slow caller: the engine generates
	// faster than the entry acknowledges, so that reading from the engine must block.
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		b := NewBuffer(Settings{AnswerLimit: 8})
		a, err := b.Begin(id, false)
		g.Expect(err).NotTo(HaveOccurred())
		write := func() error { return a.Write(context.Background(), time.Minute, nil, []byte("12345")) }
		g.Expect(write()).To(Succeed())
		done := make(chan error, 1)
		go func() { done <- write() }()
		synctest.Wait()
		g.Expect(done).To(BeEmpty())
		a.Acknowledge(5, false)
		g.Expect(<-done).To(Succeed())

		began := time.Now()
		g.Expect(errors.Is(write(), ErrAbandoned)).To(BeTrue())
		g.Expect(time.Since(began)).To(Equal(time.Minute))
		g.Expect(b.Used()).To(Equal(int64(5)))
	})
}
