package controller_test

import (
	"context"
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/coordination/permitter"
	"marigoldpoint.example/marigoldpoint/internal/coordination/registrar"
	"marigoldpoint.example/marigoldpoint/internal/transport/controller"
)

var _ = Describe("Load permits", func() {
	// Guards against granting permits only at requests, finishes and ticks. A permit is
	// finished before the store's rate allows the next one, and nothing else happens
	// until then; the store would do 17 of the 20 loads per second that its rate allows.
	// With ticks alone, this test would take four times its timeout.
	It("are granted as soon as the store's rate allows, without a tick", func() {
		g, err := newGroup(1, func(s *controller.Settings) {
			s.TickInterval = eventuallyTimeout / 5
			s.Control.StoreRate = 100
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(g.close)
		backend := g.node("backend", "d1", distributor.ScopeCompanion, nil)
		DeferCleanup(backend.Close)
		ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
		defer cancel()
		lease, err := backend.Join(ctx, "backend", member("d1", "i1"))
		Expect(err).NotTo(HaveOccurred())
		backend.Renew(registrar.Renewal{Name: "backend", Epoch: lease.Epoch})
		for i := range 20 {
			grant, err := backend.RequestPermit(ctx, permitter.Request{
				Companion: "backend", Workspace: "w", Version: fmt.Sprintf("w/a%d@1", i), Waiters: 1,
			})
			Expect(err).NotTo(HaveOccurred())
			backend.FinishPermit(grant)
		}
	})
})
