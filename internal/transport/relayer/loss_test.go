package relayer_test

import (
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// crashes returns a backend server whose process ends when it starts a request.
func crashes() *backend {
	var b *backend
	b = newBackend(func(c net.Conn, _ *http.Request) { b.shutDown(c) })
	return b
}

var _ = Describe("An attempt that breaks", func() {
	It("reports that its backend server has ended, and the request", func() {
		b := crashes()
		e := newEntry(runOnce, nil, b)
		Expect(e.call(ctx, nil).StatusCode).To(Equal(http.StatusBadGateway))
		Eventually(e.log).Should(gbytes.Say(`"Backend":"b0","Incarnation":"i-0","Fate":"Ended","Sendings":1,"Same":\["[0-9a-f]{32}"\]`))
	})

	It("reports the parts of the prompt and how much of the answer had arrived", func() {
		var b *backend
		b = newBackend(func(c net.Conn, r *http.Request) {
			events(c, r, 1, 0)
			b.shutDown(c)
		})
		e := newEntry(streamed, nil, b)
		Expect(e.call(ctx, map[string]string{"Parts": "f1,ab,1"}).StatusCode).To(Equal(http.StatusBadGateway))
		Eventually(e.log).Should(gbytes.Say(`"Stage":"Begun","Parts":\["f1","ab","1"\]`))
	})

	It("reports that its backend server is alive if only the connection ended", func() {
		e := newEntry(runOnce, nil, newBackend(hangUp))
		Expect(e.call(ctx, nil).StatusCode).To(Equal(http.StatusBadGateway))
		Eventually(func() *gbytes.Buffer {
			e.clockOffset.Add(int64(time.Second))
			return e.log
		}).Should(gbytes.Say(`"Fate":"Lives"`))
		Expect(e.crashes()).To(BeEmpty(), "no end is reported")
	})

	// Guards against requests that are quarantined as if they had crashed an engine which only refused
	// connections.
	DescribeTable("at an engine that refuses connections reports what its companion knows",
		func(state messenger.ProcessState, fate string, ends int) {
			e := newEntry(runOnce, engine, crashes())
			e.setInspect(state, nil)
			Expect(e.call(ctx, map[string]string{"Model": "m/a1"}).StatusCode).To(Equal(http.StatusBadGateway))
			Eventually(func() *gbytes.Buffer {
				e.clockOffset.Add(int64(time.Second))
				return e.log
			}).Should(gbytes.Say(`"Fate":"` + fate + `"`))
			Eventually(e.crashes).Should(HaveLen(ends))
		},
		Entry("that it has ended", messenger.ProcessExited, "Ended", 1),
		Entry("that it runs", messenger.ProcessRunning, "Lives", 0),
		Entry("that it leaves", messenger.ProcessLeaving, "Lives", 0),
		Entry("nothing", messenger.ProcessUnknown, "Unknown", 0),
	)

	It("reports that its backend server has ended if another incarnation accepts connections at its address", func() {
		b := newBackend(hangUp)
		e := newEntry(runOnce, nil, b)
		Expect(e.call(ctx, nil).StatusCode).To(Equal(http.StatusBadGateway))
		e.put(storer.KindMember, "b0", storer.MemberSpec{Service: "s", Address: b.network.Addr().String(), Incarnation: "i-next", Slots: 8})
		Eventually(e.log).Should(gbytes.Say(`"Incarnation":"i-0","Fate":"Ended"`))
	})

	It("reports a backend server that leaves as left", func() {
		var e *entry
		var b *backend
		b = newBackend(func(c net.Conn, _ *http.Request) {
			e.announce(0, b, storer.MemberStateLeaving)
			b.shutDown(c)
		})
		e = newEntry(runOnce, nil, b)
		Expect(e.call(ctx, nil).StatusCode).To(Equal(http.StatusBadGateway))
		Eventually(e.log).Should(gbytes.Say(`"Fate":"Left"`))
	})
})
