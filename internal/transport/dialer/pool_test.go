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

// forgetful is a connection which, once forgotten, swallows what is written to
// it, as after a middle box lost track of it.
type forgetful struct {
	net.Conn
	forgotten atomic.Bool
}

func (f *forgetful) Write(b []byte) (int, error) {
	if f.forgotten.Load() {
		return len(b), nil
	}
	return f.Conn.Write(b)
}

// host answers dials with pipes, or refuses them.
type host struct {
	boxes   []*forgetful
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
	box := &forgetful{Conn: far}
	h.boxes = append(h.boxes, box)
	h.far = append(h.far, messenger.NewConn(box, messenger.Settings{})) //nolint:contextcheck // The connection outlives its dial.
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

// Symptom: after a middle box lost its table an entry refuses calls for more than
// two seconds, although new connections work. Sequence: all connections go silent;
// each new call is given to one of them and waits for the silence limit. Cause: the
// pool gave out connections on which heartbeats were missing already.
func TestSuspectConnectionIsReplacedForNewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		h := &host{}
		p := newPool(h)
		first, err := p.Conn(context.Background(), address)
		g.Expect(err).NotTo(HaveOccurred())
		<-time.After(time.Minute)
		same, err := p.Conn(context.Background(), address)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(same).To(BeIdenticalTo(first), "heartbeats keep it")

		h.boxes[0].forgotten.Store(true)
		<-time.After(3 * messenger.DefaultHeartbeatInterval)
		second, err := p.Conn(context.Background(), address)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(second).NotTo(BeIdenticalTo(first))
		g.Expect(first.Done()).NotTo(BeClosed(), "what was sent on it may still be answered")
		<-time.After(messenger.DefaultSilenceLimit)
		g.Expect(first.Done()).To(BeClosed())
		g.Expect(second.Done()).NotTo(BeClosed())
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
