package sealer_test

import (
	"context"
	"encoding/json"
	"net"
	"os"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
	"marigoldpoint.example/marigoldpoint/internal/transport/listener"
	"marigoldpoint.example/marigoldpoint/internal/transport/sealer"
)

const (
	entry     = configurer.RoleEntry
	companion = configurer.RoleCompanion
	control   = configurer.RoleControl
	// testTimeout limits the waits of a test; it is no measure of speed.
	testTimeout = 30 * time.Second
)

func tcp(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// serve answers all calls that s allows, and returns its address.
func serve(s *sealer.Sealer) string {
	GinkgoHelper()
	network, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	answer := messenger.HandlerFunc(func(context.Context, *messenger.Conn, messenger.Method, json.RawMessage) (any, error) {
		return messenger.Accepted{Incarnation: "served"}, nil
	})
	l := listener.NewListener(s.Listen(network), messenger.Settings{Handler: answer, Allow: s.Allow})
	DeferCleanup(l.Close)
	return l.Address()
}

// mustDial returns the connection of a dial that must succeed.
func mustDial(ctx context.Context, s *sealer.Sealer, role configurer.Role, address string) *sealer.Conn {
	GinkgoHelper()
	c, err := s.Dial(role, tcp)(ctx, address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = c.Close() })
	return c.(*sealer.Conn)
}

func expectRefused(ctx context.Context, s *sealer.Sealer, role configurer.Role, address, reason string) {
	GinkgoHelper()
	_, err := s.Dial(role, tcp)(ctx, address)
	Expect(err).To(MatchError(ContainSubstring(reason)))
}

