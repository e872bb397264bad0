package controller_test

import (
	"context"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"marigoldpoint.example/marigoldpoint/internal/coordination/replicator"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/transport/controller"
)

// leaderLog is a replicated log that leads, and records the proposals.
type leaderLog struct {
	followerLog
	proposed chan []byte
}

func (l leaderLog) Propose(_ context.Context, data []byte) (uint64, any, error) {
	l.proposed <- data
	return 1, storer.Result{}, nil
}

func (leaderLog) Status() replicator.Status { return replicator.Status{Role: replicator.Leader} }

var _ = Describe("A proposal", func() {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	var log leaderLog
	var c *controller.Control

	BeforeEach(func() {
		log = leaderLog{proposed: make(chan []byte, 1)}
		var err error
		c, err = controller.NewControl(controller.Settings{
			Node: "host", ID: 1, Listener: listen(), Log: zerolog.Nop(), Random: rand.New(rand.NewPCG(1, 1)),
			Now:     func() time.Time { return now },
			Control: configurer.ControlSettings{Listen: "127.0.0.1:1", Group: "test"},
			Open: func(replicator.Settings, *storer.Store, replicator.Transport) (controller.ReplicatedLog, error) {
				return log, nil
			},
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
	})

	// Guards against a replicated time that follows the proposers' clocks. One entry's
	// clock runs days ahead, and each of its changes advances the state's time by a
	// minute; a resent change would take effect twice within its retention.
	It("has the leader's time, whatever the proposer wrote", func() {
		command := storer.DeleteResource{Key: storer.Key{Kind: storer.KindAdapter, Workspace: "w", Name: "a"}, IfMatch: 3}
		sent := storer.Envelope{
			Time: storer.InstantOf(now.Add(100 * time.Hour)), IdempotencyKey: "k", Digest: []byte("d"), Command: command,
		}
		_, err := c.Propose(context.Background(), sent)
		Expect(err).NotTo(HaveOccurred())
		sent.Time = storer.InstantOf(now)
		Expect(storer.Decode(<-log.proposed)).To(Equal(sent))
	})

	It("that can't be decoded is refused before it reaches the log", func() {
		_, err := storer.Stamp([]byte("damaged"), 1)
		Expect(err).To(HaveOccurred())
		_, err = c.Propose(context.Background(), storer.Envelope{})
		Expect(err).To(BeAssignableToTypeOf(&messenger.Refusal{}))
		Expect(log.proposed).To(BeEmpty())
	})
})
