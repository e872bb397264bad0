package orderer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
	"marigoldpoint.example/marigoldpoint/internal/standin/generator"
)

// TestLateOrderAndFencing guards against the unload of an adapter that is in use. The
// unload order of a failed companion arrives after the orders of its successor. Only the
// fencing number distinguishes the late order from a new one, and some engines ignore it.
func TestLateOrderAndFencing(t *testing.T) {
	for _, checksFencing := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			p := newPair(t, generator.Settings{ChecksFencing: checksFencing})
			g.Expect(p.client.Load(t.Context(), 9, "a/b@1", "a/b@1")).To(Succeed())
			err := p.client.Unload(t.Context(), 8, adapter)
			state, stateErr := p.client.State(t.Context())
			g.Expect(stateErr).NotTo(HaveOccurred())
			g.Expect(state.ChecksFencing).To(Equal(checksFencing))
			g.Expect(state.HighestFence).To(BeEquivalentTo(9))
			if checksFencing {
				g.Expect(errors.Is(err, orderer.ErrFenced)).To(BeTrue(), "%v", err)
				g.Expect(errors.Is(err, orderer.ErrNotRun)).To(BeTrue(), "%v", err)
				g.Expect(state.Adapters).To(HaveLen(2))
			} else {
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(state.Adapters).To(HaveLen(1))
				g.Expect(p.engine.Record().StaleOrders).To(Equal(1))
			}
		})
	}
}

// TestLoadOverSilentConnection guards against a caller that waits two minutes for an
// adapter that is already resident, or whose load has failed. The connection of a load
// order becomes silent. Since a load order has no heartbeats, only the state of the engine
// shows the outcome.
func TestLoadOverSilentConnection(t *testing.T) {
	for _, fails := range []int{0, 1} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			p := newPair(t, generator.Settings{ActivationTime: 8 * time.Second})
			time.AfterFunc(time.Second, func() { p.engine.Inject(generator.Faults{Silence: true, FailLoads: fails}) })
			began := time.Now()
			err := p.client.Load(t.Context(), 2, "a/b@1", "a/b@1")
			g.Expect(time.Since(began)).To(Equal(10 * time.Second))
			if fails == 0 {
				g.Expect(err).NotTo(HaveOccurred())
			} else {
				g.Expect(errors.Is(err, orderer.ErrLoadFailed)).To(BeTrue(), "%v", err)
			}
		})
	}
}

// TestCancelTellsWhetherItBegan guards against a canceled request that is reported as not
// run although it ran, or as unknown although it never ran. One request is canceled while
// it runs, one while it waits. Only the engine knows whether a request has entered its
// batch.
func TestCancelTellsWhetherItBegan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := newPair(t, generator.Settings{MaxBatch: 1})
		ended := make(chan error, 2)
		for _, request := range []string{"runs", "waits"} {
			go func() { ended <- p.client.Generate(t.Context(), call(request), (&answer{}).add) }()
			sleep(t, 100*time.Millisecond)
		}
		waits, err := p.client.Cancel(t.Context(), "waits")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(waits).To(Equal(orderer.Cancellation{Known: true}))
		runs, err := p.client.Cancel(t.Context(), "runs")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(runs).To(Equal(orderer.Cancellation{Known: true, Began: true}))
		again, err := p.client.Cancel(t.Context(), "runs")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(again).To(Equal(orderer.Cancellation{Known: true, Began: true, Ended: true}))
		for range 2 {
			g.Expect(errors.Is(<-ended, orderer.ErrUnknown)).To(BeTrue())
		}
	})
}

// TestMoveInMidStream guards against a long answer that is truncated or restarts when its
// engine leaves. Its KV cache is exported during the stream and imported at another
// engine, where the event numbers of the stream must continue.
func TestMoveInMidStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		from, to := newPair(t, generator.Settings{}), newPair(t, generator.Settings{})
		var a answer
		ended := make(chan error, 1)
		go func() { ended <- from.client.Generate(t.Context(), call("r1"), a.add) }()
		sleep(t, 500*time.Millisecond)
		data, err := from.client.ExportKV(t.Context(), 2, "r1")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(errors.Is(<-ended, orderer.ErrMoved)).To(BeTrue())
		g.Expect(to.client.ImportKV(t.Context(), 2, data)).To(Succeed())
		g.Expect(to.client.Resume(t.Context(), "r1", adapter, a.last, a.add)).To(Succeed())
		g.Expect(a.text).To(Equal(expectedText))
		runs := to.engine.Record().Runs
		g.Expect(runs[0].Imported).To(BeTrue())
		g.Expect(runs[0].Tokens + from.engine.Record().Runs[0].Tokens).To(Equal(50))
		err = from.client.Resume(t.Context(), "r1", adapter, a.last, a.add)
		g.Expect(errors.Is(err, orderer.ErrMoved)).To(BeTrue(), "%v", err)
	})
}

// TestPrefillThenDecode guards against a request that is split between a prefill and a
// decode engine and completed by neither. An engine in the prefill role accepts a request
// and an engine in the decode role imports it.
func TestPrefillThenDecode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		prefill, decode := newPair(t, generator.Settings{}), newPair(t, generator.Settings{})
		g.Expect(prefill.client.Role(t.Context(), 2, orderer.Prefill)).To(Succeed())
		g.Expect(decode.client.Role(t.Context(), 2, orderer.Decode)).To(Succeed())
		var a answer
		go func() { _ = prefill.client.Generate(t.Context(), call("r1"), a.add) }()
		sleep(t, 10*time.Second)
		g.Expect(a.last).To(BeEquivalentTo(1))
		data, err := prefill.client.ExportKV(t.Context(), 3, "r1")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(decode.client.ImportKV(t.Context(), 3, data)).To(Succeed())
		g.Expect(decode.client.Resume(t.Context(), "r1", adapter, a.last, a.add)).To(Succeed())
		g.Expect(a.text).To(Equal(expectedText))
		err = decode.client.Generate(t.Context(), call("r2"), a.add)
		g.Expect(errors.Is(err, orderer.ErrNotRun)).To(BeTrue(), "%v", err)
	})
}
