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

// begin returns a new answer that holds the data.
func begin(b *Buffer, request string, once bool, data string) *Answer {
	a, err := b.Begin(ID{Request: request, Attempt: 1}, once)
	Expect(err).NotTo(HaveOccurred())
	Expect(a.Write(context.Background(), time.Second, nil, []byte(data))).To(Succeed())
	return a
}

var (
	cut       = messenger.End{Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonCancelled}
	completed = messenger.End{Outcome: messenger.OutcomeCompleted}
)

var _ = Describe("Memory of answers that nobody acknowledges", func() {
	// Guards against streams that slow down and stop while callers come and go: callers
	// leave in the middle of a stream, which cancels their attempts, and the engine
	// sends a few more pieces before it ends. Nobody acknowledges these bytes, which
	// stayed in memory until their retention ended.
	It("is freed at the cancellation, and the end is kept", func() {
		b := NewBuffer(Settings{})
		a := begin(b, "left", false, "unread")
		r, err := a.Attach(0)
		Expect(err).NotTo(HaveOccurred())
		a.Release()
		Expect(b.Used()).To(BeZero())
		Expect(a.Write(context.Background(), time.Second, nil, []byte("late"))).To(Succeed())
		Expect(b.Used()).To(BeZero())
		a.End(start, cut)
		p, err := r.Next(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(p.End).To(HaveValue(Equal(cut)))
		_, err = b.Begin(a.ID(), false)
		Expect(errors.Is(err, ErrSeen)).To(BeTrue(), "a late second dispatch must not run")
		_, err = a.Attach(0)
		Expect(errors.Is(err, ErrNotHeld)).To(BeTrue(), "the answer must not be taken for an empty one")
		_, err = a.Attach(a.Length())
		Expect(err).NotTo(HaveOccurred())
	})

	It("never presents a cut answer as complete", func() {
		// Guards against taking a clearance without its end for complete: the answer
		// ends as Completed, its cancellation arrives late and drops the bytes, and a
		// reader has sent none of them yet. It must not send the end after the bytes
		// that are left.
		b := NewBuffer(Settings{})
		a := begin(b, "left", false, "whole")
		r, err := a.Attach(0)
		Expect(err).NotTo(HaveOccurred())
		a.End(start, completed)
		a.Release()
		p, err := r.Next(context.Background())
		Expect(err).NotTo(HaveOccurred())
		_, done, gap, err := NewAssembler(1 << 10).Add(p)
		Expect(err).NotTo(HaveOccurred())
		Expect(done).To(BeNil())
		Expect(gap).To(BeTrue())
	})

	It("is retained for a call that may run only once, until memory is short", func() {
		b := NewBuffer(Settings{})
		a := begin(b, "review", true, "whole")
		a.End(start, completed)
		a.Release()
		r, err := a.Attach(0)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Next(context.Background())).To(HaveField("Data", BeEquivalentTo("whole")))
		b.Reclaim(start, time.Minute, 0)
		Expect(b.Used()).To(BeZero())
	})

	It("is reclaimed from the answers abandoned longest first, and never from those that may be fetched", func() {
		// Guards against a buffer that stays full after an entry was killed: its
		// answers end, nobody acknowledges them, and others need the memory.
		b := NewBuffer(Settings{})
		end := func(a *Answer, at time.Time) {
			r, err := a.Attach(0)
			Expect(err).NotTo(HaveOccurred())
			r.Detach(at)
			a.End(at, completed)
		}
		kept := begin(b, "kept", true, "12345")
		end(kept, start)
		kept.Acknowledge(5, true)
		second, first := begin(b, "second", false, "12345"), begin(b, "first", false, "12345")
		end(first, start.Add(1))
		end(second, start.Add(2))
		awaited, running := begin(b, "awaited", false, "12345"), begin(b, "running", false, "12345")
		end(awaited, start.Add(time.Minute))

		now := start.Add(time.Minute + 2)
		held := func() (held []string) {
			for _, a := range []*Answer{kept, first, second, awaited, running} {
				if len(a.data) > 0 {
					held = append(held, a.id.Request)
				}
			}
			return held
		}
		b.Reclaim(now.Add(1), time.Minute, 20)
		Expect(held()).To(Equal([]string{"kept", "second", "awaited", "running"}))
		b.Reclaim(now.Add(1), time.Minute, 15)
		Expect(held()).To(Equal([]string{"kept", "awaited", "running"}))
		b.Reclaim(now.Add(1), time.Minute, 0)
		Expect(held()).To(Equal([]string{"awaited", "running"}))
	})
})

func TestWriterWaitsForRoomOfOthers(t *testing.T) {
	// Guards against streams that block beside an empty buffer: the buffer is full,
	// writers wait, and bytes of other answers are freed. A waiting writer checked for
	// room only when its own answer changed.
	for name, free := range map[string]func(*Buffer, *Answer){
		"acknowledged": func(_ *Buffer, a *Answer) { a.Acknowledge(a.Length(), false) },
		"released":     func(_ *Buffer, a *Answer) { a.Release() },
		"discarded":    func(b *Buffer, a *Answer) { b.Discard(a.ID()) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				RegisterTestingT(t)
				b := NewBuffer(Settings{Limit: 16, AnswerLimit: 16})
				other := begin(b, "other", false, "1234567890")
				ctx, leave := context.WithCancelCause(context.Background())
				done := make(chan error, 3)
				write := func(ctx context.Context, a *Answer) {
					go func() { done <- a.Write(ctx, time.Hour, nil, []byte("12345")) }()
					synctest.Wait()
				}
				x, y, z := begin(b, "x", false, "1"), begin(b, "y", false, "1"), begin(b, "z", false, "1")
				write(ctx, x)
				write(context.Background(), y)
				write(context.Background(), z)
				Expect(done).To(BeEmpty())
				// A writer that leaves the queue must pass its turn on.
				leave(errors.ConstError("left"))
				Expect(<-done).To(MatchError("left"))
				free(b, other)
				Expect(<-done).To(Succeed())
				Expect(<-done).To(Succeed())
				Expect(b.Used()).To(Equal(int64(13)))
				Expect(b.room.waiting.Load()).To(BeZero())
			})
		})
	}
}
