package starter_test

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/protocol/announcer"
	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
	"marigoldpoint.example/marigoldpoint/internal/standin/generator"
	"marigoldpoint.example/marigoldpoint/internal/standin/responder"
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
	"marigoldpoint.example/marigoldpoint/internal/transport/starter"
)

// network hands out reserved loopback listeners, each of them once.
type network struct {
	mu       sync.Mutex
	reserved map[string]net.Listener
}

func (n *network) reserve() string {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = l.Close() })
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reserved[l.Addr().String()] = l
	return l.Addr().String()
}

func (n *network) listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.reserved[address], nil
}

var _ = Describe("a companion whose settings name no backend server", func() {
	var (
		n     *network
		hosts []configurer.ControlHost
	)

	start := func(c configurer.Settings) *starter.Process {
		GinkgoHelper()
		c.Region, c.FailureDomain, c.ControlHosts, c.Control.Group = "r", "d", hosts, "g"
		c = c.WithDefaults()
		checked := c
		checked.Companion.HeartbeatInterval = 0
		Expect(checked.Check()).To(BeEmpty())
		p, err := starter.NewProcess(starter.Settings{Configuration: c, Listen: n.listen, Seed: 1})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { Expect(p.Close()).To(Succeed()) })
		return p
	}
	companion := func(m configurer.CompanionSettings) (*starter.Process, announcer.Client) {
		GinkgoHelper()
		m.Listen = n.reserve()
		c := configurer.Settings{Node: "companion", Roles: []configurer.Role{configurer.RoleCompanion}, Companion: m}
		c.Operators.Listen = n.reserve()
		return start(c), announcer.Client{Companion: c.Operators.Listen, HTTP: &http.Client{}}
	}
	control := func() {
		GinkgoHelper()
		folder, err := os.MkdirTemp("", "starter")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(os.RemoveAll, folder)
		c := configurer.Settings{Node: "control", Roles: []configurer.Role{configurer.RoleControl}, DataFolder: folder}
		c.Control.Listen, c.Control.Bootstrap = hosts[0].Address, true
		c.Operators.Listen = n.reserve()
		start(c)
	}
	conflict := func(field string) OmegaMatcher {
		return And(HaveField("Reason", announcer.ReasonConflict), HaveField("Field", field))
	}

	BeforeEach(func() {
		n = &network{reserved: map[string]net.Listener{}}
		hosts = []configurer.ControlHost{{ID: 1, Address: n.reserve(), FailureDomain: "d", Region: "r"}}
	})

	It("joins with the engine that announced itself, and refuses any other", func(ctx SpecContext) {
		control()
		// The heartbeat interval exceeds all that the settings allow, so only the
		// announcement can make the companion notice the restart below.
		p, client := companion(configurer.CompanionSettings{
			ChecksFencing: true, HeartbeatInterval: configurer.Duration(time.Hour),
		})
		Expect(p.Ready()).To(BeFalse())
		engine := generator.NewEngine(generator.Settings{BaseModel: "m", Slots: 2, MaxBatch: 4, ChecksFencing: true, Seed: 1})
		DeferCleanup(engine.Close)
		address, err := engine.Listen("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		reader := orderer.NewEngine(orderer.Settings{Address: address})
		DeferCleanup(reader.Close)
		current := func(ctx context.Context) (announcer.Announcement, error) {
			s, err := reader.State(ctx)
			return announcer.Announcement{
				Address: address, BaseModel: s.BaseModel, ChecksFencing: s.ChecksFencing, Incarnation: s.Incarnation,
			}, err
		}

		repeating, stop := context.WithCancel(ctx)
		announced := make(chan error, 1)
		client.AnnouncePeriodically(repeating, time.Minute, current, func(err error) {
			announced <- err
			stop()
		})
		Expect(<-announced).To(Succeed())
		Eventually(ctx, p.Ready).Should(BeTrue())

		a, err := current(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(client.Announce(ctx, a)).To(Succeed())
		other := a
		other.Address = "127.0.0.1:1"
		Expect(client.Announce(ctx, other)).To(conflict(announcer.FieldAddress))
		other = a
		other.BaseModel = "other"
		Expect(client.Announce(ctx, other)).To(conflict(announcer.FieldBaseModel))

		engine.Restart()
		a, err = current(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(client.Announce(ctx, a)).To(Succeed())
		Eventually(ctx, func() []recorder.Event { return p.Recorder().Events("").Events }).Should(ContainElement(
			HaveField("Kind", recorder.KindEngineRestarted)))
	}, NodeTimeout(testTimeout))

	It("joins with the plain service that announced itself", func(ctx SpecContext) {
		control()
		p, client := companion(configurer.CompanionSettings{Kind: configurer.BackendKindService, ServiceName: "s"})
		service := responder.NewService(responder.Settings{})
		DeferCleanup(service.Close)
		address, err := service.Listen("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		a := announcer.Announcement{Address: address, Kind: configurer.BackendKindService, Service: "other", Incarnation: "i"}
		Expect(client.Announce(ctx, a)).To(conflict(announcer.FieldService))
		Expect(p.Ready()).To(BeFalse())
		a.Service = "s"
		Expect(client.Announce(ctx, a)).To(Succeed())
		Eventually(ctx, p.Ready).Should(BeTrue())
	}, NodeTimeout(testTimeout))

	// Guards against two companions that load and unload at one engine: an engine that is
	// not on loopback claims to check fencing numbers, and nobody has verified that it
	// does.
	It("refuses what the settings don't allow and keeps waiting", func(ctx SpecContext) {
		_, client := companion(configurer.CompanionSettings{BaseModel: "m"})
		a := announcer.Announcement{Address: "10.0.0.1:8000", BaseModel: "m", ChecksFencing: true, Incarnation: "i"}
		Expect(client.Announce(ctx, a)).To(conflict(announcer.FieldAddress))
		a.Address, a.BaseModel = "127.0.0.1:1", "other"
		Expect(client.Announce(ctx, a)).To(conflict(announcer.FieldBaseModel))
		a.BaseModel = "m"
		Expect(client.Announce(ctx, a)).To(Succeed())
	}, NodeTimeout(testTimeout))

	It("prefers an address in the settings", func(ctx SpecContext) {
		_, client := companion(configurer.CompanionSettings{EngineAddress: "127.0.0.1:1", BaseModel: "m"})
		a := announcer.Announcement{Address: "127.0.0.1:2", BaseModel: "m", Incarnation: "i"}
		Expect(client.Announce(ctx, a)).To(conflict(announcer.FieldAddress))
		a.Address = "127.0.0.1:1"
		Expect(client.Announce(ctx, a)).To(Succeed())
	}, NodeTimeout(testTimeout))
})