var _ = Describe("an authenticated connection", func() {
	var d *deployment
	BeforeEach(func() { d = newDeployment(GinkgoT().TempDir(), "first") })

	It("allows the messages of the peer's roles, and refuses the others", func(ctx SpecContext) {
		address := serve(d.seal("engine-1", nil, companion))
		call := func(node string, m messenger.Method, roles ...configurer.Role) (a messenger.Accepted, err error) {
			c := messenger.NewConn(mustDial(ctx, d.seal(node, nil, roles...), companion, address), messenger.Settings{})
			defer c.Close()
			err = c.Call(ctx, m, nil, &a)
			return a, err
		}
		a, err := call("entry-1", messenger.MethodDispatch, entry, control)
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Incarnation).To(Equal("served"))

		// Guards against an intruder on a companion's host who runs requests on all
		// engines, because their companions accept dispatches from any peer.
		_, err = call("engine-2", messenger.MethodDispatch, companion)
		var refusal *messenger.Refusal
		Expect(errors.As(err, &refusal)).To(BeTrue())
		Expect(*refusal).To(Equal(messenger.Refusal{
			Reason: messenger.ReasonForbidden,
			Detail: "Companion.Dispatch is for Entry, and came from marigoldpoint://companion/engine-2",
		}))
	}, NodeTimeout(testTimeout))

	// Guards against requests of a misconfigured entry that end as Unknown although no
	// companion has read them. In TLS 1.3 the dialler's handshake ends before the listener
	// has seen its certificate, so the entry sends before the companion refuses the
	// certificate.
	It("fails to open if the listener doesn't trust the dialler", func(ctx SpecContext) {
		other := newDeployment(GinkgoT().TempDir(), "second")
		address := serve(d.seal("engine-1", nil, companion))
		other.put("entry-1", other.issue("entry-1", time.Hour/2, entry), d)
		s, err := sealer.NewSealer(sealer.Settings{Files: other.files("entry-1"), Node: "entry-1", Roles: []configurer.Role{entry}})
		Expect(err).NotTo(HaveOccurred())
		expectRefused(ctx, s, companion, address, "not accepted: remote error: tls: unknown certificate authority")
	}, NodeTimeout(testTimeout))

	It("fails to open if the dialler doesn't trust the listener", func(ctx SpecContext) {
		other := newDeployment(GinkgoT().TempDir(), "second")
		address := serve(other.seal("engine-1", nil, companion))
		expectRefused(ctx, d.seal("entry-1", nil, entry), companion, address, "signed by unknown authority")
	}, NodeTimeout(testTimeout))

	It("fails to open if the listener has another role", func(ctx SpecContext) {
		address := serve(d.seal("engine-1", nil, companion))
		expectRefused(ctx, d.seal("engine-2", nil, companion), control, address, "engine-1 where the role Control is wanted")
	}, NodeTimeout(testTimeout))

	It("fails to open with a certificate that has expired", func(ctx SpecContext) {
		d.put("engine-1", d.issue("engine-1", time.Hour/2+5*time.Minute, companion))
		later := func() time.Time { return time.Now().Add(time.Hour/2 + time.Minute) }
		engine, err := sealer.NewSealer(sealer.Settings{
			Files: d.files("engine-1"), Node: "engine-1", Roles: []configurer.Role{companion}, Now: later,
		})
		Expect(err).NotTo(HaveOccurred())
		expectRefused(ctx, d.seal("entry-1", nil, entry), companion, serve(engine), "not accepted: remote error: tls: expired certificate")
	}, NodeTimeout(testTimeout))

	// Guards against a listener that serializes handshakes and so accepts nobody while
	// silent connections are open, such as those of a load balancer's probe.
	It("opens while other connections are silent, and Close doesn't wait for these", func(ctx SpecContext) {
		address := serve(d.seal("engine-1", nil, companion))
		for range 10 {
			c, err := tcp(ctx, address)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(c.Close)
		}
		Expect(mustDial(ctx, d.seal("entry-1", nil, entry), companion, address).Identity().Node).To(Equal("engine-1"))
	}, NodeTimeout(testTimeout))

	// Guards against a process that can't connect while its files are being replaced, or
	// until its restart: the certificate is replaced, a handshake begins, and then the key
	// is replaced.
	It("reloads replaced files once they match each other", func(ctx SpecContext) {
		address := serve(d.seal("engine-1", nil, companion))
		client := d.seal("entry-1", nil, entry)
		seen := func() time.Time {
			return mustDial(ctx, client, companion, address).ConnectionState().PeerCertificates[0].NotAfter
		}
		before := seen()
		next, files := d.issue("engine-1", 50*time.Minute, companion), d.files("engine-1")
		d.write(files.CertificateFile, next.Certificate)
		Expect(seen()).To(Equal(before))
		d.write(files.KeyFile, []byte(next.Key.Reveal()))
		Expect(seen()).To(BeTemporally(">", before))
	}, NodeTimeout(testTimeout))

	It("rotates to another authority without a refused handshake", func(ctx SpecContext) {
		next := newDeployment(d.folder, "second")
		next.writes = 100
		address := serve(d.seal("engine-1", nil, companion))
		client := d.seal("entry-1", nil, entry)
		steps := []func(node string, role configurer.Role){
			func(node string, role configurer.Role) { d.put(node, d.issue(node, time.Hour/2, role), next) },
			func(node string, role configurer.Role) { next.put(node, next.issue(node, time.Hour/2, role), d) },
			func(node string, role configurer.Role) { next.put(node, next.issue(node, time.Hour/2, role)) },
		}
		for _, step := range steps {
			step("engine-1", companion)
			mustDial(ctx, client, companion, address)
			step("entry-1", entry)
			mustDial(ctx, client, companion, address)
		}
		expectRefused(ctx, d.seal("entry-2", nil, entry), companion, address, "unknown authority")
	}, NodeTimeout(testTimeout))
})

var _ = Describe("NewSealer", func() {
	DescribeTable("rejects files that other processes would reject",
		func(node string, role configurer.Role, age time.Duration, change func(configurer.PeersSettings), why string) {
			d := newDeployment(GinkgoT().TempDir(), "first")
			d.put("entry-1", d.issue("entry-1", time.Minute, entry))
			change(d.files("entry-1"))
			later := func() time.Time { return time.Now().Add(age) }
			_, err := sealer.NewSealer(sealer.Settings{Files: d.files("entry-1"), Node: node, Roles: []configurer.Role{role}, Now: later})
			Expect(err).To(MatchError(ContainSubstring(why)))
		},
		Entry("of another node", "entry-2", entry, 0*time.Second, unchanged, `of the node "entry-1" for "entry-2"`),
		Entry("of another role", "entry-1", control, 0*time.Second, unchanged, "without the role Control"),
		Entry("expired", "entry-1", entry, 2*time.Minute, unchanged, "expired"),
		Entry("of another authority", "entry-1", entry, 0*time.Second, func(f configurer.PeersSettings) {
			Expect(os.WriteFile(f.AuthorityFile, newDeployment("", "second").root.Certificate, 0o600)).To(Succeed())
		}, "unknown authority"),
		Entry("with a key that others can read", "entry-1", entry, 0*time.Second, func(f configurer.PeersSettings) {
			Expect(os.Chmod(f.KeyFile, 0o644)).To(Succeed())
		}, "mode 0644"),
	)
})

func unchanged(configurer.PeersSettings) {}
