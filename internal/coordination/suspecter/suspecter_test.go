package suspecter_test

import (
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"marigoldpoint.example/marigoldpoint/internal/coordination/suspecter"
	"marigoldpoint.example/marigoldpoint/internal/state/identifier"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

func TestSuspecter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Suspecter")
}

var start = time.Unix(1_000_000, 0)

// control is the replicated state and the view of it at an entry.
type control struct {
	store   *storer.Store
	tracker *tracker.Tracker
	index   uint64
}

func newControl() *control {
	return &control{
		store:   storer.NewStore(storer.Settings{}),
		tracker: tracker.NewTracker(tracker.Settings{Decode: func([]byte) (*tracker.Routing, error) { return &tracker.Routing{}, nil }}),
	}
}

func (c *control) apply(command storer.Command) storer.Result {
	data, err := storer.Encode(storer.Envelope{Command: command})
	Expect(err).NotTo(HaveOccurred())
	c.index++
	result, ok := c.store.Apply(c.index, data).(storer.Result)
	Expect(ok).To(BeTrue())
	changes, upTo, ok := c.store.Since(c.tracker.Revision(), 0)
	Expect(ok).To(BeTrue())
	Expect(c.tracker.Apply(changes, upTo)).To(Succeed())
	return result
}

func request(name string) identifier.Request {
	return identifier.Request{Caller: "c", Method: "POST", Host: "h", Target: "/" + name, Body: []byte(name)}
}

func ended(incarnation uint64, names ...string) storer.CountEnds {
	c := storer.CountEnds{Service: "s", Life: incarnation}
	for _, name := range names {
		c.Requests = append(c.Requests, storer.EndedRequest{Name: identifier.Identify(request(name)).String(), Place: request(name).Place()})
	}
	return c
}

