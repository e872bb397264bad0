package relayer_test

import (
	"net"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

var _ = Describe("A stream of an engine that has crashed", func() {
	// Guards against a stream whose KV cache was made with one version of the model's weights and
	// is used with another.
	DescribeTable("is not resumed with other weights",
		func(before, after func(i *interruption), first, second string) {
			var i *interruption
			i = newInterruptionOf(streamedTwice, moving, func(b *backend, c net.Conn) {
				after(i)
				b.shutDown(c)
			})
			i.header = [2]string{first, second}
			before(i)
			rest, err := i.read()
			Expect(err).To(HaveOccurred())
			Expect(rest).To(BeEmpty())
			if second == "" {
				Expect(i.from).To(BeEmpty())
			}
		},
		Entry("other engines have another version", func(i *interruption) {
			i.setMember(1, func(m *storer.MemberSpec) { m.Weights = 2 })
		}, func(*interruption) {}, "", ""),
		Entry("the versions are not known", func(i *interruption) {
			for n := range i.engines {
				i.setMember(n, func(m *storer.MemberSpec) { m.Weights = 0 })
			}
		}, func(*interruption) {}, "", ""),
		Entry("the second engine has changed its weights", func(*interruption) {}, func(i *interruption) {
			i.setMember(1-i.firstEngine(), func(m *storer.MemberSpec) { m.Weights = 2 })
		}, "", ""),
		Entry("the second engine has restarted", func(*interruption) {}, func(i *interruption) {
			i.setMember(1-i.firstEngine(), func(m *storer.MemberSpec) { m.Incarnation = "i-next" })
		}, "", ""),
		Entry("the answer was begun with another version than announced", func(*interruption) {}, func(*interruption) {}, "Weights: 2\r\n", ""),
		Entry("the answer is continued with another version than announced", func(*interruption) {}, func(*interruption) {}, "Weights: 1\r\n", "Weights: 2\r\n"),
	)

	// Guards against a stream whose KV cache was made with one version of its adapter and is used
	// with another.
	DescribeTable("is not resumed with another version of its adapter",
		func(name func(i *interruption), admitted uint64) {
			var i *interruption
			i = newInterruptionOf(streamedTwice, moving, func(b *backend, c net.Conn) {
				name(i)
				b.shutDown(c)
			})
			i.entry.mu.Lock()
			i.entry.admit = func(m messenger.Admit) (messenger.Admitted, error) {
				if m.Resumed {
					return messenger.Admitted{Version: admitted}, nil
				}
				return messenger.Admitted{Version: 1}, nil
			}
			i.entry.mu.Unlock()
			rest, err := i.read()
			Expect(err).To(HaveOccurred())
			Expect(rest).To(BeEmpty())
			Expect(i.from).To(BeEmpty())
		},
		Entry("that the entry knows", func(i *interruption) {
			i.entry.put(storer.KindNewest, "m/a1", storer.NewestSpec{Version: 2})
		}, uint64(2)),
		Entry("that only the companion knows", func(*interruption) {}, uint64(2)),
		Entry("that only the first companion knew", func(*interruption) {}, uint64(0)),
	)

	It("is resumed with the same weights, and requires them without an adapter", func() {
		i := newInterruptionOf(streamedTwice, moving, func(b *backend, c net.Conn) { b.shutDown(c) })
		i.header = [2]string{"Weights: 1\r\n", "Weights: 1\r\n"}
		i.model = "m"
		rest, err := i.read()
		Expect(err).NotTo(HaveOccurred())
		Expect(rest).To(Equal("id: 3\ndata: x\n\n"))
		Expect(i.versions).To(Equal([]string{"0", "1"}))
	})
})
