package subscriber

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/coordination/bucketer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

// host simulates a control host.
type host struct {
	mu sync.Mutex
	// conn is the node's connection; guarded by mu.
	conn *messenger.Conn
	// replyDelay is the delay of the answer to a report, and revision the revision that it
	// covers; guarded by mu.
	replyDelay time.Duration
	revision   uint64
	// spent is the sum of the reported costs; guarded by mu.
	spent float64
}

func (h *host) Handle(_ context.Context, c *messenger.Conn, m messenger.Method, params json.RawMessage) (any, error) {
	h.mu.Lock()
	h.conn = c
	replyDelay, revision := h.replyDelay, h.revision
	h.mu.Unlock()
	switch m {
	case messenger.MethodSubscribe:
		return distributor.Subscribed{Host: "h"}, nil
	case messenger.MethodReport:
		var r bucketer.Report
		if err := messenger.Decode(params, &r); err != nil {
			return nil, err
		}
		<-time.After(replyDelay)
		h.mu.Lock()
		defer h.mu.Unlock()
		a := bucketer.Answer{Revision: revision, Entries: 1}
		for i := range r.Uses {
			h.spent += r.Uses[i].Spent
			a.Levels = append(a.Levels, bucketer.Level{Workspace: r.Uses[i].Workspace, Tokens: 50 - h.spent})
		}
		return a, nil
	default:
		return nil, nil
	}
}

// connection returns the node's connection.
func (h *host) connection() *messenger.Conn {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.conn
}

func (h *host) setReply(replyDelay time.Duration, revision uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.replyDelay, h.revision = replyDelay, revision
}

// withClient runs a test of a client with one control host, on synthetic time.
func withClient(t *testing.T, test func(g *WithT, h *host, c *Client, index *tracker.Tracker)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		t.Helper()
		h := &host{}
		var served []*messenger.Conn
		index := tracker.NewTracker(tracker.Settings{Decode: func([]byte) (*tracker.Routing, error) { return &tracker.Routing{}, nil }})
		c := NewClient(Settings{
			Node: "n", Hosts: []configurer.ControlHost{{ID: 1, Address: "h"}}, Index: index,
			ConfigurationLease: 2 * time.Second, Keyed: func() bool { return true }, Random: rand.New(rand.NewPCG(1, 2)),
			Dial: func(context.Context, string) (net.Conn, error) {
				near, far := net.Pipe()
				served = append(served, messenger.NewConn(far, messenger.Settings{Handler: h})) //nolint:contextcheck // It outlives the dial.
				return near, nil
			},
		})
		test(NewWithT(t), h, c, index)
		if err := c.Close(); err != nil {
			t.Error(err)
		}
		for _, s := range served {
			_ = s.Close()
		}
	})
}

// TestConfirmedAgeIgnoresPulses guards against keys that are trusted because of a pulse
// that was delayed in a socket while the node was suspended.
func TestConfirmedAgeIgnoresPulses(t *testing.T) {
	withClient(t, func(g *WithT, h *host, c *Client, _ *tracker.Tracker) {
		<-time.After(time.Second)
		age, ok := c.ConfirmedAge()
		g.Expect(ok).To(BeTrue())
		g.Expect(age).To(BeNumerically("<=", DefaultReportInterval))

		h.setReply(time.Hour, 0)
		<-time.After(2 * time.Second)
		g.Expect(h.connection().Notify(context.Background(), messenger.MethodPulse, distributor.Pulse{Term: 1})).To(Succeed())
		synctest.Wait()
		g.Expect(c.LeaseValid()).To(BeTrue(), "the pulse arrived")
		age, _ = c.ConfirmedAge()
		g.Expect(age).To(BeNumerically(">=", 2*time.Second))
	})
}

// TestConfirmedAgeCountsFromRequest guards against an age that is counted from the answer
// instead of the request.
func TestConfirmedAgeCountsFromRequest(t *testing.T) {
	withClient(t, func(g *WithT, h *host, c *Client, _ *tracker.Tracker) {
		<-time.After(time.Second)
		h.setReply(500*time.Millisecond, 0)
		ctx, cancel := context.WithTimeout(context.Background(), time.Hour)
		defer cancel()
		<-time.After(DefaultReportInterval)
		g.Expect(c.AwaitReport(ctx)).To(BeTrue())
		age, _ := c.ConfirmedAge()
		g.Expect(age).To(Equal(500 * time.Millisecond))
	})
}

// TestConfirmedAgeNeedsAnsweredRevision guards against a node that trusts its keys although
// its replica lacks a change that the answer covers.
func TestConfirmedAgeNeedsAnsweredRevision(t *testing.T) {
	withClient(t, func(g *WithT, h *host, c *Client, index *tracker.Tracker) {
		h.setReply(0, 7)
		<-time.After(time.Second)
		_, ok := c.ConfirmedAge()
		g.Expect(ok).To(BeFalse())
		packed, err := distributor.Pack(distributor.Delta{Last: true, UpTo: 7, Changes: []storer.Change{}})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(h.connection().Notify(context.Background(), messenger.MethodDelta, packed)).To(Succeed())
		synctest.Wait()
		g.Expect(index.Revision()).To(Equal(uint64(7)))
		age, ok := c.ConfirmedAge()
		g.Expect(ok).To(BeTrue())
		g.Expect(age).To(BeNumerically("<=", time.Second))
	})
}

// TestQuotaUseIsReportedAgainAfterFailure guards against quota use that is lost with a
// report that got no answer.
func TestQuotaUseIsReportedAgainAfterFailure(t *testing.T) {
	withClient(t, func(g *WithT, h *host, c *Client, _ *tracker.Tracker) {
		limit := bucketer.Limit{Rate: 1, Burst: 50, Number: 1}
		g.Expect(c.Spend("w", limit, 10, 0).Unknown).To(BeTrue())
		<-time.After(time.Second)
		g.Expect(c.Spend("w", limit, 10, 0).Admitted).To(BeTrue())
		_ = h.connection().Close()
		<-time.After(3 * time.Second)
		h.mu.Lock()
		defer h.mu.Unlock()
		g.Expect(h.spent).To(BeEquivalentTo(10))
	})
}
