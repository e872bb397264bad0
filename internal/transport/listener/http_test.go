package listener_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"marigoldpoint.example/marigoldpoint/internal/transport/listener"
)

func TestListener(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(20 * time.Second)
	RunSpecs(t, "Listener")
}

// heldListener accepts heldConns.
type heldListener struct {
	net.Listener
	conns chan *heldConn
}

func (l *heldListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	h := &heldConn{Conn: c, idle: make(chan struct{}), read: make(chan struct{}), disturbed: make(chan struct{})}
	l.conns <- h
	return h, nil
}

// heldConn is a connection on which the bytes of the second request have been read, and
// are handed on only once somebody has disturbed the connection.
type heldConn struct {
	net.Conn
	requests int
	// idle is closed when the server waits for the second request, and reads no single byte
	// beside its handler any more.
	idle    chan struct{}
	waiting sync.Once
	// read is closed when the bytes have been read.
	read      chan struct{}
	once      sync.Once
	disturbed chan struct{}
}

func (h *heldConn) Read(p []byte) (int, error) {
	if len(p) > 1 && h.requests == 1 {
		h.waiting.Do(func() { close(h.idle) })
	}
	n, err := h.Conn.Read(p)
	if n > 1 {
		if h.requests++; h.requests == 2 {
			close(h.read)
			<-h.disturbed
		}
	}
	return n, err
}

func (h *heldConn) disturb() { h.once.Do(func() { close(h.disturbed) }) }

func (h *heldConn) Close() error {
	h.disturb()
	return h.Conn.Close()
}

func (h *heldConn) SetReadDeadline(t time.Time) error {
	select {
	case <-h.read:
		if !t.IsZero() && t.Before(time.Now()) {
			h.disturb()
		}
	default:
	}
	return h.Conn.SetReadDeadline(t)
}

func newServer(network net.Listener, handler http.HandlerFunc) *listener.HTTP {
	h := listener.NewHTTP(network, handler, listener.Limits{}, zerolog.Nop())
	DeferCleanup(h.Close)
	return h
}

func listen() net.Listener {
	GinkgoHelper()
	network, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	return network
}

// client is one connection.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func connect(address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(context.Background(), "tcp", address)
}

func dial(address string) *client {
	GinkgoHelper()
	c, err := connect(address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = c.Close() })
	// An answer that does not come fails the spec that waits for it.
	Expect(c.SetReadDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
	return &client{Conn: c, reader: bufio.NewReader(c)}
}

func (c *client) send() {
	GinkgoHelper()
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	Expect(err).NotTo(HaveOccurred())
}

func (c *client) receive() *http.Response {
	GinkgoHelper()
	answer, err := http.ReadResponse(c.reader, nil)
	Expect(err).NotTo(HaveOccurred())
	_, err = io.Copy(io.Discard, answer.Body)
	Expect(err).NotTo(HaveOccurred())
	return answer
}

func answer(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }

var _ = Describe("A planned stop of HTTP", func() {
	It("answers the request that is read in that moment", func() {
		// Symptom: one call in thousands is cut at a planned stop: it reaches its
		// backend server, and its connection ends in the same moment.
		// Events: a request on a kept connection has been read, and the server has
		// not noticed it yet; the stop closes the connections that are idle.
		// Cause: the connection still counted as idle.
		held := &heldListener{Listener: listen(), conns: make(chan *heldConn, 1)}
		h := newServer(held, answer)
		c := dial(h.Address())
		c.send()
		c.receive()
		conn := <-held.conns
		<-conn.idle
		c.send()
		<-conn.read
		stopped := make(chan error, 1)
		go func() { stopped <- h.Shutdown(context.Background()) }()
		Expect(c.receive().Close).To(BeTrue())
		Eventually(stopped).Should(Receive(BeNil()))
	})

	It("ends idle connections, and streams with their end", func() {
		next := make(chan struct{})
		h := newServer(listen(), func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, "one")
			_ = http.NewResponseController(w).Flush()
			select {
			case <-next:
				_, _ = io.WriteString(w, "two")
			case <-r.Context().Done():
			}
		})
		busy := dial(h.Address())
		busy.send()
		streamed, err := http.ReadResponse(busy.reader, nil)
		Expect(err).NotTo(HaveOccurred())
		stopped := make(chan error, 1)
		go func() { stopped <- h.Shutdown(context.Background()) }()
		Eventually(func() error {
			refused, err := connect(h.Address())
			if err == nil {
				_ = refused.Close()
			}
			return err
		}).Should(HaveOccurred())
		close(next)
		body, err := io.ReadAll(streamed.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal("onetwo"))
		Eventually(stopped).Should(Receive(BeNil()))
		_, err = busy.reader.ReadByte()
		Expect(err).To(MatchError(io.EOF))
	})

	It("that is announced still accepts, for one answer each", func() {
		h := newServer(listen(), answer)
		before := dial(h.Address())
		before.send()
		before.receive()
		h.DisableKeepAlives()
		_, err := before.reader.ReadByte()
		Expect(err).To(MatchError(io.EOF))
		after := dial(h.Address())
		after.send()
		Expect(after.receive().Close).To(BeTrue())
		Expect(h.Shutdown(context.Background())).To(Succeed())
	})

	It("that is announced in the middle of an answer ends its connection after it", func() {
		// Symptom: a caller goes on sending to an entry that has announced its stop, over
		// a connection that it kept; a spec that waits for the connection's end hangs.
		// Sequence: an answer is written, whole, when the stop is announced; its handler
		// returns a moment later, and the connection becomes idle.
		// Cause: idle connections were ended at the announcement alone, and this one was
		// still at work then; its answer had no "Connection: close". Seen in a whole
		// .ci/run beside others: the caller had its answer, and waited 20 s for the end.
		told := make(chan struct{})
		h := newServer(listen(), func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "3")
			_, _ = io.WriteString(w, "one")
			_ = http.NewResponseController(w).Flush()
			<-told
		})
		c := dial(h.Address())
		c.send()
		c.receive()
		h.DisableKeepAlives()
		close(told)
		_, err := c.reader.ReadByte()
		Expect(err).To(MatchError(io.EOF))
	})

	It("ends with its time, and what is left with Close", func() {
		reached := make(chan struct{})
		h := newServer(listen(), func(_ http.ResponseWriter, r *http.Request) {
			close(reached)
			<-r.Context().Done()
		})
		c := dial(h.Address())
		c.send()
		<-reached
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(h.Shutdown(ctx)).To(MatchError(context.Canceled))
		Expect(h.Close()).To(Succeed())
		_, err := c.reader.ReadByte()
		Expect(err).To(HaveOccurred())
	})
})
