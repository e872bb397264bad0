package exchanger_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/protocol/exchanger"
)

// server is a backend server that runs a script on each connection.
type server struct {
	network net.Listener
	// accepted receives each accepted connection.
	accepted chan net.Conn
}

// serve starts a server that runs one script per connection, in order. The last script is
// also run on all further connections.
func serve(scripts ...func(conn net.Conn, reader *bufio.Reader)) *server {
	GinkgoHelper()
	network, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &server{network: network, accepted: make(chan net.Conn, 16)}
	DeferCleanup(func() { _ = network.Close() })
	go func() {
		for i := 0; ; i++ {
			conn, err := network.Accept()
			if err != nil {
				return
			}
			s.accepted <- conn
			go scripts[min(i, len(scripts)-1)](conn, bufio.NewReader(conn))
		}
	}()
	return s
}

func (s *server) address() string { return s.network.Addr().String() }

// answer reads a request and writes the texts, with %s replaced by the id of the request.
// It reports whether it succeeded.
func answer(conn net.Conn, reader *bufio.Reader, texts ...string) bool {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return false
	}
	for _, text := range texts {
		if _, err := io.WriteString(conn, strings.ReplaceAll(text, "%s", request.Header.Get("Id"))); err != nil {
			return false
		}
	}
	return true
}

// serveNormally answers every request correctly.
func serveNormally(conn net.Conn, reader *bufio.Reader) {
	for answer(conn, reader, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok") {
	}
}

func request(id string) *http.Request {
	return &http.Request{
		Method: http.MethodPost, Host: "h", URL: &url.URL{Opaque: "/a%2Fb?c"}, ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{"Id": {id}}, Body: io.NopCloser(strings.NewReader("body")), ContentLength: 4,
	}
}

var _ = Describe("An address", func() {
	It("is reported as listening, not listening or unknown", func() {
		p := exchanger.NewPool(exchanger.Settings{})
		DeferCleanup(p.Close)
		s := serve(serveNormally)
		Expect(p.IsListening(context.Background(), s.address())).To(BeTrue())
		Expect(s.network.Close()).To(Succeed())
		Expect(p.IsListening(context.Background(), s.address())).To(BeFalse())
		unanswered := exchanger.NewPool(exchanger.Settings{Dial: func(context.Context, string) (net.Conn, error) { return nil, syscall.ETIMEDOUT }})
		DeferCleanup(unanswered.Close)
		_, err := unanswered.IsListening(context.Background(), s.address())
		Expect(err).To(HaveOccurred())
	})

	It("is checked by an idle connection if there is one", func() {
		p := exchanger.NewPool(exchanger.Settings{})
		DeferCleanup(p.Close)
		s := serve(serveNormally)
		conn, err := p.Get(context.Background(), s.address())
		Expect(err).NotTo(HaveOccurred())
		response, err := conn.Exchange(request("1"), hasID("1"))
		Expect(err).NotTo(HaveOccurred())
		_, err = io.Copy(io.Discard, response.Body)
		Expect(err).NotTo(HaveOccurred())
		conn.Finish(response, 0)
		Expect(p.IsListening(context.Background(), s.address())).To(BeTrue())
		Expect(s.accepted).To(HaveLen(1), "no second connection")
		again, err := p.Get(context.Background(), s.address())
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(BeIdenticalTo(conn))
		again.Abort()
	})
})

func hasID(id string) func(http.Header) bool {
	return func(h http.Header) bool { return h.Get("Id") == id }
}

// exchange sends a request over a connection of the pool and reads its answer.
func exchange(p *exchanger.Pool, address, id string) (string, *exchanger.Conn, error) {
	conn, err := p.Get(context.Background(), address)
	if err != nil {
		return "", nil, err
	}
	response, err := conn.Exchange(request(id), hasID(id))
	if err != nil {
		return "", conn, err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		conn.Abort()
		return "", conn, err
	}
	conn.Finish(response, 0)
	return string(body), conn, nil
}

