package messenger_test

import (
	"context"
	"errors"
	"net"
	"testing"

	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// deadConn is a connection on which every write fails and nothing can be read.
type deadConn struct{ net.Conn }

func (deadConn) Write([]byte) (int, error) { return 0, errors.New("no route") }

// TestBrokenCallFindsDoneClosed guards against a stream that ends as Unknown, or runs
// again elsewhere, after its connection broke although its companion is healthy and
// holds the rest of the answer. A call returned the connection error before Done was
// closed, or Done was never closed, so the pool handed out the same broken connection
// again and the next call failed immediately.
func TestBrokenCallFindsDoneClosed(t *testing.T) {
	g := NewWithT(t)
	ended := func(c *messenger.Conn) bool {
		select {
		case <-c.Done():
			return true
		default:
			return false
		}
	}
	near, far := net.Pipe()
	defer far.Close()
	c := messenger.NewConn(deadConn{near}, messenger.Settings{})
	var broken *messenger.BrokenError
	g.Expect(errors.As(c.Call(context.Background(), messenger.MethodResume, messenger.Resume{}, nil), &broken)).To(BeTrue())
	g.Expect(ended(c)).To(BeTrue(), "after a failed write")
	g.Expect(c.Close()).To(Succeed())

	const rounds = 2000
	for range rounds {
		near, far := net.Pipe()
		c := messenger.NewConn(near, messenger.Settings{})
		go func() {
			_, _ = far.Read(make([]byte, 1))
			_ = far.Close()
		}()
		err := c.Call(context.Background(), messenger.MethodResume, messenger.Resume{}, nil)
		g.Expect(errors.As(err, &broken)).To(BeTrue())
		g.Expect(ended(c)).To(BeTrue(), "after the peer closed")
		g.Expect(c.Close()).To(Succeed())
	}
}
