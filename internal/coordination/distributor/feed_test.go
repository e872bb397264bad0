package distributor_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/state/indexer"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// host is a control host's state with the revisions 1 to head, of which the history
// covers those after floor. Each revision writes one workspace.
type host struct{ head, floor uint64 }

func written(revision uint64) storer.Resource {
	name := fmt.Sprintf("w%d", revision%7)
	return storer.Resource{
		Kind:     storer.KindWorkspace,
		Metadata: storer.Metadata{Workspace: name, Name: name, Revision: revision},
		Spec:     storer.WorkspaceSpec{Share: int(revision)},
	}
}

func (h *host) Revision() uint64 { return h.head }

func (h *host) Since(after uint64, limit int) ([]storer.Change, uint64, bool) {
	if after < h.floor {
		return nil, 0, false
	}
	var changes []storer.Change
	upTo := after
	for r := after + 1; r <= h.head && len(changes) < limit; r++ {
		changes = append(changes, storer.Change{Revision: r, Resource: written(r)})
		upTo = r
	}
	return changes, upTo, true
}

func (h *host) All() ([]storer.Resource, uint64) {
	var all []storer.Resource
	for r := h.head; r > 0 && r+7 > h.head; r-- {
		all = append(all, written(r))
	}
	return all, h.head
}

// node records what a node holds and fails the test if its revision decreases.
type node struct {
	revision uint64
	shares   map[string]int
	fatal    func(format string, args ...any)
}

func (n *node) Revision() uint64 { return n.revision }

func (n *node) Apply(changes []storer.Change, upTo uint64) error {
	for _, c := range changes {
		if c.Revision > n.revision {
			n.shares[c.Resource.Metadata.Name] = c.Resource.Spec.(storer.WorkspaceSpec).Share
		}
	}
	n.advance(upTo)
	return nil
}

func (n *node) Reset(rs []storer.Resource, revision uint64) error {
	n.shares = make(map[string]int)
	for _, r := range rs {
		n.shares[r.Metadata.Name] = r.Spec.(storer.WorkspaceSpec).Share
	}
	n.advance(revision)
	return nil
}

func (n *node) advance(revision uint64) {
	if revision < n.revision {
		n.fatal("revision went back from %d to %d", n.revision, revision)
	}
	n.revision = revision
}

