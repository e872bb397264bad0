package relayer_test

import (
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// ends is a backend server whose process ends when it begins a request.
func ends() *backend {
	var b *backend
	b = newBackend(func(c net.Conn, _ *http.Request) { b.end(c) })
	return b
}

var _ = Describe("A sending that breaks", func() {
	It("tells that its backend server has ended, and which request was there", func() {
		b := ends()
		e := newEntry(once, nil, b)
		Expect(e.ask(ctx, nil).StatusCode).To(Equal(http.StatusBadGateway))
		Eventually(e.log).Should(gbytes.Say(`"Backend":"b0","Incarnation":"i-0","Fate":"Ended","Sendings":1,"Same":\["[0-9a-f]{32}"\]`))
	})

	It("tells that its backend server lives where only the connection ended", func() {
		e := newEntry(once, nil, newBackend(hangUp))
		Expect(e.ask(ctx, nil).StatusCode).To(Equal(http.StatusBadGateway))
		Eventually(func() *gbytes.Buffer {
			e.later.Add(int64(time.Second))
			return e.log
		}).Should(gbytes.Say(`"Fate":"Lives"`))
		Expect(e.ends()).To(BeEmpty(), "nobody is blamed")
	})

	It("tells that its backend server has begun another life, though its address takes connections", func() {
		b := newBackend(hangUp)
		e := newEntry(once, nil, b)
		Expect(e.ask(ctx, nil).StatusCode).To(Equal(http.StatusBadGateway))
		e.put(storer.KindMember, "b0", storer.MemberSpec{Service: "s", Address: b.network.Addr().String(), Incarnation: "i-next", Slots: 8})
		Eventually(e.log).Should(gbytes.Say(`"Incarnation":"i-0","Fate":"Ended"`))
	})

	It("tells of a backend server that leaves nothing else", func() {
		var e *entry
		var b *backend
		b = newBackend(func(c net.Conn, _ *http.Request) {
			e.announce(0, b, storer.MemberStateLeaving)
			b.end(c)
		})
		e = newEntry(once, nil, b)
		Expect(e.ask(ctx, nil).StatusCode).To(Equal(http.StatusBadGateway))
		Eventually(e.log).Should(gbytes.Say(`"Fate":"Left"`))
	})
})
