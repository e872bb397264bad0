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

// memory is a listener whose connections are pipes, so that time in a synctest
// bubble stands still only while something really works.
type memory struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
	// refusing makes connecting fail, as at a host whose engine is down.
	refusing atomic.Bool
}

func newMemory() *memory {
	return &memory{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (m *memory) Accept() (net.Conn, error) {
	select {
	case c := <-m.conns:
		return c, nil
	case <-m.closed:
		return nil, net.ErrClosed
	}
}

func (m *memory) Close() error {
	m.once.Do(func() { close(m.closed) })
	return nil
}

func (m *memory) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1} }

func (m *memory) Dial(ctx context.Context, _, _ string) (net.Conn, error) {
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

// pair is an engine and a client of it.
type pair struct {
	engine *generator.Engine
	client *orderer.Engine
	lines  *memory
}

// newPair starts an engine on which adapter is resident.
func newPair(t *testing.T, s generator.Settings) pair {
	t.Helper()
	p := pair{engine: generator.NewEngine(s), lines: newMemory()}
	p.engine.Serve(p.lines)
	p.client = orderer.NewEngine(orderer.Settings{Address: "127.0.0.1:1", Dial: p.lines.Dial})
	t.Cleanup(func() {
		p.client.Close()
		_ = p.engine.Close()
	})
	NewWithT(t).Expect(p.client.Load(t.Context(), 1, adapter, adapter)).To(Succeed())
	return p
}

// answer gathers the pieces of one answer.
type answer struct {
	text  string
	last  int64
	done  bool
	usage *orderer.Usage
}

func (a *answer) take(p orderer.Piece) error {
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

var whole = generator.Expected(adapter, "who owns it", 50)

// settle lets time pass in a synctest bubble.
func settle(t *testing.T, length time.Duration) {
	t.Helper()
	<-time.After(length)
}
