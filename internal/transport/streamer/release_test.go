package streamer

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

var _ = Describe("An answer that nobody has taken", func() {
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

	// Symptom: a companion's planned stop waits two minutes for nobody.
	// Events: an entry is killed while it takes an answer, or its acknowledgement
	// is lost; the answer ends; the companion stops.
	// Cause: it was waited for until the retention's end, although entries give up
	// coming back long before.
	It("is not waited for once its entry is gone for too long", func() {
		r := attach()
		ended()
		Expect(b.Unreleased(start.Add(time.Hour), limit)).To(Equal(1), "an entry is reading")
		r.Detach(start)
		Expect(b.Unreleased(start.Add(limit), limit)).To(Equal(1))
		Expect(b.Unreleased(start.Add(limit+1), limit)).To(BeZero())
	})

	It("is waited for again when an entry comes back", func() {
		first := attach()
		ended()
		second := attach()
		first.Detach(start)
		Expect(b.Unreleased(start.Add(time.Hour), limit)).To(Equal(1), "the replaced reader's end counts for nothing")
		second.Detach(start)
		attach()
		Expect(b.Unreleased(start.Add(time.Hour), limit)).To(Equal(1))
	})

	It("is waited for while it has not ended", func() {
		attach().Detach(start)
		Expect(b.Unreleased(start.Add(time.Hour), limit)).To(Equal(1))
	})

	It("is not waited for when it was given up", func() {
		attach()
		a.Release()
		Expect(b.Unreleased(start, limit)).To(BeZero())
	})
})