var _ = Describe("A request under which backend servers ended", func() {
	var c *control
	var table *suspecter.Table
	quarantined := func(name string) bool {
		_, is := table.Quarantine(c.tracker.View(), start, identifier.Identify(request(name)))
		return is
	}
	BeforeEach(func() {
		c = newControl()
		table = suspecter.NewTable(suspecter.Settings{})
	})

	It("is quarantined after the third end, whichever entries observed it", func() {
		for incarnation := range uint64(2) {
			c.apply(ended(incarnation, "x", "y"))
			c.apply(ended(incarnation, "x"))
		}
		Expect(quarantined("x")).To(BeFalse(), "several entries report one incarnation")
		c.apply(ended(2, "x"))
		Expect(quarantined("x")).To(BeTrue())
		Expect(quarantined("y")).To(BeFalse())
		Expect(table.SuspectAt(c.tracker.View(), request("x").Place())).To(BeTrue())
		Expect(table.SuspectAt(c.tracker.View(), request("z").Place())).To(BeFalse())
	})

	It("is quarantined by an entry's own observations, without contact to control", func() {
		for incarnation := range uint64(3) {
			Expect(quarantined("x")).To(BeFalse())
			table.Ended(start, ended(incarnation, "x"))
		}
		Expect(quarantined("x")).To(BeTrue())
		Expect(table.SuspectAt(c.tracker.View(), request("x").Place())).To(BeTrue())
	})

	It("is counted across both sources", func() {
		c.apply(ended(0, "x"))
		c.apply(ended(1, "x"))
		table.Ended(start, ended(1, "x"))
		Expect(quarantined("x")).To(BeFalse(), "one incarnation, reported and observed")
		table.Ended(start, ended(2, "x"))
		Expect(quarantined("x")).To(BeTrue())
	})

	It("is cleared when it is answered", func() {
		c.apply(ended(0, "x"))
		c.apply(ended(1, "x"))
		table.Ended(start, ended(1, "x"))
		id := identifier.Identify(request("x"))
		Expect(table.RecordAnswer(c.tracker.View(), id)).To(BeTrue())
		c.apply(storer.ClearSuspects{Names: []string{id.String()}})
		Expect(table.RecordAnswer(c.tracker.View(), id)).To(BeFalse(), "reported once")
		c.apply(ended(2, "x"))
		c.apply(ended(3, "x"))
		Expect(quarantined("x")).To(BeFalse())
		Expect(table.RecordAnswer(c.tracker.View(), identifier.Identify(request("other")))).To(BeFalse())
	})

	It("is also removed by entries that observed it when an operator clears it", func() {
		for incarnation := range uint64(3) {
			table.Ended(start, ended(incarnation, "x"))
			c.apply(ended(incarnation, "x"))
		}
		table.Sync(c.tracker.View(), c.tracker.Revision())
		c.apply(storer.ClearSuspects{Names: []string{identifier.Identify(request("x")).String()}})
		table.Sync(c.tracker.View(), c.tracker.Revision())
		Expect(quarantined("x")).To(BeFalse())
		Expect(table.SuspectAt(c.tracker.View(), request("x").Place())).To(BeFalse())
	})

	It("is served by an entry whose view skips the revision of its release", func() {
		// Guards against an entry that refuses a released request for ten minutes by its own
		// record: another entry's report made the request a suspect again, and the entry's
		// next view showed only that.
		var last storer.Result
		for incarnation := range uint64(3) {
			table.Ended(start, ended(incarnation, "x"))
			last = c.apply(ended(incarnation, "x"))
			table.Reported(ended(incarnation, "x"), last.Revision)
		}
		table.Sync(c.tracker.View(), last.Revision-1)
		Expect(quarantined("x")).To(BeTrue())
		c.apply(storer.ClearSuspects{Names: []string{identifier.Identify(request("x")).String()}, Released: true})
		c.apply(ended(9, "x"))
		table.Sync(c.tracker.View(), c.tracker.Revision())
		Expect(quarantined("x")).To(BeFalse())

		By("removing at once what was reported late, and isn't counted")
		table.Ended(start, ended(1, "x"))
		late := c.apply(ended(1, "x"))
		Expect(late.Verdict).To(Equal(storer.VerdictStale))
		c.apply(ended(10, "x"))
		table.Sync(c.tracker.View(), c.tracker.Revision())
		Expect(quarantined("x")).To(BeTrue())
		table.Reported(ended(1, "x"), late.Revision)
		Expect(quarantined("x")).To(BeFalse())
	})

	It("stays quarantined by an entry's own record until the replicated state shows the ends", func() {
		for incarnation := range uint64(3) {
			table.Ended(start, ended(incarnation, "x"))
			table.Reported(ended(incarnation, "x"), 9)
		}
		table.Reported(ended(0, "x"), 0)
		table.Sync(c.tracker.View(), 8)
		Expect(quarantined("x")).To(BeTrue())
		table.Sync(c.tracker.View(), 9)
		Expect(quarantined("x")).To(BeFalse())
	})

	It("needs six ends if its answer had started each time", func() {
		// Requests that have long been answering are the majority of those in progress
		// when a server ends. A request that crashes servers midway is still found.
		for incarnation := range uint64(6) {
			Expect(quarantined("x")).To(BeFalse())
			e := ended(incarnation, "x")
			e.Requests[0].Progressed = true
			c.apply(e)
		}
		Expect(quarantined("x")).To(BeTrue())
	})

	It("is given one more backend server after its quarantine, and then a longer quarantine", func() {
		s := suspecter.Settings{}
		r := suspecter.NewReviewer(s)
		now := start
		observe := func() {
			list, _ := c.store.List(storer.KindSuspect, "")
			for _, one := range list {
				r.Observe(now, one, false)
			}
		}
		for incarnation := range uint64(3) {
			c.apply(ended(incarnation, "x"))
		}
		for number, want := range []time.Duration{10 * time.Minute, 20 * time.Minute, 40 * time.Minute} {
			observe()
			Expect(quarantined("x")).To(BeTrue())
			now = now.Add(want - time.Second)
			Expect(r.Due(now)).To(BeEmpty())
			now = now.Add(time.Second)
			c.apply(storer.ReviewSuspects{Suspects: r.Due(now)})
			Expect(quarantined("x")).To(BeFalse())
			c.apply(ended(uint64(10+number), "x"))
		}
		Expect(s.QuarantineTime(99)).To(Equal(24 * time.Hour))
	})

	It("is removed after ten minutes without another end", func() {
		r := suspecter.NewReviewer(suspecter.Settings{})
		c.apply(ended(0, "x"))
		list, _ := c.store.List(storer.KindSuspect, "")
		r.Observe(start, list[0], false)
		due := r.Due(start.Add(10 * time.Minute))
		Expect(due).To(HaveLen(1))
		c.apply(ended(1, "x"))
		Expect(c.apply(storer.ReviewSuspects{Suspects: due}).Verdict).To(Equal(storer.VerdictStale), "there was another end meanwhile")
		list, _ = c.store.List(storer.KindSuspect, "")
		r.Observe(start, list[0], false)
		c.apply(storer.ReviewSuspects{Suspects: r.Due(start.Add(10 * time.Minute))})
		list, _ = c.store.List(storer.KindSuspect, "")
		Expect(list).To(BeEmpty())
		r.Observe(start, storer.Resource{Metadata: storer.Metadata{Name: due[0].Name}}, true)
		Expect(r.Due(start.Add(time.Hour))).To(BeEmpty())
		table.Ended(start, ended(7, "old"))
		table.Ended(start.Add(time.Hour), ended(8, "new"))
		Expect(table.SuspectAt(c.tracker.View(), request("old").Place())).To(BeFalse())
	})

	It("is remembered within bounds, with quarantined requests evicted last", func() {
		for incarnation := range uint64(3) {
			c.apply(ended(incarnation, "x"))
		}
		for i := range storer.MaxSuspects + 10 {
			c.apply(ended(9, "n"+strconv.Itoa(i)))
		}
		list, _ := c.store.List(storer.KindSuspect, "")
		Expect(list).To(HaveLen(storer.MaxSuspects))
		Expect(quarantined("x")).To(BeTrue())
		for i := range 2000 {
			table.Ended(start, ended(9, "n"+strconv.Itoa(i)))
		}
		Expect(table.SuspectAt(newControl().tracker.View(), request("n1999").Place())).To(BeFalse())
	})

	It("is ignored if it has no identity", func() {
		e := storer.CountEnds{Life: 1, Requests: []storer.EndedRequest{{Name: "none"}}}
		Expect(c.apply(e).Verdict).To(Equal(storer.VerdictStale))
		table.Ended(start, e)
		Expect(table.SuspectAt(c.tracker.View(), 0)).To(BeFalse())
	})
})

// TestInnocent simulates deployments in which servers end for other causes. A request
// that is mostly answered must never be quarantined, whatever the order of the reports.
func TestInnocent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		RegisterTestingT(t)
		c := newControl()
		table := suspecter.NewTable(suspecter.Settings{})
		id := identifier.Identify(request("x"))
		since := 0
		for incarnation := range uint64(rapid.IntRange(1, 40).Draw(t, "ends")) {
			e := ended(incarnation, "x")
			if rapid.Bool().Draw(t, "seen here") {
				table.Ended(start, e)
			}
			c.apply(e)
			table.Sync(c.tracker.View(), c.tracker.Revision())
			if since++; since < storer.QuarantineThreshold {
				if _, is := table.Quarantine(c.tracker.View(), start, id); is {
					t.Fatalf("quarantined after %d ends since its last answer", since)
				}
			}
			if since == storer.QuarantineThreshold-1 || rapid.Bool().Draw(t, "answered") {
				if table.RecordAnswer(c.tracker.View(), id) {
					c.apply(storer.ClearSuspects{Names: []string{id.String()}})
				}
				table.Sync(c.tracker.View(), c.tracker.Revision())
				since = 0
			}
		}
	})
}
