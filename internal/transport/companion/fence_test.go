package companion

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
	"marigoldpoint.example/marigoldpoint/internal/standin/generator"
)

// heldLoad is an engine whose load of one version is held up on its way.
type heldLoad struct {
	Engine
	version string
	held    chan struct{}
	release chan struct{}
}

func (h *heldLoad) Load(ctx context.Context, fence uint64, version, source string) error {
	if version == h.version {
		close(h.held)
		select {
		case <-h.release:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	return h.Engine.Load(ctx, fence, version, source)
}

var _ = Describe("A companion whose orders overtake each other", func() {
	// Symptom: a companion is unready for good beside a healthy engine, and says
	// that another companion gives orders.
	// Events: two orders go out on two connections; the later one arrives first;
	// the engine refuses the earlier one for its fencing number.
	// Cause: the refusal was taken for another companion's doing.
	It("does not take itself for replaced", func() {
		b := newBench(generator.Settings{ChecksFencing: true})
		client := orderer.NewEngine(orderer.Settings{Address: b.address})
		DeferCleanup(client.Close)
		engine := &heldLoad{Engine: client, version: "w/a@1", held: make(chan struct{}), release: make(chan struct{})}
		b.lives++
		c := b.compose(true, engine, nil)
		Expect(c.Start(context.Background())).To(Succeed())
		DeferCleanup(c.Close)
		b.companion = c
		l := newLink(c)
		l.send(b.call("first", "w/a@1", 2))
		Eventually(engine.held).WithTimeout(patience).Should(BeClosed())
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
