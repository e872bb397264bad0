package subscriber

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

const (
	simulatedLease = 2 * time.Second
	simulatedPulse = 250 * time.Millisecond
	// simulatedCheck is the time between two checks of the nodes.
	simulatedCheck = 50 * time.Millisecond
)

// simulatedHost is a control host that is reached by nodes and may lose the leader.
type simulatedHost struct {
	mu sync.Mutex
	// lostAt is when the host lost the leader; zero while it is in contact. Guarded by mu.
	lostAt time.Time
	// conns holds the open connections, true for those subscribed; guarded by mu.
	conns map[*messenger.Conn]bool
	// dials and subscriptions count those of all nodes; guarded by mu.
	dials, subscriptions int
}

// pulse returns the present pulse of the host.
func (h *simulatedHost) pulse() distributor.Pulse {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lostAt.IsZero() {
		return distributor.Pulse{Term: 1}
	}
	return distributor.Pulse{Term: 1, AgeMillis: time.Since(h.lostAt).Milliseconds()}
}

func (h *simulatedHost) Handle(_ context.Context, c *messenger.Conn, m messenger.Method, _ json.RawMessage) (any, error) {
	switch m {
	case messenger.MethodSubscribe:
		h.mu.Lock()
		defer h.mu.Unlock()
		h.conns[c] = true
		h.subscriptions++
		return distributor.Subscribed{Host: "h"}, nil
	case messenger.MethodFreshness:
		return h.pulse(), nil
	default:
		return nil, nil
	}
}

// run sends pulses to the subscribed nodes until stop is closed.
func (h *simulatedHost) run(stop <-chan struct{}) {
	ticker := time.NewTicker(simulatedPulse)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		p := h.pulse()
		h.mu.Lock()
		var subscribed []*messenger.Conn
		for c, is := range h.conns {
			if is && !c.Ended() {
				subscribed = append(subscribed, c)
			}
		}
		h.mu.Unlock()
		for _, c := range subscribed {
			_ = c.Notify(context.Background(), messenger.MethodPulse, p)
		}
	}
}

func (h *simulatedHost) lose() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lostAt = time.Now()
}

func (h *simulatedHost) recover() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lostAt = time.Time{}
}

// counts returns the numbers of dials and subscriptions at the hosts.
func counts(hosts []*simulatedHost) (dials, subscriptions int) {
	for _, h := range hosts {
		h.mu.Lock()
		dials, subscriptions = dials+h.dials, subscriptions+h.subscriptions
		h.mu.Unlock()
	}
	return dials, subscriptions
}

// withHosts runs a test of a node in failure domain d0 with n control hosts in failure
// domains of their own, on synthetic time. It calls test two seconds after the start.
func withHosts(t *testing.T, n int, seed uint64, test func(g *WithT, hosts []*simulatedHost, c *Client)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		t.Helper()
		stop := make(chan struct{})
		byAddress := make(map[string]*simulatedHost)
		var hosts []*simulatedHost
		var known []configurer.ControlHost
		for i := range n {
			h := &simulatedHost{conns: make(map[*messenger.Conn]bool)}
			k := configurer.ControlHost{ID: uint64(i + 1), Address: fmt.Sprint("h", i), FailureDomain: fmt.Sprint("d", i), Region: "r"}
			hosts, known, byAddress[k.Address] = append(hosts, h), append(known, k), h
			go h.run(stop)
		}
		index := tracker.NewTracker(tracker.Settings{Decode: func([]byte) (*tracker.Routing, error) { return &tracker.Routing{}, nil }})
		c := NewClient(Settings{
			Node: "n", Region: "r", FailureDomain: "d0", Hosts: known, Index: index, ConfigurationLease: simulatedLease,
			DialTimeout: 300 * time.Millisecond, ReturnInterval: 5 * time.Second, Random: rand.New(rand.NewPCG(seed, 2)),
			Dial: func(_ context.Context, address string) (net.Conn, error) {
				h := byAddress[address]
				near, far := net.Pipe()
				h.mu.Lock()
				defer h.mu.Unlock()
				h.dials++
				h.conns[messenger.NewConn(far, messenger.Settings{Handler: h})] = false //nolint:contextcheck // It outlives the dial.
				return near, nil
			},
		})
		defer func() {
			if err := c.Close(); err != nil {
				t.Error(err)
			}
			close(stop)
			for _, h := range hosts {
				for s := range h.conns {
					_ = s.Close()
				}
			}
		}()
		<-time.After(2 * time.Second)
		test(NewWithT(t), hosts, c)
	})
}

// expectFresh checks for a time that the node's replica is trusted.
func expectFresh(g *WithT, c *Client, d time.Duration) {
	g.THelper()
	for began := time.Now(); time.Since(began) < d; <-time.After(simulatedCheck) {
		age, known := c.Age()
		g.Expect(known).To(BeTrue())
		g.Expect(age).To(BeNumerically("<", simulatedLease), "at %s, %s after the start", c.Host(), time.Since(began))
	}
}

// TestFollowsMajority guards against a node that alternates between control hosts that have
// lost the leader and are still reached by it, while others are in contact.
func TestFollowsMajority(t *testing.T) {
	for _, s := range []struct {
		hosts, cut int
		// pause is the time between the losses of two hosts.
		pause time.Duration
	}{{5, 1, 0}, {5, 2, 0}, {5, 2, 700 * time.Millisecond}, {7, 3, 0}, {7, 3, 700 * time.Millisecond}, {10, 4, 0}, {10, 4, 300 * time.Millisecond}} {
		t.Run(fmt.Sprintf("%d of %d, %s apart", s.cut, s.hosts, s.pause), func(t *testing.T) {
			for seed := range uint64(10) {
				withHosts(t, s.hosts, seed, func(g *WithT, hosts []*simulatedHost, c *Client) {
					for i := range s.cut {
						hosts[i].lose()
						expectFresh(g, c, s.pause)
					}
					// Long enough for several attempts to return to the nearest host.
					expectFresh(g, c, 20*time.Second)
					for _, h := range hosts {
						h.recover()
					}
					<-time.After(10 * time.Second)
					g.Expect(c.Host()).To(Equal("h0"), "the nearest host is in contact again")
				})
			}
		})
	}
}

// TestStaysWithoutLeader guards against nodes that change hosts again and again while there
// is no leader, each time with a subscription.
func TestStaysWithoutLeader(t *testing.T) {
	withHosts(t, 5, 1, func(g *WithT, hosts []*simulatedHost, c *Client) {
		dials, subscriptions := counts(hosts)
		for _, h := range hosts {
			h.lose()
		}
		<-time.After(10 * time.Second)
		later, subscribed := counts(hosts)
		g.Expect(subscribed).To(Equal(subscriptions))
		g.Expect(later-dials).To(BeNumerically("<=", (len(hosts)-1)*10), "one search a half lease at most")
		for _, h := range hosts {
			h.recover()
		}
		<-time.After(2 * simulatedPulse)
		g.Expect(c.LeaseValid()).To(BeTrue())
	})
}
