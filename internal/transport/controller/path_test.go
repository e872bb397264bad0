package controller_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/coordination/permitter"
	"marigoldpoint.example/marigoldpoint/internal/coordination/registrar"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

const eventuallyTimeout = 10 * time.Second

var _ = Describe("One control host", func() {
	It("serves a change, a membership, a digest, a permit and reads over loopback", func() {
		g, err := newGroup(1, nil)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(g.close)
		entry := g.node("entry", "d1", distributor.ScopeEntry, nil)
		DeferCleanup(entry.Close)
		digests := make(chan registrar.Digest, 100)
		entry.OnDigest(func(d registrar.Digest) { digests <- d })
		backend := g.node("backend", "d1", distributor.ScopeCompanion, nil)
		DeferCleanup(backend.Close)

		result, err := putWorkspace(entry, "peach", 2)
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Verdict).To(Equal(storer.VerdictAccepted))
		Eventually(entry.index.Revision, eventuallyTimeout).Should(BeNumerically(">=", result.Revision))
		Eventually(entry.LeaseValid, eventuallyTimeout).Should(BeTrue())
		Eventually(func() (int, error) {
			f, err := entry.InForce(context.Background(), result.Revision)
			return f.Holding, err
		}, eventuallyTimeout).Should(Equal(2))

		ctx := context.Background()
		spec := storer.MemberSpec{
			Kind: storer.MemberKindEngine, Address: "127.0.0.1:9", Region: "r", FailureDomain: "d1",
			BaseModel: "base", Slots: 4, MaxBatch: 8, Incarnation: "i1",
		}
		lease, err := backend.Join(ctx, "backend", spec)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() int { return len(entry.index.Members().Members) }, eventuallyTimeout).Should(Equal(1))

		backend.Renew(registrar.Renewal{
			Name: "backend", Epoch: lease.Epoch, Load: registrar.Load{Running: 1, MaxBatch: 8}, Resident: []string{"peach/a@1"},
		})
		Eventually(func() []string {
			for {
				select {
				case d := <-digests:
					for _, s := range d.Servers {
						if len(s.Resident) > 0 {
							return s.Resident
						}
					}
				default:
					return nil
				}
			}
		}, eventuallyTimeout).Should(Equal([]string{"peach/a@1"}))

		grant, err := backend.RequestPermit(ctx, permitter.Request{
			Companion: "backend", Workspace: "peach", Version: "peach/b@1", Waiters: 1,
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(grant.Number).NotTo(BeZero())
		backend.FinishPermit(grant)

		r, found, _, err := entry.Get(ctx, storer.Key{Kind: storer.KindWorkspace, Workspace: "peach", Name: "peach"})
		Expect(err).NotTo(HaveOccurred())
		Expect(found).To(BeTrue())
		Expect(r.Spec).To(Equal(storer.WorkspaceSpec{Share: 2}))
		Expect(backend.Leave(ctx, "backend", lease.Epoch, true)).To(Succeed())
		Eventually(func() int { return len(entry.index.Members().Members) }, eventuallyTimeout).Should(BeZero())
	})
})
