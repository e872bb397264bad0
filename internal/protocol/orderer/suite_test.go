package orderer_test

import (
	"context"
	"flag"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
	"marigoldpoint.example/marigoldpoint/internal/standin/generator"
)

func init() { _ = flag.Set("rapid.seed", "1") }

func TestOrderer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "orderer")
}

// pipeListener is a listener whose connections are pipes, so that goroutines waiting on
// them are durably blocked in a synctest bubble and its time can advance.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
	// refusing makes dialing fail, as on a host whose engine has stopped.
	refusing atomic.Bool
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (m *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-m.conns:
		return c, nil
	case <-m.closed:
		return nil, net.ErrClosed
	}
}

func (m *pipeListener) Close() error {
	m.once.Do(func() { close(m.closed) })
	return nil
}

func (m *pipeListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1} }

func (m *pipeListener) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
	if m.refusing.Load() {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	near, far := net.Pipe()
	select {
	case m.conns <- far:
		return near, nil
	case <-m.closed:
		return nil, &net.OpError{Op: "dial", Err: net.ErrClosed}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

const adapter = "titles/chain@3"

// pair is an engine and a client connected to it.
type pair struct {
	engine   *generator.Engine
	client   *orderer.Engine
	listener *pipeListener
}

// newPair starts an engine on which adapter is resident.
func newPair(t *testing.T, s generator.Settings) pair {
	t.Helper()
	p := pair{engine: generator.NewEngine(s), listener: newPipeListener()}
	p.engine.Serve(p.listener)
	p.client = orderer.NewEngine(orderer.Settings{Address: "127.0.0.1:1", Dial: p.listener.Dial})
	t.Cleanup(func() {
		p.client.Close()
		_ = p.engine.Close()
	})
	NewWithT(t).Expect(p.client.Load(t.Context(), 1, adapter, adapter)).To(Succeed())
	return p
}

// answer collects the pieces of one answer.
type answer struct {
	text  string
	last  int64
	done  bool
	usage *orderer.Usage
}

func (a *answer) add(p orderer.Piece) error {
	a.text += p.Text
	a.last = p.Number
	a.done = a.done || p.Done
	if p.Usage != nil {
		a.usage = p.Usage
	}
	return nil
}

func call(request string) orderer.Call {
	return orderer.Call{Request: request, Model: adapter, Body: []byte(`{"prompt":"who owns it","max_tokens":50}`)}
}

var expectedText = generator.Expected(adapter, "who owns it", 50)

// sleep advances the time of a synctest bubble by length.
func sleep(t *testing.T, length time.Duration) {
	t.Helper()
	<-time.After(length)
}