var _ = Describe("Feed", func() {
	// Guards against a replaced rule taking effect again at an entry. The entry holds
	// revision 40 when its control host dies, and the next host has only reached
	// revision 30. The fault would be a host that sends its state regardless of the
	// subscriber's revision.
	It("emits nothing at a host that is behind its subscriber", func() {
		h := &host{head: 30, floor: 25}
		f := distributor.NewFeed(distributor.FeedSettings{After: 40})
		_, ok := f.Next(h)
		Expect(ok).To(BeFalse())
		h.head, h.floor = 41, 35
		d, ok := f.Next(h)
		Expect(ok).To(BeTrue())
		Expect(d.From).To(BeEquivalentTo(40))
		Expect(d.UpTo).To(BeEquivalentTo(41))
	})

	It("sends the whole state in pages to a subscriber that the history does not cover", func() {
		h := &host{head: 100, floor: 90}
		f := distributor.NewFeed(distributor.FeedSettings{After: 3, BatchLimit: 4})
		first, _ := f.Next(h)
		h.head++
		second, _ := f.Next(h)
		Expect([]bool{first.Reset, first.Last, second.Reset, second.Last}).To(Equal([]bool{true, false, true, true}))
		Expect(second.UpTo).To(BeEquivalentTo(100))
		third, _ := f.Next(h)
		Expect(third.Reset).To(BeFalse())
		Expect(third.From).To(BeEquivalentTo(100))
	})

	It("stops at a full window until the subscriber acknowledges", func() {
		h := &host{head: 100}
		f := distributor.NewFeed(distributor.FeedSettings{After: 1, Window: 2, BatchLimit: 10})
		for range 2 {
			_, ok := f.Next(h)
			Expect(ok).To(BeTrue())
		}
		_, ok := f.Next(h)
		Expect(ok).To(BeFalse())
		f.Acknowledge(distributor.AcknowledgeRevision{Revision: 10, Batches: 1})
		_, ok = f.Next(h)
		Expect(ok).To(BeTrue())
	})

	It("skips changes that a companion does not need, and counts them as held", func() {
		f := distributor.NewFeed(distributor.FeedSettings{Scope: distributor.ScopeCompanion, Backend: "c", After: 1})
		_, ok := f.Next(adapters{&host{head: 5}})
		Expect(ok).To(BeFalse())
		Expect(f.Acknowledged()).To(BeEquivalentTo(5))
	})

	// Guards against companions that are sent every membership: the joins of n backend servers
	// at a start were n squared messages to their companions.
	DescribeTable("sends the companion of an engine its own membership only",
		func(engines int) {
			f := distributor.NewFeed(distributor.FeedSettings{Scope: distributor.ScopeEngine, Backend: "engine-7", After: 1})
			deltas, changes := 0, 0
			h := &host{head: 1}
			for range engines {
				h.head++
				for d, ok := f.Next(joins{h}); ok; d, ok = f.Next(joins{h}) {
					deltas, changes = deltas+1, changes+len(d.Changes)
				}
			}
			Expect([]int{deltas, changes}).To(Equal([]int{1, 1}))
			Expect(f.Unacknowledged()).To(Equal(1))
		},
		Entry("30", 30), Entry("300", 300), Entry("994", 994),
	)

	It("sends the companion of an engine the configuration and the newest versions", func() {
		for _, kind := range []storer.Kind{storer.KindRouting, storer.KindNewest} {
			Expect(distributor.ScopeEngine.Includes(storer.Resource{Kind: kind}, "engine-7")).To(BeTrue())
		}
		for _, kind := range []storer.Kind{storer.KindWorkspace, storer.KindAdapter, storer.KindSuspect} {
			Expect(distributor.ScopeEngine.Includes(storer.Resource{Kind: kind}, "engine-7")).To(BeFalse())
		}
	})

	// Guards against companions repeatedly leaving their control hosts and, without
	// permits, no longer loading. A workspace changes, then adapters, which the
	// companion does not receive, then a workspace again. The fault was that the delta
	// started from the feed's cursor, beyond the revision sent to the companion, which
	// therefore detected a gap.
	It("continues from the subscriber's revision after skipped changes", func() {
		h := &host{head: 1}
		f := distributor.NewFeed(distributor.FeedSettings{Scope: distributor.ScopeCompanion, Backend: "c"})
		n := &node{shares: make(map[string]int), fatal: func(format string, args ...any) { Fail(fmt.Sprintf(format, args...)) }}
		var a distributor.Assembler
		take := func(src distributor.Source) {
			for d, ok := f.Next(src); ok; d, ok = f.Next(src) {
				taken, err := a.ApplyDelta(n, d)
				Expect(err).NotTo(HaveOccurred())
				f.Acknowledge(taken)
			}
		}
		take(h)
		h.head = 4
		take(adapters{h})
		Expect(n.revision).To(BeEquivalentTo(1))
		h.head = 6
		take(h)
		Expect(n.revision).To(BeEquivalentTo(6))
		Expect(f.Acknowledged()).To(BeEquivalentTo(6))
	})
})

// joins is a host each of whose changes is the join of another engine.
type joins struct{ *host }

func (j joins) Since(after uint64, limit int) ([]storer.Change, uint64, bool) {
	changes, upTo, ok := j.host.Since(after, limit)
	for i := range changes {
		r := &changes[i].Resource
		r.Kind, r.Metadata.Name, r.Spec = storer.KindMember, fmt.Sprint("engine-", changes[i].Revision), storer.MemberSpec{}
	}
	return changes, upTo, ok
}

// adapters is a host all of whose changes concern adapters.
type adapters struct{ *host }

func (a adapters) Since(after uint64, limit int) ([]storer.Change, uint64, bool) {
	changes, upTo, ok := a.host.Since(after, limit)
	for i := range changes {
		changes[i].Resource.Kind = storer.KindAdapter
	}
	return changes, upTo, ok
}

// TestPropertyMonotone checks that a node's revision never decreases and that it holds
// exactly the state of its revision, while it moves between hosts that are ahead or
// behind, with arbitrarily compacted histories and connections lost in the middle of a
// reset. The compact replica, which applies the pages of a reset as they arrive, must
// match it.
func TestPropertyMonotone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := []*host{{head: 5}, {head: 9}, {head: 2}}
		n := &node{shares: make(map[string]int), fatal: t.Fatalf}
		x := indexer.NewIndex(indexer.Settings{})
		var feed *distributor.Feed
		var assembler, paged *distributor.Assembler
		var at *host
		var under []distributor.Delta
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			h := hosts[rapid.IntRange(0, len(hosts)-1).Draw(t, "host")]
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				h.head += uint64(rapid.IntRange(0, 30).Draw(t, "written"))
				h.floor = uint64(rapid.IntRange(int(h.floor), int(h.head)).Draw(t, "floor"))
			case 1:
				at, under = h, nil
				assembler, paged = &distributor.Assembler{}, &distributor.Assembler{}
				feed = distributor.NewFeed(distributor.FeedSettings{After: n.revision, Window: 3, BatchLimit: 3})
			case 2:
				if feed != nil {
					if d, ok := feed.Next(at); ok {
						under = append(under, d)
					}
				}
			default:
				if len(under) == 0 {
					continue
				}
				a, err := assembler.ApplyDelta(n, under[0])
				if err != nil {
					t.Fatalf("delta rejected: %v", err)
				}
				b, err := paged.ApplyDelta(x, under[0])
				if err != nil || a != b {
					t.Fatalf("the replica returned %v, %v instead of %v", b, err, a)
				}
				under = under[1:]
				feed.Acknowledge(a)
				if feed.Acknowledged() > n.revision {
					t.Fatalf("the host counts revision %d, the node holds %d", feed.Acknowledged(), n.revision)
				}
				if feed.Unacknowledged() > 3 {
					t.Fatalf("%d deltas in flight", feed.Unacknowledged())
				}
				for r := n.revision; r > 0 && r+7 > n.revision; r-- {
					if got := n.shares[written(r).Metadata.Name]; got != int(r) {
						t.Fatalf("at revision %d share %d is in force instead of %d", n.revision, got, r)
					}
					if w, _ := x.Workspace(written(r).Metadata.Name); w.Share != int(r) {
						t.Fatalf("at revision %d the replica has share %d in force instead of %d", n.revision, w.Share, r)
					}
				}
			}
		}
	})
}

