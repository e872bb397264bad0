package controller_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/coordination/replicator"
	"marigoldpoint.example/marigoldpoint/internal/standin/disker"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/transport/controller"
)

var _ = Describe("A control host whose disk is full", func() {
	var (
		g     *group
		disks map[uint64]*disker.Disk
	)

	BeforeEach(func() {
		disks = make(map[uint64]*disker.Disk)
		var err error
		g, err = newGroup(3, func(s *controller.Settings) {
			shortLeases(s)
			disk := disker.NewDisk(rand.New(rand.NewPCG(s.ID, 1)))
			disks[s.ID] = disk
			s.Open = func(rs replicator.Settings, store *storer.Store, t replicator.Transport) (controller.ReplicatedLog, error) {
				rs.FileSystem = disk
				return replicator.NewReplicator(rs, store, t)
			}
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { g.close() })
		Eventually(g.leader, eventuallyTimeout).ShouldNot(Equal(-1))
	})

	suspended := func(i int) func() bool {
		return func() bool { return g.controls[i].Status().Suspended }
	}

	propose := func(i, n int) error {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		name := fmt.Sprintf("w%d", n)
		_, err := g.controls[i].Propose(ctx, storer.Envelope{
			IdempotencyKey: name,
			Command: storer.PutResource{Resource: storer.Resource{
				Kind: storer.KindWorkspace, Metadata: storer.Metadata{Workspace: name, Name: name}, Spec: storer.WorkspaceSpec{Share: 1},
			}},
		})
		return err
	}

	// Guards against callers that are refused, and lose their connections, because the disk of the
	// control host that they use is full.
	It("forwards changes to the leader, and applies them once the disk accepts writes", func() {
		full := (g.leader() + 1) % 3
		Expect(propose(full, 0)).To(Succeed())
		disk := disks[uint64(full+1)]
		disk.Fill(true)
		Expect(propose(full, 1)).To(Succeed())
		Eventually(suspended(full), eventuallyTimeout).Should(BeTrue())
		Expect(propose(full, 2)).To(Succeed())
		Eventually(func() float64 { return g.gauge(full, "marigoldpoint_control_suspended") }, eventuallyTimeout).Should(Equal(1.0))

		disk.Fill(false)
		Eventually(suspended(full), eventuallyTimeout).Should(BeFalse())
		Expect(propose(full, 3)).To(Succeed())
		Eventually(func() bool {
			l := g.leader()
			return l >= 0 && g.controls[full].Store().Revision() == g.controls[l].Store().Revision()
		}, eventuallyTimeout).Should(BeTrue())
		Expect(g.controls[full].Failed()).NotTo(BeClosed())
		Expect(g.gauge(full, "marigoldpoint_control_suspended")).To(BeZero())
	})

	// Guards against a group without a leader for as long as the disk of its leader is full.
	It("is replaced as the leader", func() {
		full := g.leader()
		disks[uint64(full+1)].Fill(true)
		other := (full + 1) % 3
		Eventually(func() error { return propose(other, 1) }, eventuallyTimeout).Should(Succeed())
		Expect(g.leader()).NotTo(Equal(full))
		Expect(suspended(full)()).To(BeTrue())
		Expect(propose(full, 2)).To(Succeed())
	})
})
