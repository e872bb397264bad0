package listener_test

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/transport/listener"
)

// failing is a listener whose first accepts fail.
type failing struct {
	net.Listener
	left atomic.Int64
}

func (f *failing) Accept() (net.Conn, error) {
	if f.left.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return f.Listener.Accept()
}

var _ = Describe("A listener whose accepts fail", func() {
	newFailing := func(times int64) *failing {
		network, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		f := &failing{Listener: network}
		f.left.Store(times)
		return f
	}

	// Guards against a process that nobody can reach any more, since its descriptors once ran out.
	It("accepts connections again", func() {
		f := newFailing(2)
		l := listener.NewListener(f, messenger.Settings{})
		DeferCleanup(l.Close)
		conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", l.Address())
		Expect(err).NotTo(HaveOccurred())
		c := messenger.NewConn(conn, messenger.Settings{})
		DeferCleanup(c.Close)
		var refusal *messenger.Refusal
		err = c.Call(context.Background(), messenger.MethodRelease, nil, nil)
		Expect(errors.As(err, &refusal)).To(BeTrue(), "%v", err)
	})

	It("closes while they fail", func() {
		l := listener.NewListener(newFailing(1<<40), messenger.Settings{})
		Expect(l.Close()).To(Succeed())
	})
})
