package companion

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
	"marigoldpoint.example/marigoldpoint/internal/standin/generator"
)

// delayedLoad is an engine whose load of one version is delayed before it arrives.
type delayedLoad struct {
	Engine
	version string
	arrived chan struct{}
	release chan struct{}
}

func (h *delayedLoad) Load(ctx context.Context, fence uint64, version, source string) error {
	if version == h.version {
		close(h.arrived)
		select {
		case <-h.release:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	return h.Engine.Load(ctx, fence, version, source)
}

var _ = Describe("A companion whose orders arrive out of order", func() {
	// Guards against a companion that becomes unready for good with a healthy engine, and
	// logs that another companion sends orders. Two orders are sent on two connections, the
	// later one arrives first, and the engine refuses the earlier one for its fencing
	// number. The refusal was taken as a sign of another companion.
	It("does not count as superseded", func() {
		b := newBench(generator.Settings{ChecksFencing: true})
		client := orderer.NewEngine(orderer.Settings{Address: b.address})
		DeferCleanup(client.Close)
		engine := &delayedLoad{Engine: client, version: "w/a@1", arrived: make(chan struct{}), release: make(chan struct{})}
		b.companions++
		c := b.compose(true, engine, nil)
		Expect(c.Start(context.Background())).To(Succeed())
		DeferCleanup(c.Close)
		b.companion = c
		l := newLink(c)
		l.send(b.call("first", "w/a@1", 2))
		Eventually(engine.arrived).WithTimeout(testTimeout).Should(BeClosed())
		l.send(b.call("second", "w/b@1", 2))
		Expect(l.wait("second").Outcome).To(Equal(messenger.OutcomeCompleted))
		engine.version = ""
		close(engine.release)
		Expect(l.wait("first").Outcome).To(BeElementOf(messenger.OutcomeCompleted, messenger.OutcomeNotRun))
		l.send(b.call("third", "w/c@1", 2))
		Expect(l.wait("third").Outcome).To(Equal(messenger.OutcomeCompleted))
		Expect(c.Ready()).To(BeTrue())
		Expect(b.engine.Record().StaleOrders).To(BeZero())
	})
})
