package demonstrator

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/standin/driver"
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
	"marigoldpoint.example/marigoldpoint/internal/transport/sealer"
)

// dispatchAs sends a dispatch to a companion over the given connection.
func dispatchAs(ctx context.Context, network net.Conn) error {
	c := messenger.NewConn(network, messenger.Settings{}) //nolint:contextcheck // Close ends it.
	defer c.Close()
	return c.Call(ctx, messenger.MethodDispatch, messenger.Dispatch{Request: "forged", Attempt: 1}, nil)
}

// Guards against requests that run without having been accepted by an entry, and
// use up engines and the limits of workspaces: any client that can reach a
// companion's listener could dispatch if processes trusted each other by address.
var _ = Describe("a sealed deployment", func() {
	It("serves, accepts renewed certificates, and rejects dispatches of other clients", func(ctx SpecContext) {
		folder, err := os.MkdirTemp("", "sealed")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(os.RemoveAll, folder)
		r := Run{
			Workload: driver.Peachtree().WithAdapters(10), Entries: 3, Engines: 1, Services: 1,
			Slots: 4, MaxBatch: 16, TimeScale: 0.1, RateScale: 1, Seed: 1, Folder: folder,
		}
		s := FaultRun{Run: r}.settings()
		s.Services, s.Sealed = 1, true
		d, err := NewDeployment(s)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(d.Close)
		keys, err := r.declare(ctx, d, io.Discard)
		Expect(err).NotTo(HaveOccurred())
		f := newFaultRun(r, d, keys)
		DeferCleanup(f.client.CloseIdleConnections)
		w := r.Workload.Workspaces[0]
		answered := func(path, key, body string) {
			GinkgoHelper()
			t := post(ctx, f, 0, path, key, body)
			for t.Outcome == notRunOutcome && sleep(ctx, testPause) {
				// The entry may not have learned yet of all backend servers.
				t = post(ctx, f, 0, path, key, body)
			}
			Expect(t.Failure).NotTo(HaveOccurred())
			Expect(t.Outcome).To(Equal(messenger.OutcomeCompleted.String()), t.Body)
		}
		served := func(key string) {
			GinkgoHelper()
			answered("/services/"+r.Workload.Service.Name+"/registrations", key, "the title")
			answered("/v1/completions", key+" review",
				fmt.Sprintf(`{"model":"%s/%s-0000","prompt":"review","max_tokens":4}`, w.Name, w.AdapterPrefix))
		}
		served("first")

		for _, n := range d.nodes {
			Expect(d.certify(&n.configuration)).To(Succeed())
		}
		Expect(d.Kill("entry-1")).To(Succeed())
		restarted(ctx, f, "entry-1")
		served("second")

		address := d.node("service-1").configuration.Companion.Listen
		dial := d.network.dialFrom("stranger")
		network, err := dial(ctx, address)
		Expect(err).NotTo(HaveOccurred())
		Expect(dispatchAs(ctx, network)).NotTo(Succeed())

		forger := d.node("engine-1").configuration
		as, err := sealer.NewSealer(sealer.Settings{Files: forger.Peers, Node: forger.Node, Roles: forger.Roles})
		Expect(err).NotTo(HaveOccurred())
		network, err = as.Dial(configurer.RoleCompanion, dial)(ctx, address)
		Expect(err).NotTo(HaveOccurred())
		Expect(dispatchAs(ctx, network)).To(MatchError(HavePrefix(messenger.ReasonForbidden.String())))
	}, NodeTimeout(testLimit))
})