var _ = Describe("An exchange", func() {
	newPool := func() *exchanger.Pool {
		p := exchanger.NewPool(exchanger.Settings{})
		DeferCleanup(p.Close)
		return p
	}

	It("leaves the path unchanged and reuses its connection", func() {
		paths := make(chan string, 2)
		s := serve(func(conn net.Conn, reader *bufio.Reader) {
			for {
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				paths <- r.RequestURI
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok", r.Header.Get("Id"))
			}
		})
		p := newPool()
		for i := range 2 {
			body, conn, err := exchange(p, s.address(), fmt.Sprint(i))
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal("ok"))
			Expect(conn.Reused()).To(BeTrue())
			Expect(<-paths).To(Equal("/a%2Fb?c"))
		}
		Expect(s.accepted).To(HaveLen(1))
	})

	It("skips a late second answer to an earlier request", func() {
		// Guards against a caller receiving another caller's answer. A backend server
		// answers a request twice, and the second answer arrives after the next request
		// was sent on the connection. Matching answers by their order alone is wrong.
		s := serve(func(conn net.Conn, reader *bufio.Reader) {
			answer(conn, reader, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 3\r\n\r\none")
			answer(conn, reader, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 3\r\n\r\none",
				"HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 3\r\n\r\ntwo")
		})
		p := newPool()
		_, _, err := exchange(p, s.address(), "1")
		Expect(err).NotTo(HaveOccurred())
		body, _, err := exchange(p, s.address(), "2")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("two"))
	})

	// Guards against an interim answer that is taken for the final one: the caller received an
	// empty, complete answer.
	It("skips interim answers", func() {
		s := serve(func(conn net.Conn, reader *bufio.Reader) {
			answer(conn, reader, "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nId: %s\r\nLink: </a>\r\n\r\n",
				"HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 3\r\n\r\none")
		})
		body, _, err := exchange(newPool(), s.address(), "1")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("one"))
	})

	It("fails if the protocol is switched", func() {
		s := serve(func(conn net.Conn, reader *bufio.Reader) {
			answer(conn, reader, "HTTP/1.1 101 Switching Protocols\r\nId: %s\r\n\r\nbytes")
		})
		_, _, err := exchange(newPool(), s.address(), "1")
		Expect(err).To(MatchError(exchanger.ErrSent))
	})

	It("fails if only answers to other requests arrive", func() {
		foreign := strings.Repeat("HTTP/1.1 200 OK\r\nId: x\r\nContent-Length: 1\r\n\r\nx", 5)
		s := serve(func(conn net.Conn, reader *bufio.Reader) { answer(conn, reader, foreign) })
		_, _, err := exchange(newPool(), s.address(), "1")
		Expect(err).To(MatchError(exchanger.ErrAnswerMismatch))
	})

	It("doesn't reuse a connection that has received extra bytes", func() {
		// The bytes may arrive after the connection was checked. The server closes the
		// connection in this case; if it stayed open, the exchange and the test would
		// wait forever.
		s := serve(func(conn net.Conn, reader *bufio.Reader) {
			answer(conn, reader, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\n")
			_, _ = reader.ReadByte()
			_ = conn.Close()
		}, serveNormally)
		p := newPool()
		_, _, err := exchange(p, s.address(), "1")
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() (string, error) {
			body, _, err := exchange(p, s.address(), "2")
			return body, err
		}).Should(Equal("ok"))
	})

	It("doesn't send on a connection that the peer has closed", func() {
		// Guards against an unknown outcome of a call that may run only once, without
		// any failure in the system. A backend server closes an idle connection, and the
		// next request is sent on it unless the connection is checked first.
		closed := make(chan struct{})
		s := serve(func(conn net.Conn, reader *bufio.Reader) {
			answer(conn, reader, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok")
			_ = conn.Close()
			close(closed)
		}, serveNormally)
		p := newPool()
		_, _, err := exchange(p, s.address(), "1")
		Expect(err).NotTo(HaveOccurred())
		<-closed
		_, _, err = exchange(p, s.address(), "2")
		Expect(err).NotTo(HaveOccurred())
	})

	DescribeTable("that breaks is distinguished from one that was not sent",
		func(script func(conn net.Conn, reader *bufio.Reader), want error) {
			s := serve(script)
			_, _, err := exchange(newPool(), s.address(), "1")
			Expect(err).To(MatchError(want))
		},
		Entry("closed without an answer", func(conn net.Conn, reader *bufio.Reader) {
			_, _ = http.ReadRequest(reader)
			_ = conn.Close()
		}, exchanger.ErrSent),
		Entry("answered by something other than HTTP", func(conn net.Conn, reader *bufio.Reader) {
			answer(conn, reader, "SSH-2.0-x\r\n\r\n")
			_ = conn.Close()
		}, exchanger.ErrSent),
	)

	It("to an address without a listener was not sent", func() {
		s := serve(serveNormally)
		address := s.address()
		Expect(s.network.Close()).To(Succeed())
		_, _, err := exchange(newPool(), address, "1")
		Expect(err).To(MatchError(exchanger.ErrNotSent))
	})

	It("doesn't treat a truncated answer as complete", func() {
		s := serve(func(conn net.Conn, reader *bufio.Reader) {
			answer(conn, reader, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 9\r\n\r\nok")
			_ = conn.Close()
		})
		_, _, err := exchange(newPool(), s.address(), "1")
		Expect(err).To(HaveOccurred())
	})

	It("takes an answer without a body for whole", func() {
		// Guards against an answer to HEAD that is taken for a broken stream, since it states
		// the type of one and neither a length nor chunks.
		s := serve(func(conn net.Conn, reader *bufio.Reader) {
			for answer(conn, reader, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\n\r\n") {
			}
		})
		p := newPool()
		for range 2 {
			conn, err := p.Get(context.Background(), s.address())
			Expect(err).NotTo(HaveOccurred())
			head := request("1")
			head.Method, head.Body, head.ContentLength = http.MethodHead, nil, 0
			response, err := conn.Exchange(head, hasID("1"))
			Expect(err).NotTo(HaveOccurred())
			_, err = io.Copy(io.Discard, response.Body)
			Expect(err).NotTo(HaveOccurred())
			conn.Finish(response, 0)
		}
		Expect(s.accepted).To(HaveLen(1), "the connection is used again")
	})

	It("ends when it is aborted", func() {
		s := serve(func(_ net.Conn, reader *bufio.Reader) { _, _ = io.Copy(io.Discard, reader) })
		p := newPool()
		conn, err := p.Get(context.Background(), s.address())
		Expect(err).NotTo(HaveOccurred())
		ended := make(chan error, 1)
		go func() {
			_, err := conn.Exchange(request("1"), hasID("1"))
			ended <- err
		}()
		<-s.accepted
		conn.Abort()
		Expect(<-ended).To(HaveOccurred())
		Expect(p.Connections(s.address())).To(BeZero())
	})

	It("that is aborted leaves no undelivered bytes", func() {
		// Guards against a request that a backend server reads seconds after the caller
		// disconnected. The host of the backend server stalls before it has read the
		// request, the caller disconnects, and the host resumes. If the connection is
		// closed instead of reset, the written bytes are still delivered.
		ended := make(chan error, 1)
		woken := make(chan struct{})
		s := serve(func(conn net.Conn, _ *bufio.Reader) {
			<-woken
			_, err := io.Copy(io.Discard, conn)
			ended <- err
		})
		conn, err := newPool().Get(context.Background(), s.address())
		Expect(err).NotTo(HaveOccurred())
		<-s.accepted
		go func() { _, _ = conn.Exchange(request("1"), hasID("1")) }()
		conn.Abort()
		close(woken)
		Eventually(ended).Should(Receive(MatchError(syscall.ECONNRESET)))
	})

	It("doesn't use a connection after its idle limit", func() {
		now := time.Unix(0, 0)
		s := serve(serveNormally)
		p := exchanger.NewPool(exchanger.Settings{Now: func() time.Time { return now }})
		DeferCleanup(p.Close)
		_, _, err := exchange(p, s.address(), "1")
		Expect(err).NotTo(HaveOccurred())
		now = now.Add(exchanger.DefaultIdleLimit)
		_, conn, err := exchange(p, s.address(), "2")
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.Reused()).To(BeTrue())
		Expect(s.accepted).To(HaveLen(2))
	})
})
