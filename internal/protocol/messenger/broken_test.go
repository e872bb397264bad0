package messenger_test

import (
	"context"
	"errors"
	"net"
	"testing"

	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// mute is a connection that can't be written to and gives nothing to read.
type mute struct{ net.Conn }

func (mute) Write([]byte) (int, error) { return 0, errors.New("no route") }

// Symptom: a stream whose connection broke ends as Unknown, or is run again
// elsewhere, although its companion is well and has the rest.
// Sequence: a call learns that its connection broke; the caller asks the pool for
// another one and is given the same; that fails too, at once.
// Cause: calls learnt it before Done was closed, or Done was not closed at all.
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
	c := messenger.NewConn(mute{near}, messenger.Settings{})
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
		g.Expect(ended(c)).To(BeTrue(), "after the other end closed")
		g.Expect(c.Close()).To(Succeed())
	}
}
