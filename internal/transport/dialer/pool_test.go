package dialer_test

import (
	"context"
	"math/rand/v2"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/transport/dialer"
)

// host answers dials with pipes, or refuses them.
type host struct {
	dials   int
	refuses bool
	far     []*messenger.Conn
}

func (h *host) dial(context.Context, string) (net.Conn, error) {
	h.dials++
	if h.refuses {
		return nil, errors.New("refused")
	}
	near, far := net.Pipe()
	h.far = append(h.far, messenger.NewConn(far, messenger.Settings{})) //nolint:contextcheck // The connection outlives its dial.
	return near, nil
}

func (h *host) close() {
	for _, c := range h.far {
		_ = c.Close()
	}
}

const address = "127.0.0.1:1"

func newPool(h *host) *dialer.Pool {
	return dialer.NewPool(dialer.Settings{Dial: h.dial, Random: rand.New(rand.NewPCG(1, 2))})
}

// Symptom: requests to a host that is down each wait for a dial of their own, and
// the host is met by a storm of dials when it returns. Sequence: the host goes
// down; many requests name it. Cause: no memory of the failed dial.
func TestFailedDialIsNotRepeatedDuringBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := &host{refuses: true}
		p := newPool(h)
		for range 100 {
			_, err := p.Conn(context.Background(), address)
			var not *dialer.NotConnectedError
			g.Expect(errors.As(err, &not)).To(BeTrue())
		}
		g.Expect(h.dials).To(Equal(1))

		<-time.After(2 * dialer.DefaultBackOffInitial)
		h.refuses = false
		_, err := p.Conn(context.Background(), address)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(p.Close()).To(Succeed())
		h.close()
	})
}

// Symptom: a control host that has returned stays behind for seconds. Sequence: it
// is down for long, and each failed dial doubles the pause; it returns just after
// one. Cause: the pause was bounded by what suits many callers, and not by how long
// one peer may be missed.
func TestReturnedHostIsReachedWithinTheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const bound = 250 * time.Millisecond
		h := &host{refuses: true}
		p := dialer.NewPool(dialer.Settings{Dial: h.dial, Random: rand.New(rand.NewPCG(1, 2)), BackOffMax: bound})
		for range 600 {
			_, err := p.Conn(context.Background(), address)
			g.Expect(err).To(HaveOccurred())
			<-time.After(100 * time.Millisecond)
		}
		g.Expect(h.dials).To(BeNumerically(">", 100))
		h.refuses = false
		<-time.After(bound + bound/2)
		_, err := p.Conn(context.Background(), address)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(p.Close()).To(Succeed())
		h.close()
	})
}

// Symptom: a stream of several minutes is cut by the expiry of idle connections.
// Sequence: an entry dispatches, then only receives pieces. Cause: idleness was
// counted from the last use of the pool rather than from the last message.
func TestIdleExpirySparesConnectionsAtWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := &host{}
		p := newPool(h)
		c, err := p.Conn(context.Background(), address)
		g.Expect(err).NotTo(HaveOccurred())
		for range 10 {
			<-time.After(dialer.DefaultIdleLimit / 2)
			g.Expect(h.far[0].Notify(context.Background(), messenger.MethodPiece, messenger.Piece{})).To(Succeed())
		}
		g.Expect(c.Done()).NotTo(BeClosed())
		<-time.After(2 * dialer.DefaultIdleLimit)
		g.Expect(c.Done()).To(BeClosed())
		g.Expect(p.Close()).To(Succeed())
		h.close()
	})
}
