package listener_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"marigoldpoint.example/marigoldpoint/internal/coordination/allotter"
	"marigoldpoint.example/marigoldpoint/internal/transport/listener"
)

// dialSending opens a connection and sends a text on it.
func dialSending(h *listener.HTTP, text string) net.Conn {
	GinkgoHelper()
	conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", h.Address())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	_, err = io.WriteString(conn, text)
	Expect(err).NotTo(HaveOccurred())
	return conn
}

// answerOn reads one answer from a connection.
func answerOn(conn net.Conn) *http.Response {
	GinkgoHelper()
	Expect(conn.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(answer.Body.Close)
	return answer
}

const (
	wholeRequest      = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"
	unfinishedRequest = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nx"
)

var _ = Describe("A listener with limits", func() {
	// newLimited returns a listener of at most n connections whose handler reads bodies, unless the path
	// is /unread, and reports each that it has begun to read.
	newLimited := func(n int) (*listener.HTTP, chan struct{}) {
		reading := make(chan struct{}, 10)
		h := listener.NewHTTP(listen(), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/unread" {
				w.WriteHeader(http.StatusNotFound)
				return
			}
			reading <- struct{}{}
			if _, err := listener.ReadBody(w, r, 100); err != nil {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}), listener.Limits{Allotter: allotter.NewAllotter(allotter.Settings{MaxConnections: n})}, zerolog.Nop())
		DeferCleanup(h.Close)
		return h, reading
	}

	// Guards against a caller that is kept out by requests that stop short of their end.
	It("refuses an unfinished request for a new connection, and closes it", func() {
		h, reading := newLimited(2)
		unfinished := dialSending(h, unfinishedRequest)
		Eventually(reading).Should(Receive())
		for range 2 {
			Expect(answerOn(dialSending(h, wholeRequest)).StatusCode).To(Equal(http.StatusOK))
		}
		refused := answerOn(unfinished)
		Expect(refused.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(refused.Close).To(BeTrue())
		_, err := io.Copy(io.Discard, unfinished)
		Expect(err).To(Or(BeNil(), MatchError(ContainSubstring("reset"))))
	})

	// Guards against a connection that is closed while its answer is due.
	It("keeps a complete request, and resets a new connection instead", func() {
		begun, end := make(chan struct{}), make(chan struct{})
		h := listener.NewHTTP(listen(), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, err := listener.ReadBody(w, r, 100)
			Expect(err).NotTo(HaveOccurred())
			close(begun)
			<-end
		}), listener.Limits{Allotter: allotter.NewAllotter(allotter.Settings{MaxConnections: 1})}, zerolog.Nop())
		DeferCleanup(h.Close)
		complete := dialSending(h, wholeRequest)
		Eventually(begun).Should(BeClosed())
		conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", h.Address())
		if err == nil {
			DeferCleanup(conn.Close)
			_, err = conn.Read(make([]byte, 1))
		}
		Expect(err).To(MatchError(ContainSubstring("reset")))
		close(end)
		Expect(answerOn(complete).StatusCode).To(Equal(http.StatusOK))
	})

	// Guards against a refusal that is never sent, and a connection that never ends, since the server
	// awaits the rest of the body.
	It("answers a request whose body is not read and does not end", func() {
		h, _ := newLimited(10)
		conn := dialSending(h, strings.Replace(unfinishedRequest, "/ ", "/unread ", 1))
		Expect(answerOn(conn).StatusCode).To(Equal(http.StatusNotFound))
		Expect(conn.SetReadDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
		_, err := io.Copy(io.Discard, conn)
		Expect(err).To(Or(BeNil(), MatchError(ContainSubstring("reset"))))
	})

	// Guards against an idle connection that is ended for others although its next request has arrived.
	It("serves several requests on a connection", func() {
		h, _ := newLimited(1)
		conn := dialSending(h, "")
		reader := bufio.NewReader(conn)
		for range 3 {
			_, err := fmt.Fprint(conn, wholeRequest)
			Expect(err).NotTo(HaveOccurred())
			answer, err := http.ReadResponse(reader, nil)
			Expect(err).NotTo(HaveOccurred())
			_, _ = io.Copy(io.Discard, answer.Body)
			Expect(answer.Body.Close()).To(Succeed())
			Expect(answer.StatusCode).To(Equal(http.StatusOK))
		}
	})
})
