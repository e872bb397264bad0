package controller_test

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/coordination/replicator"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/transport/controller"
	"marigoldpoint.example/marigoldpoint/internal/transport/listener"
	"marigoldpoint.example/marigoldpoint/internal/transport/subscriber"
)

// followerLog is a replicated log whose leader is another host.
type followerLog struct {
	leader    replicator.Member
	formation uint64
}

func (f followerLog) Propose(context.Context, []byte) (uint64, any, error) {
	return 0, nil, replicator.ErrNotLeader{Leader: f.leader}
}
func (followerLog) Deliver(replicator.Message)          {}
func (followerLog) ReadBarrier(context.Context) error   { return replicator.ErrNotLeader{} }
func (followerLog) LeaseValid() bool                    { return false }
func (followerLog) LeaderContact() time.Duration        { return 0 }
func (f followerLog) Leader() (replicator.Member, bool) { return f.leader, true }
func (f followerLog) Status() replicator.Status {
	return replicator.Status{Formation: f.formation, Leader: f.leader.ID, Members: []replicator.Member{f.leader}}
}
func (followerLog) AddMember(context.Context, replicator.Member) error    { return nil }
func (followerLog) RemoveMember(context.Context, replicator.HostID) error { return nil }
func (followerLog) TransferLeadership(context.Context) error              { return nil }
func (followerLog) Close() error                                          { return nil }

// breakableListener is a listener whose connections the test can break.
type breakableListener struct {
	net.Listener

	mu sync.Mutex
	// conns holds the open connections; guarded by mu.
	conns []net.Conn
}

func (b *breakableListener) Accept() (net.Conn, error) {
	conn, err := b.Listener.Accept()
	if err != nil {
		return nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.conns = append(b.conns, conn)
	return conn, nil
}

func (b *breakableListener) breakAll() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.conns {
		c.Close()
	}
	b.conns = nil
}

// listen returns a listener on loopback. The caller closes it.
func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	return l
}

var _ = Describe("A control group that was formed again", func() {
	// Guards against comparing the revisions of two logs. A majority of the disks is
	// lost, and operators form a new group, whose revisions restart, without restarting
	// the entry. The entry holds a higher revision, so the new group never has a delta
	// for it; it would apply the rules of the lost group forever, and be ready.
	It("refuses a node of the old group", func() {
		start := func(l net.Listener, formation uint64) *controller.Control {
			c, err := controller.NewControl(controller.Settings{
				Node: "host", ID: 1, Listener: l, Log: zerolog.Nop(), Random: rand.New(rand.NewPCG(1, 1)),
				Control: configurer.ControlSettings{Listen: l.Addr().String(), Group: "test"},
				Open: func(replicator.Settings, *storer.Store, replicator.Transport) (controller.ReplicatedLog, error) {
					return followerLog{formation: formation}, nil
				},
			})
			Expect(err).NotTo(HaveOccurred())
			c.Start()
			return c
		}
		l := listen()
		address := l.Addr().String()
		g := &group{hosts: []configurer.ControlHost{{ID: 1, Address: address, FailureDomain: "d1", Region: "r"}}}
		g.network.cut, g.network.open = make(map[string]bool), make(map[string][]net.Conn)
		events := recorder.NewRecorder(recorder.Settings{Node: "entry"})
		old := start(l, 1)
		entry := g.node("entry", "d1", distributor.ScopeEntry, func(s *subscriber.Settings) { s.Recorder = events })
		DeferCleanup(entry.Close)
		Eventually(entry.Host, eventuallyTimeout).Should(Equal(address))
		Expect(old.Close()).To(Succeed())
		again, err := net.Listen("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(start(again, 2).Close)
		Eventually(func() []recorder.Event { return events.Events("").Events }, eventuallyTimeout).
			Should(ContainElement(HaveField("Detail", ContainSubstring("formed anew"))))
		Expect(entry.Host()).To(BeEmpty())
	})
})

var _ = Describe("A forwarded change", func() {
	var proposals atomic.Int64
	var answer func() error
	var accepted *breakableListener
	var client *node

	// The node is connected to a follower, which forwards to a leader whose answers the
	// test determines.
	BeforeEach(func() {
		proposals.Store(0)
		accepted = &breakableListener{Listener: listen()}
		leads := listener.NewListener(accepted, messenger.Settings{Handler: messenger.HandlerFunc(
			func(_ context.Context, _ *messenger.Conn, m messenger.Method, _ json.RawMessage) (any, error) {
				if m != messenger.MethodPropose {
					return nil, nil
				}
				proposals.Add(1)
				return distributor.Proposed{}, answer()
			},
		)})
		DeferCleanup(leads.Close)
		own := listen()
		g := &group{hosts: []configurer.ControlHost{{ID: 1, Address: own.Addr().String(), FailureDomain: "d1", Region: "r"}}}
		g.network.cut, g.network.open = make(map[string]bool), make(map[string][]net.Conn)
		c, err := controller.NewControl(controller.Settings{
			Node: "follower", ID: 1, Hosts: g.hosts, Listener: own, Log: zerolog.Nop(),
			Control: configurer.ControlSettings{Listen: own.Addr().String(), Group: "test"},
			Random:  rand.New(rand.NewPCG(1, 1)),
			Open: func(replicator.Settings, *storer.Store, replicator.Transport) (controller.ReplicatedLog, error) {
				return followerLog{leader: replicator.Member{ID: 2, Address: leads.Address(), Voter: true}}, nil
			},
		})
		Expect(err).NotTo(HaveOccurred())
		c.Start()
		DeferCleanup(c.Close)
		client = g.node("entry", "d1", distributor.ScopeEntry, func(s *subscriber.Settings) { s.CallTimeout = time.Second })
		DeferCleanup(client.Close)
	})

	put := func(key string) error {
		_, err := client.Propose(context.Background(), storer.Envelope{
			IdempotencyKey: key,
			Command: storer.PutResource{Resource: storer.Resource{
				Kind: storer.KindWorkspace, Metadata: storer.Metadata{Workspace: "w", Name: "w"}, Spec: storer.WorkspaceSpec{},
			}},
		})
		return err
	}

	// Guards against treating a lost answer as a refusal. The follower forwards a change,
	// the leader accepts it, and the connection between them breaks before the answer; a
	// change reported as not accepted would be in force later.
	It("has an unknown outcome, and is not resent, if the answer was lost", func() {
		answer = func() error {
			accepted.breakAll()
			return nil
		}
		Expect(put("")).To(MatchError(subscriber.ErrOutcomeUnknown))
		Expect(proposals.Load()).To(BeEquivalentTo(1))
	})

	It("is resent with its idempotency key until it is answered", func() {
		answer = func() error {
			if proposals.Load() < 3 {
				accepted.breakAll()
			}
			return nil
		}
		Expect(put("key")).To(Succeed())
		Expect(proposals.Load()).To(BeEquivalentTo(3))
	})

	It("is certainly not accepted if the leader keeps refusing it", func() {
		answer = func() error { return messenger.NewRefusal(messenger.ReasonNotLeader, "") }
		Expect(put("")).To(MatchError(subscriber.ErrNotAccepted))
	})

	It("keeps its unknown outcome although the last attempt was refused", func() {
		answer = func() error {
			if proposals.Load() == 1 {
				accepted.breakAll()
				return nil
			}
			return messenger.NewRefusal(messenger.ReasonNotLeader, "")
		}
		Expect(put("key")).To(MatchError(subscriber.ErrOutcomeUnknown))
	})
})
