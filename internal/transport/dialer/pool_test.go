package dialer_test

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/transport/dialer"
)

// droppable is a connection that can be made to drop all writes, as when a middlebox
// has lost track of it.
type droppable struct {
	net.Conn
	dropping atomic.Bool
}

func (f *droppable) Write(b []byte) (int, error) {
	if f.dropping.Load() {
		return len(b), nil
	}
	return f.Conn.Write(b)
}

// fakeHost answers dials with pipes, or refuses them.
type fakeHost struct {
	boxes   []*droppable
	dials   int
	refuses bool
	far     []*messenger.Conn
}

func (h *fakeHost) dial(context.Context, string) (net.Conn, error) {
	h.dials++
	if h.refuses {
		return nil, errors.New("refused")
	}
	near, far := net.Pipe()
	box := &droppable{Conn: far}
	h.boxes = append(h.boxes, box)
	h.far = append(h.far, messenger.NewConn(box, messenger.Settings{})) //nolint:contextcheck // The connection outlives its dial.
	return near, nil
}

func (h *fakeHost) close() {
	for _, c := range h.far {
		_ = c.Close()
	}
}

const address = "127.0.0.1:1"

func newPool(h *fakeHost) *dialer.Pool {
	return dialer.NewPool(dialer.Settings{Dial: h.dial, Random: rand.New(rand.NewPCG(1, 2))})
}

// Guards against requests to a host that is down that each wait for a dial of their
// own, and against a storm of dials when the host returns: failed dials were not
// remembered.
func TestFailedDialIsNotRepeatedDuringBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := &fakeHost{refuses: true}
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

// Guards against an entry that refuses calls for more than two seconds after a
// middlebox lost its table, although new connections work: all connections go silent,
// and the pool returned connections on which heartbeats were already missing, so that
// each new call waited for the silence limit.
func TestSuspectConnectionIsReplacedForNewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := &fakeHost{}
		p := newPool(h)
		first, err := p.Conn(context.Background(), address)
		g.Expect(err).NotTo(HaveOccurred())
		<-time.After(time.Minute)
		same, err := p.Conn(context.Background(), address)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(same).To(BeIdenticalTo(first), "heartbeats keep it open")

		h.boxes[0].dropping.Store(true)
		<-time.After(3 * messenger.DefaultHeartbeatInterval)
		second, err := p.Conn(context.Background(), address)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(second).NotTo(BeIdenticalTo(first))
		g.Expect(first.Done()).NotTo(BeClosed(), "requests sent on it may still be answered")
		<-time.After(messenger.DefaultSilenceLimit)
		g.Expect(first.Done()).To(BeClosed())
		g.Expect(second.Done()).NotTo(BeClosed())
		g.Expect(p.Close()).To(Succeed())
		h.close()
	})
}

// Guards against a control host that lags behind for seconds after its return: it is
// down for a long time, each failed dial doubles the back-off, and it returns just
// after one. The maximum of the back-off suited many callers that share one address,
// but not how long a single peer may be missed.
func TestReturnedHostIsReachedWithinTheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const bound = 250 * time.Millisecond
		h := &fakeHost{refuses: true}
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

// Guards against closing the connection of a stream that lasts several minutes as idle:
// an entry dispatches, and then only receives pieces. Idleness was counted from the
// last use of the pool instead of the last message.
func TestIdleExpirySparesConnectionsAtWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := &fakeHost{}
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
