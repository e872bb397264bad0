package listener_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"marigoldpoint.example/marigoldpoint/internal/transport/listener"
)

var _ = Describe("An answer in progress", func() {
	// end is how an answer ends of which a part was sent.
	type end func(h *listener.HTTP, w http.ResponseWriter, r *http.Request)
	completes := func(*listener.HTTP, http.ResponseWriter, *http.Request) {}
	isAborted := func(_ *listener.HTTP, w http.ResponseWriter, r *http.Request) { listener.AbortAnswer(w, r) }
	panics := func(*listener.HTTP, http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	serverCloses := func(h *listener.HTTP, _ http.ResponseWriter, r *http.Request) {
		go func() { _ = h.Close() }()
		<-r.Context().Done()
	}
	failsToWrite := func(_ *listener.HTTP, w http.ResponseWriter, _ *http.Request) {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Unix(1, 0))
		_, _ = w.Write(make([]byte, 1<<20))
	}

	// Guards against an orderly end of the connection that completes a part of an answer, for
	// a caller whose answers end with their connection.
	DescribeTable("ends",
		func(protocol, fields string, end end, want error) {
			network, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
			Expect(err).NotTo(HaveOccurred())
			part := make(chan struct{})
			var h *listener.HTTP
			serving := make(chan struct{})
			h = listener.NewHTTP(network, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				<-serving
				_, _ = io.WriteString(w, "part")
				_ = http.NewResponseController(w).Flush()
				<-part
				end(h, w, r)
			}), listener.Limits{}, zerolog.Nop())
			close(serving)
			DeferCleanup(func() { _ = h.Close() })
			conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", h.Address())
			Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			Expect(conn.SetDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
			_, err = io.WriteString(conn, "GET / "+protocol+"\r\nHost: h\r\n"+fields+"\r\n")
			Expect(err).NotTo(HaveOccurred())
			got, err := http.ReadResponse(bufio.NewReader(conn), nil)
			Expect(err).NotTo(HaveOccurred())
			_, err = io.ReadFull(got.Body, make([]byte, len("part")))
			Expect(err).NotTo(HaveOccurred())
			close(part)
			_, err = io.Copy(io.Discard, got.Body)
			if want == nil {
				Expect(err).NotTo(HaveOccurred())
				return
			}
			Expect(err).To(MatchError(want))
		},
		Entry("whole, HTTP/1.0", "HTTP/1.0", "", completes, nil),
		Entry("aborted, HTTP/1.0", "HTTP/1.0", "", isAborted, syscall.ECONNRESET),
		Entry("by a panic, HTTP/1.0", "HTTP/1.0", "", panics, syscall.ECONNRESET),
		Entry("with its server, HTTP/1.0", "HTTP/1.0", "", serverCloses, syscall.ECONNRESET),
		Entry("by a failed write, HTTP/1.0", "HTTP/1.0", "", failsToWrite, syscall.ECONNRESET),
		Entry("whole, last on its connection", "HTTP/1.1", "Connection: close\r\n", completes, nil),
		Entry("with its server, last on its connection", "HTTP/1.1", "Connection: close\r\n", serverCloses, syscall.ECONNRESET),
		Entry("whole, HTTP/1.1", "HTTP/1.1", "", completes, nil),
		Entry("aborted, HTTP/1.1", "HTTP/1.1", "", isAborted, io.ErrUnexpectedEOF),
		Entry("with its server, HTTP/1.1", "HTTP/1.1", "", serverCloses, io.ErrUnexpectedEOF),
		Entry("by a failed write, HTTP/1.1", "HTTP/1.1", "", failsToWrite, io.ErrUnexpectedEOF),
	)
})
