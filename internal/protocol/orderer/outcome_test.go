package orderer_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
)

// scriptedPeer is a peer that treats each connection as its fields specify.
type scriptedPeer struct {
	// refuse makes connecting fail.
	refuse bool
	// cut is the number of bytes read before the connection is closed; -1 means that
	// the complete request is read.
	cut int
	// answer is written after a complete request was read, before the connection is
	// closed.
	answer string

	dials int
	// received is the number of bytes read on connections with a cut, plus the number of
	// complete requests; methods are the methods of the complete requests.
	received int
	methods  []string
}

func (s *scriptedPeer) dial(_ context.Context, _, _ string) (net.Conn, error) {
	s.dials++
	if s.refuse {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	go s.serve(far)
	return near, nil
}

func (s *scriptedPeer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if s.cut >= 0 {
		_ = conn.SetReadDeadline(time.Now().Add(time.Second)) // The request may be shorter.
		n, _ := io.ReadFull(conn, make([]byte, s.cut))
		s.received += n
		return
	}
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	s.received++
	s.methods = append(s.methods, r.Method)
	_, _ = io.WriteString(conn, s.answer)
}

func (s *scriptedPeer) settings() orderer.Settings {
	return orderer.Settings{Address: "127.0.0.1:1", Dial: s.dial}
}

// TestPropertyForwardOutcomeIsExact guards against a booking that is made although it was
// reported as not run, or that is made twice. The connection fails at any byte of the
// request or of the answer, and the call may have an idempotency key. By itself, net/http
// repeats calls with such a key, and its errors don't state whether a byte was sent.
func TestPropertyForwardOutcomeIsExact(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := &scriptedPeer{
			refuse: rapid.Bool().Draw(rt, "refuse"),
			cut:    rapid.OneOf(rapid.Just(-1), rapid.IntRange(0, 300)).Draw(rt, "cut"),
			answer: rapid.SampledFrom([]string{
				"", "HTTP/1.1 2", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
				"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
			}).Draw(rt, "answer"),
		}
		c := orderer.ServiceCall{Request: "r", Method: http.MethodPost, Target: "/bookings?x=1", Body: make([]byte, 100), Header: http.Header{}}
		if rapid.Bool().Draw(rt, "key") {
			c.Header.Set(orderer.HeaderIdempotencyKey, "k")
		}
		var err error
		synctest.Test(t, func(t *testing.T) {
			service := orderer.NewService(s.settings())
			defer service.Close()
			var a *orderer.ServiceAnswer
			if a, err = service.Forward(t.Context(), c); err == nil {
				_, err = io.ReadAll(a.Body)
				_ = a.Body.Close()
			}
			synctest.Wait()
		})
		ok := s.received > 0 && s.cut < 0 && strings.HasSuffix(s.answer, "0\r\n\r\n") || strings.HasSuffix(s.answer, "2\r\n\r\nok") && s.cut < 0
		switch {
		case s.dials != 1:
			rt.Fatalf("%d connections", s.dials)
		case s.received == 0 && !errors.Is(err, orderer.ErrNotRun):
			rt.Fatalf("nothing arrived, yet %v", err)
		case s.received > 0 && ok != (err == nil):
			rt.Fatalf("whole answer %v, yet %v", ok, err)
		case s.received > 0 && !ok && !errors.Is(err, orderer.ErrUnknown):
			rt.Fatalf("%d bytes arrived and no answer came, yet %v", s.received, err)
		}
	})
}

