package relayer_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"marigoldpoint.example/marigoldpoint/internal/coordination/allotter"
	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
	"marigoldpoint.example/marigoldpoint/internal/transport/relayer"
)

// newBoundedEntry returns an entry that buffers the given number of bytes at most.
func newBoundedEntry(total int64, route tracker.Route, backends ...*backend) *entry {
	GinkgoHelper()
	limits := allotter.NewAllotter(allotter.Settings{Total: total})
	return newEntryChanged(func(s *relayer.Settings) { s.Buffers, s.Allotter = allotter.ModeBounded, limits }, placer.Settings{}, route, nil, backends...)
}

// open sends a request on a connection of its own and returns the connection.
func (e *entry) open(header, body string) net.Conn {
	GinkgoHelper()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", e.server.Listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	_, err = fmt.Fprintf(conn, "POST /a/b HTTP/1.1\r\nHost: h\r\nId: 1\r\n%s\r\n%s", header, body)
	Expect(err).NotTo(HaveOccurred())
	return conn
}

// Guards against an entry that is killed since callers, or backend servers, read slowly: what it
// buffered for them had no bound, and a caller that didn't read held its call for ever.
var _ = Describe("A caller that is slow", func() {
	const large = 3 << 20
	short := streamed
	short.Timeout = 300 * time.Millisecond

	It("and does not read slows down its backend server, and is ended after its deadline", func() {
		const endless = 1 << 30
		var written atomic.Int64
		b := newBackend(nil)
		b.script = func(c net.Conn, r *http.Request) {
			if r.Header.Get("Other") != "" {
				events(c, r, 1, 2)
				endStream(c)
				return
			}
			events(c, r, 1, 1)
			piece := strings.Repeat("x", 1<<16)
			for written.Load() < endless {
				if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(piece), piece); err != nil {
					return
				}
				written.Add(int64(len(piece)))
			}
		}
		route := short
		// Both calls begin within the time limit also on a busy machine.
		route.Timeout = 4 * time.Second
		e := newBoundedEntry(0, route, b)
		e.open("Deadline: 20000\r\nContent-Length: 0\r\n", "")
		Eventually(written.Load).Should(BeNumerically(">", 0))
		Expect(read(e.call(ctx, map[string]string{"Other": "1"}))).To(ContainSubstring("id: 2"))
		Eventually(e.log).Should(gbytes.Say(`"Outcome":"broken","Status":200,"Reason":"the caller did not read its answer before the deadline"`))
		Expect(written.Load()).To(BeNumerically("<", endless))
		Eventually(b.disconnected).Should(Receive())
	})

	It("gets the whole answer, which is forwarded as it arrives once it exceeds the limit", func() {
		e := newBoundedEntry(0, runOnce, newBackend(text("200", signed, strings.Repeat("x", large))))
		answer := e.call(ctx, nil)
		Expect(answer.ContentLength).To(BeEquivalentTo(large))
		n, buffer := 0, make([]byte, 1000)
		for {
			m, err := answer.Body.Read(buffer)
			if n += m; err != nil {
				Expect(err).To(Equal(io.EOF))
				break
			}
		}
		Expect(n).To(Equal(large))
		Eventually(e.log).Should(gbytes.Say(`"Outcome":"answered","Status":200`))
	})

	It("gets no answer that looks complete if it breaks off after that, and the call doesn't run again", func() {
		half := func(c net.Conn, _ *http.Request) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: 1\r\n%sContent-Length: %d\r\n\r\n%s", signed, large, strings.Repeat("x", large-1))
			_ = c.Close()
		}
		a, b := newBackend(half), newBackend(half)
		answer := newBoundedEntry(0, repeatable, a, b).call(ctx, nil)
		_, err := io.Copy(io.Discard, answer.Body)
		Expect(err).To(HaveOccurred())
		Expect(runs(a, b)).To(Equal(1))
	})

	It("gets a failure that is too long to be kept as one of a call that may have run", func() {
		answer := newBoundedEntry(0, runOnce, newBackend(text("500", signed, strings.Repeat("x", large)))).call(ctx, nil)
		Expect(answer.StatusCode).To(Equal(http.StatusBadGateway))
	})

	It("does not make the entry take more requests than it may buffer", func() {
		started, end := make(chan struct{}, 1), make(chan struct{})
		b := newBackend(func(c net.Conn, r *http.Request) {
			if r.Header.Get("Other") == "" {
				started <- struct{}{}
				<-end
			}
			answersWell(c, r)
		})
		e := newBoundedEntry(1000, runOnce, b)
		first := e.open("Deadline: 20000\r\nContent-Length: 997\r\n", strings.Repeat("x", 997))
		Eventually(started).Should(Receive())
		refused := e.call(ctx, map[string]string{"Other": "1"})
		Expect(refused.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(refused.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(read(refused)).To(ContainSubstring("buffers too much"))
		close(end)
		answer, err := http.ReadResponse(bufio.NewReader(first), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.StatusCode).To(Equal(200))
		Eventually(func() int { return e.call(ctx, map[string]string{"Other": "1"}).StatusCode }).Should(Equal(200))
	})

	It("and has not sent its request at the deadline is answered that it did not run", func() {
		b := newBackend(answersWell)
		e := newBoundedEntry(0, short, b)
		conn := e.open("Deadline: 20000\r\nContent-Length: 9\r\n", "half")
		answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.StatusCode).To(Equal(http.StatusRequestTimeout))
		Expect(b.runs.Load()).To(BeZero())
	})
})
