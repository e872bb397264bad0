package orderer_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
)

// uploadBytes exceeds what the operating system buffers of an upload that nobody reads.
const uploadBytes = 16 << 20

// serveConnections starts a backend server that runs a script on each connection and closes it afterwards, and
// returns its settings.
func serveConnections(script func(net.Conn, *bufio.Reader)) orderer.Settings {
	GinkgoHelper()
	network, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(network.Close)
	go func() {
		for {
			conn, err := network.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				script(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return orderer.Settings{Address: network.Addr().String()}
}

// answerUpload returns a script that answers an upload before it has read it, waits for the given channel and
// calls end.
func answerUpload(text string, received <-chan struct{}, end func(net.Conn, io.Reader)) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, reader *bufio.Reader) {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, text)
		<-received
		end(conn, r.Body)
	}
}

func reset(conn net.Conn, _ io.Reader) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// forwardUpload sends an upload to a plain service, and returns the body of the answer. It sends a value to received
// when it has the head.
func forwardUpload(s *orderer.Service, idempotent bool, received chan<- struct{}) (string, error) {
	a, err := s.Forward(context.Background(), orderer.ServiceCall{
		Request: "1", Method: http.MethodPost, Target: "/a", Body: make([]byte, uploadBytes), Idempotent: idempotent,
	})
	received <- struct{}{}
	if err != nil {
		return "", err
	}
	defer func() { _ = a.Body.Close() }()
	body, err := io.ReadAll(a.Body)
	return string(body), err
}

var _ = Describe("An answer to an upload that is still being written", func() {
	// Guards against a part of an answer that is taken for the complete one: its connection was reset while the
	// request was still being written.
	DescribeTable("is incomplete if its end is that of a reset connection",
		func(head, part string) {
			const calls = 100
			received := make(chan struct{}, 1)
			service := orderer.NewService(serveConnections(answerUpload(head+"\r\n"+part, received, reset)))
			defer service.Close()
			complete := 0
			for i := range calls {
				if _, err := forwardUpload(service, i%2 == 0, received); err == nil {
					complete++
				} else {
					Expect(err).To(MatchError(orderer.ErrUnknown))
				}
			}
			Expect(complete).To(BeZero())
		},
		Entry("200", "HTTP/1.1 200 OK\r\n", "part"),
		Entry("400", "HTTP/1.1 400 x\r\n", "part"),
		Entry("500", "HTTP/1.1 500 x\r\n", "part"),
		Entry("HTTP/1.0", "HTTP/1.0 200 OK\r\n", "part"),
		Entry("a stream", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n", "data: x\n\n"),
	)

	// Guards against a sound answer that is discarded, or never ends, since its server did not wait for the end of
	// the upload.
	DescribeTable("is complete if its end is that of its framing, or an orderly one",
		func(answered string, end func(net.Conn, io.Reader)) {
			received := make(chan struct{}, 1)
			service := orderer.NewService(serveConnections(answerUpload(answered, received, end)))
			defer service.Close()
			body, err := forwardUpload(service, false, received)
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal("body"))
		},
		Entry("by its length", "HTTP/1.1 413 x\r\nContent-Length: 4\r\n\r\nbody", func(_ net.Conn, upload io.Reader) { _, _ = io.Copy(io.Discard, upload) }),
		Entry("in order, after the upload", "HTTP/1.1 200 OK\r\n\r\nbody", func(_ net.Conn, upload io.Reader) { _, _ = io.Copy(io.Discard, upload) }),
		Entry("in order, while nobody reads the upload", "HTTP/1.1 413 x\r\n\r\nbody", func(conn net.Conn, _ io.Reader) {
			_ = conn.(*net.TCPConn).CloseWrite()
			// The client closes the connection once the answer is complete.
			_, _ = io.Copy(io.Discard, conn)
		}),
		Entry("with a body after the upload", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", func(conn net.Conn, upload io.Reader) {
			_, _ = io.Copy(io.Discard, upload)
			_, _ = io.WriteString(conn, "body")
		}),
	)

	// Guards against an import that is taken for carried out: its answer had no length, and its connection was
	// reset.
	It("is no evidence of an order if it ends early", func(ctx SpecContext) {
		received := make(chan struct{}, 1)
		received <- struct{}{}
		close(received)
		engine := orderer.NewEngine(serveConnections(answerUpload("HTTP/1.1 200 OK\r\n\r\n{", received, reset)))
		defer engine.Close()
		for range 50 {
			Expect(engine.ImportKV(ctx, 1, make([]byte, uploadBytes))).To(MatchError(orderer.ErrUnknown))
		}
	})
})