var _ = Describe("Lease", func() {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

	// Guards against an entry answering by replaced rules for the duration of a
	// partition while it reports ready. A control host is partitioned from the leader
	// but not from the entry, and its pulses continue. The fault would be to treat
	// contact with a host as contact with the leader.
	It("adds the age of the host's knowledge to that of the pulse", func() {
		l := distributor.Lease{Duration: 10 * time.Second}
		l.Pulse(at(0), distributor.Pulse{Revision: 4}, 4)
		for s := 1; s <= 9; s++ {
			l.Pulse(at(float64(s)), distributor.Pulse{Revision: 4, AgeMillis: int64(s) * 1000}, 4)
		}
		Expect(l.Valid(at(9.9))).To(BeTrue())
		l.Pulse(at(10), distributor.Pulse{Revision: 4, AgeMillis: 10000}, 4)
		Expect(l.Valid(at(10))).To(BeFalse())
	})

	// Guards against the same failure with all processes connected: the deltas to an
	// entry stall while pulses arrive. The fault would be a pulse that extends the
	// lease of rules older than the pulse's revision.
	It("counts a pulse only once the node holds the pulse's revision", func() {
		l := distributor.Lease{Duration: 10 * time.Second}
		l.Pulse(at(0), distributor.Pulse{Revision: 4}, 4)
		l.Pulse(at(5), distributor.Pulse{Revision: 5}, 4)
		Expect(l.Valid(at(11))).To(BeFalse())
		l.Applied(5)
		Expect(l.Valid(at(11))).To(BeTrue())
		Expect(l.Valid(at(15))).To(BeFalse())
	})

	It("is not valid before the first contact with a leader", func() {
		l := distributor.Lease{Duration: 10 * time.Second}
		l.Pulse(at(0), distributor.Pulse{AgeMillis: -1}, 0)
		Expect(l.Valid(at(0))).To(BeFalse())
	})
})

var _ = Describe("Tally", func() {
	It("counts a node by its best report over all hosts, and lists the nodes that lack the revision", func() {
		now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
		var left, right distributor.Tally
		left.Observe(now, distributor.NodeRevision{Node: "moved", Revision: 3}, 3)
		left.Disconnect(now, "moved", false)
		left.Observe(now, distributor.NodeRevision{Node: "slow", Revision: 3}, 3)
		right.Observe(now, distributor.NodeRevision{Node: "moved", Revision: 4}, 4)
		later := now.Add(2 * time.Second)
		left.Observe(later, distributor.NodeRevision{Node: "slow", Revision: 3}, 4)
		f := distributor.Merge(4, []distributor.TallyAnswer{left.Answer(later, "l", 4), right.Answer(later, "r", 4)}, []string{"x"})
		Expect(f.Holding).To(Equal(1))
		Expect(f.Lacking).To(Equal(1))
		Expect(f.Missing[0].Node).To(Equal("slow"))
		Expect(f.Missing[0].BehindMillis).To(BeEquivalentTo(2000))
		Expect(f.Unreachable).To(Equal([]string{"x"}))
	})

	It("reports a vanished node for the retention time, and removes one that said goodbye", func() {
		now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
		var t distributor.Tally
		for _, n := range []string{"vanished", "stopped"} {
			t.Observe(now, distributor.NodeRevision{Node: n, Revision: 3}, 3)
			t.Disconnect(now, n, n == "stopped")
		}
		Expect(t.Answer(now, "h", 3).Missing).To(HaveLen(1))
		Expect(t.Answer(now.Add(distributor.DefaultRetention), "h", 3).Missing).To(BeEmpty())
	})
})