// TestEngineRefusals guards against a refusal that is treated as if the request might have
// run, or a failure that is treated as if it had not. The engine answers with each of its
// statuses; the outcome follows from the status only by the rules of the protocol.
func TestEngineRefusals(t *testing.T) {
	cases := []struct {
		answer string
		kinds  []error
	}{
		{"HTTP/1.1 503 Busy\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n", []error{orderer.ErrNotRun}},
		{"HTTP/1.1 404 N\r\n\r\n" + `{"error":{"type":"NotFoundError"}}`, []error{orderer.ErrNotRun, orderer.ErrNotResident}},
		{"HTTP/1.1 412 F\r\n\r\n", []error{orderer.ErrNotRun, orderer.ErrFenced}},
		{"HTTP/1.1 400 B\r\n\r\n" + `{"error":{"type":"NoSlotError"}}`, []error{orderer.ErrNotRun, orderer.ErrNoSlot}},
		{"HTTP/1.1 409 C\r\n\r\n", []error{orderer.ErrUnknown}},
		{"HTTP/1.1 500 E\r\n\r\n" + `{"error":{"type":"LoadFailedError"}}`, []error{orderer.ErrUnknown, orderer.ErrLoadFailed}},
		{"", []error{orderer.ErrUnknown}},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			s := &scriptedPeer{cut: -1, answer: c.answer}
			client := orderer.NewEngine(s.settings())
			defer client.Close()
			err := client.Load(t.Context(), 7, adapter, adapter)
			for _, kind := range c.kinds {
				g.Expect(errors.Is(err, kind)).To(BeTrue(), "%v for %q", err, c.answer)
			}
			g.Expect(errors.Is(err, orderer.ErrNotRun)).NotTo(Equal(errors.Is(err, orderer.ErrUnknown)))
			orders := slices.DeleteFunc(s.methods, func(method string) bool { return method == http.MethodGet })
			g.Expect(orders).To(Equal([]string{http.MethodPost}))
		})
	}
}

// TestGenerateIsSentOnce guards against a generation request that runs twice. The engine
// receives it and its connection repeatedly breaks before a byte of the answer was sent.
// After the first attempt only requests to resume by request id may follow.
func TestGenerateIsSentOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &scriptedPeer{cut: -1}
		client := orderer.NewEngine(s.settings())
		defer client.Close()
		err := client.Generate(t.Context(), call("r1"), (&answer{}).add)
		g.Expect(errors.Is(err, orderer.ErrUnknown)).To(BeTrue(), "%v", err)
		g.Expect(s.methods).To(Equal([]string{"POST", "GET", "GET", "GET", "GET"}))
	})
}

// TestCallerLeavesWhileConnecting guards against a call that was reported as not run and
// reaches the engine afterwards. The caller cancels while the connection is being opened,
// and the dialed connection outlives the call that requested it.
func TestCallerLeavesWhileConnecting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ready := make(chan struct{})
		s := &scriptedPeer{cut: -1}
		settings := s.settings()
		settings.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			<-ready
			return s.dial(ctx, network, address)
		}
		client := orderer.NewEngine(settings)
		defer client.Close()
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			synctest.Wait()
			cancel()
		}()
		err := client.Generate(ctx, call("r1"), (&answer{}).add)
		g.Expect(errors.Is(err, orderer.ErrNotRun)).To(BeTrue(), "%v", err)
		g.Expect(errors.Is(err, context.Canceled)).To(BeTrue(), "%v", err)
		close(ready)
		synctest.Wait()
		g.Expect(s.received).To(BeZero())
	})
}

// TestDyingReusedConnectionRepeatsNothing guards against a request that runs twice although
// its caller sent it once. A pooled connection receives the request and breaks, and by
// itself net/http resends a request with an Idempotency-Key on a new connection.
func TestDyingReusedConnectionRepeatsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var received []string
		settings := orderer.Settings{Address: "127.0.0.1:1"}
		settings.Dial = func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				defer func() { _ = far.Close() }()
				lines := bufio.NewReader(far)
				for answers := 1; ; answers-- {
					r, err := http.ReadRequest(lines)
					if err != nil {
						return
					}
					received = append(received, r.Header.Get(orderer.HeaderRequest))
					if answers == 0 || r.Header.Get(orderer.HeaderRequest) == "fatal" {
						return
					}
					_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
			}()
			return near, nil
		}
		service := orderer.NewService(settings)
		defer service.Close()
		c := orderer.ServiceCall{Method: http.MethodPost, Target: "/reviews", Header: http.Header{orderer.HeaderIdempotencyKey: {"k"}}}
		for _, request := range []string{"first", "fatal"} {
			c.Request = request
			c.Idempotent = request == "first" // Leaves a connection in the pool.
			a, err := service.Forward(t.Context(), c)
			if request == "first" {
				g.Expect(err).NotTo(HaveOccurred())
				_, _ = io.ReadAll(a.Body)
				g.Expect(a.Body.Close()).To(Succeed())
				continue
			}
			g.Expect(errors.Is(err, orderer.ErrUnknown)).To(BeTrue(), "%v", err)
		}
		g.Expect(received).To(Equal([]string{"first", "fatal"}))
	})
}
