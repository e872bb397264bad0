package streamer

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

var _ = Describe("An answer that nobody has acknowledged", func() {
	const limit = 20 * time.Second
	var b *Buffer
	var a *Answer
	BeforeEach(func() {
		var err error
		b = NewBuffer(Settings{})
		a, err = b.Begin(id, false)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Write(context.Background(), time.Second, nil, []byte("whole"))).To(Succeed())
	})
	ended := func() { a.End(start, messenger.End{Outcome: messenger.OutcomeCompleted}) }
	attach := func() *Reader {
		GinkgoHelper()
		r, err := a.Attach(0)
		Expect(err).NotTo(HaveOccurred())
		return r
	}

	// Guards against a planned stop that waits two minutes for an answer that no entry
	// will fetch: the entry was killed while reading it, or its acknowledgement was
	// lost. The stop waited until the retention of the answer ended, although entries
	// resume an answer only for a much shorter time.
	It("is not awaited once its entry has been gone for too long", func() {
		r := attach()
		ended()
		Expect(b.Unreleased(start.Add(time.Hour), limit)).To(Equal(1), "an entry is reading")
		r.Detach(start)
		Expect(b.Unreleased(start.Add(limit), limit)).To(Equal(1))
		Expect(b.Unreleased(start.Add(limit+1), limit)).To(BeZero())
	})

	It("is awaited again when an entry returns", func() {
		first := attach()
		ended()
		second := attach()
		first.Detach(start)
		Expect(b.Unreleased(start.Add(time.Hour), limit)).To(Equal(1), "the end of a replaced reader has no effect")
		second.Detach(start)
		attach()
		Expect(b.Unreleased(start.Add(time.Hour), limit)).To(Equal(1))
	})

	It("is awaited while it has not ended", func() {
		attach().Detach(start)
		Expect(b.Unreleased(start.Add(time.Hour), limit)).To(Equal(1))
	})

	It("is not awaited if its attempt was cancelled", func() {
		attach()
		a.Release()
		Expect(b.Unreleased(start, limit)).To(BeZero())
	})
})
