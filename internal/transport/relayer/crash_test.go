package relayer_test

import (
	"io"
	"net"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/coordination/allotter"
	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
	"marigoldpoint.example/marigoldpoint/internal/transport/relayer"
)

var _ = Describe("An answer without a length", func() {
	// unframed writes an answer that ends with its connection.
	unframed := func(c net.Conn, r *http.Request, body string) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\n"+signed+"\r\n"+body)
	}
	const twoEvents = "id: 1\ndata: x\n\nid: 2\ndata: x\n\n"
	long := strings.Repeat("x", 2<<20)

	// Guards against an answer that looks complete to its caller although its backend server crashed
	// in the middle of it: the operating system closes its connection as at the end.
	DescribeTable("is complete unless its backend server's process has ended with it",
		func(route tracker.Route, body string, end func(e *entry, b *backend, c net.Conn), complete bool) {
			var e *entry
			b := newBackend(nil)
			b.script = func(c net.Conn, r *http.Request) {
				unframed(c, r, body)
				end(e, b, c)
			}
			e = newEntryChanged(func(s *relayer.Settings) { s.Buffers = allotter.ModeBounded }, placer.Settings{}, route, nil, b)
			answer := e.call(ctx, nil)
			got, err := io.ReadAll(answer.Body)
			if complete {
				Expect(err).NotTo(HaveOccurred())
				Expect(string(got)).To(Equal(body))
				return
			}
			Expect(err != nil || answer.StatusCode == http.StatusBadGateway).To(BeTrue())
			Expect(runs(b)).To(Equal(1))
		},
		Entry("a stream at a server that goes on", streamed, twoEvents, goesOn, true),
		Entry("a stream at a server that has ended", streamed, twoEvents, endsToo, false),
		Entry("a stream at a server that announced that it leaves, and has ended", streamed, twoEvents, leaves, true),
		Entry("a stream at a server of which another incarnation is known", streamed, twoEvents, restarts, false),
		Entry("another answer at a server that goes on", runOnce, "answer", goesOn, true),
		Entry("another answer at a server that has ended", runOnce, "answer", endsToo, false),
		Entry("an answer that is forwarded as it arrives, at a server that goes on", runOnce, long, goesOn, true),
		Entry("an answer that is forwarded as it arrives, at a server that has ended", runOnce, long, endsToo, false),
	)
})

func goesOn(_ *entry, _ *backend, c net.Conn) { _ = c.Close() }

func endsToo(_ *entry, b *backend, c net.Conn) { b.shutDown(c) }

func leaves(e *entry, b *backend, c net.Conn) {
	e.announce(0, b, storer.MemberStateLeaving)
	b.shutDown(c)
}

func restarts(e *entry, b *backend, c net.Conn) {
	m := member(0, b, storer.MemberStateServing)
	m.Incarnation = "i-next"
	e.put(storer.KindMember, "b0", m)
	_ = c.Close()
}
