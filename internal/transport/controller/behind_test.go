package controller_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/transport/operator"
	"marigoldpoint.example/marigoldpoint/internal/transport/subscriber"
)

// share returns the share of a workspace in force at a node, or -1 if there is no such
// workspace.
func (n *node) share(workspace string) int {
	w, ok := n.index.Workspace(workspace)
	if !ok {
		return -1
	}
	return w.Share
}

var _ = Describe("Subscribers and hosts that lag behind", func() {
	ctx := context.Background()
	var g *group

	BeforeEach(func() {
		var err error
		g, err = newGroup(3, shortLeases)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(g.close)
		Eventually(g.leader, eventuallyTimeout).ShouldNot(Equal(-1))
	})

	isolate := func(host int, cut bool) {
		for i, h := range g.hosts {
			if i != host {
				g.network.set(nodeName(g.hosts[host].ID), h.Address, cut)
				g.network.set(nodeName(h.ID), g.hosts[host].Address, cut)
			}
		}
	}

	put := func(n *node, workspace string, share int) uint64 {
		r, err := putWorkspace(n, workspace, share)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Verdict).To(Equal(storer.VerdictAccepted), r.Reason)
		return r.Revision
	}

	// Guards against a host that sends older configuration to a node that holds a newer
	// one. A control host is partitioned from the others; a change is accepted and in
	// force at the entry; the entry loses the other hosts and fails over to the host
	// without the change. It would then route by a rule that operators have replaced.
	It("never revert a node that fails over to them", func() {
		behind := (g.leader() + 1) % 3
		events := recorder.NewRecorder(recorder.Settings{Node: "entry"})
		g.network.set("entry", g.hosts[behind].Address, true)
		entry := g.node("entry", "d9", distributor.ScopeEntry, func(s *subscriber.Settings) {
			shortLease(s)
			s.Recorder = events
		})
		DeferCleanup(entry.Close)
		writer := g.node("writer", g.hosts[g.leader()].FailureDomain, distributor.ScopeEntry, shortLease)
		DeferCleanup(writer.Close)
		first := put(writer, "w", 1)
		Eventually(g.controls[behind].Store().Revision, eventuallyTimeout).Should(BeNumerically(">=", first))

		isolate(behind, true)
		second := put(writer, "w", 2)
		Eventually(entry.index.Revision, eventuallyTimeout).Should(Equal(second))
		for i, h := range g.hosts {
			g.network.set("entry", h.Address, i != behind)
		}
		Eventually(entry.Host, eventuallyTimeout).Should(Equal(g.hosts[behind].Address))
		// Once its pulses have made the entry's lease expire, the host has sent
		// everything it would send.
		Eventually(entry.LeaseValid, eventuallyTimeout).Should(BeFalse())
		Expect(g.controls[behind].Store().Revision()).To(Equal(first))
		Expect(entry.index.Revision()).To(Equal(second))
		Expect(entry.share("w")).To(Equal(2))

		isolate(behind, false)
		third := put(writer, "w", 3)
		Eventually(entry.index.Revision, eventuallyTimeout).Should(Equal(third))
		Expect(entry.share("w")).To(Equal(3))
		Eventually(entry.LeaseValid, eventuallyTimeout).Should(BeTrue())
		reached := uint64(0)
		for _, e := range events.Events("").Events {
			if e.Kind == recorder.KindConfigurationApplied {
				Expect(e.Revision).To(BeNumerically(">", reached))
				reached = e.Revision
			}
		}
		Expect(reached).To(Equal(third))
	})

	// exceedHistory makes so many changes, one of them a deletion, that the history no longer
	// reaches back to the revision that the node holds.
	exceedHistory := func(writer *node) (revision uint64) {
		retention := storer.SetRetention{Retention: storer.Retention{HistoryChanges: 5}}
		_, err := writer.Propose(ctx, storer.Envelope{Command: retention})
		Expect(err).NotTo(HaveOccurred())
		gone := storer.DeleteResource{Key: storer.Key{Kind: storer.KindWorkspace, Workspace: "gone", Name: "gone"}}
		r, err := writer.Propose(ctx, storer.Envelope{Command: gone})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Verdict).To(Equal(storer.VerdictAccepted), r.Reason)
		for i := range 10 {
			revision = put(writer, fmt.Sprintf("w%d", i), i+1)
		}
		return revision
	}

	// Guards against a node that skips a gap in the history or whose subscription ends at
	// it. It misses more changes than the history keeps, reconnects, and requests what
	// follows its revision. It would then keep a deleted workspace or receive no further
	// changes.
	It("receive the whole state if the history no longer reaches back, and then further changes", func() {
		entry := g.node("entry", "d1", distributor.ScopeEntry, shortLease)
		DeferCleanup(entry.Close)
		writer := g.node("writer", "d2", distributor.ScopeEntry, shortLease)
		DeferCleanup(writer.Close)
		put(writer, "kept", 7)
		before := put(writer, "gone", 1)
		Eventually(entry.index.Revision, eventuallyTimeout).Should(Equal(before))
		for _, h := range g.hosts {
			g.network.set("entry", h.Address, true)
		}
		last := exceedHistory(writer)
		Expect(entry.index.Revision()).To(Equal(before))
		for _, h := range g.hosts {
			g.network.set("entry", h.Address, false)
		}
		Eventually(entry.index.Revision, eventuallyTimeout).Should(Equal(last))
		Expect(entry.share("gone")).To(Equal(-1))
		Expect(entry.share("kept")).To(Equal(7))
		Expect(entry.share("w9")).To(Equal(10))
		next := put(writer, "kept", 8)
		Eventually(entry.index.Revision, eventuallyTimeout).Should(Equal(next))
		Expect(entry.share("kept")).To(Equal(8))
	})

	// Guards against the same fault for a watch of the resource API, which would still
	// show a workspace deleted long ago.
	It("are asked by a watch to list again, and miss nothing from there", func() {
		writer := g.node("writer", "d2", distributor.ScopeEntry, shortLease)
		DeferCleanup(writer.Close)
		server := httptest.NewServer(operator.NewAPI(operator.Settings{Control: writer, WatchHeartbeat: 200 * time.Millisecond}))
		DeferCleanup(server.Close)
		get := func(query string) *http.Response {
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL+"/api/v1/workspaces"+query, http.NoBody)
			Expect(err).NotTo(HaveOccurred())
			answer, err := server.Client().Do(request)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(answer.Body.Close)
			return answer
		}
		before := put(writer, "gone", 1)
		last := exceedHistory(writer)

		refused := get(fmt.Sprintf("?Watch=true&After=%d", before))
		Expect(refused.StatusCode).To(Equal(http.StatusGone))
		var problem operator.Problem
		Expect(json.NewDecoder(refused.Body).Decode(&problem)).To(Succeed())
		Expect(problem.Reason).To(Equal(operator.ReasonCompacted))
		Expect(problem.Revision).To(Equal(last))

		var list operator.List
		Expect(json.NewDecoder(get("").Body).Decode(&list)).To(Succeed())
		Expect(list.Revision).To(Equal(last))
		Expect(list.Items).To(HaveLen(10))
		watch := bufio.NewScanner(get(fmt.Sprintf("?Watch=true&After=%d", list.Revision)).Body)
		next := put(writer, "w0", 99)
		for watch.Scan() {
			var e operator.Event
			Expect(json.Unmarshal(watch.Bytes(), &e)).To(Succeed())
			if e.Type == operator.EventPut {
				Expect(e.Revision).To(Equal(next))
				Expect(e.Resource.Spec).To(Equal(storer.WorkspaceSpec{Share: 99}))
				return
			}
		}
		Fail("the watch ended without the change")
	})
})
