package permitter_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"marigoldpoint.example/marigoldpoint/internal/coordination/permitter"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

var settings = permitter.Settings{Rate: 4, Parallel: 1, Expiry: 30 * time.Second, MaxAge: 5 * time.Second}

func request(workspace string, i, waiters int) permitter.Request {
	return permitter.Request{
		Companion: "c", Workspace: workspace, Version: fmt.Sprintf("%s/a%d@1", workspace, i), Waiters: waiters,
	}
}

// serve runs a table for n grants, with each load taking as long as the rate allows,
// and returns the versions in order. It calls arrive before each grant.
func serve(t *permitter.Table, now time.Time, n int, arrive func(now time.Time, i int)) []string {
	var order []string
	for i := range n {
		now = now.Add(250 * time.Millisecond)
		arrive(now, i)
		for _, g := range t.Grant(now) {
			order = append(order, g.Version)
			t.Finish(now, permitter.Finish{Number: g.Number, Companion: g.Companion, Version: g.Version})
		}
	}
	return order
}

var _ = Describe("Table", func() {
	// Guards against a single call for a cold adapter waiting for minutes. One
	// workspace requests 300 cold adapters at once, with many waiting calls each; then
	// another one requests a single adapter. The fault would be to order by waiting
	// calls alone.
	It("serves a quiet workspace next, regardless of the queue of a rushing one", func() {
		t := permitter.NewTable(settings, 1, start, []string{})
		for i := range 300 {
			t.Request(start, request("rush", i, 50))
		}
		order := serve(t, start, 20, func(now time.Time, i int) {
			if i == 10 {
				t.Request(now, request("quiet", 0, 1))
			}
		})
		Expect(order).To(HaveLen(20))
		Expect(order[10:12]).To(ContainElement("quiet/a0@1"))
	})

	// Guards against calls waiting for loads while adapters are loaded that no call
	// waits for. A workspace that was idle prefetches, while a call waits in another
	// one that has had many loads. The fault would be to give the turn to the idle
	// workspace by fairness, or to an old prefetch by age.
	It("grants a prefetch only while no call waits", func() {
		t := permitter.NewTable(settings, 1, start, []string{})
		t.Request(start, request("idle", 0, 0))
		t.Request(start, request("busy", 10, 0))
		order := serve(t, start.Add(10*time.Second), 3, func(now time.Time, i int) {
			if i < 2 {
				t.Request(now, request("busy", i, 1))
			}
		})
		Expect(order[:2]).To(Equal([]string{"busy/a0@1", "busy/a1@1"}))
		Expect(order).To(HaveLen(3))
	})

	// Guards against nothing loading for 30 s although the store is idle. The answer
	// with a grant is lost with its connection; the companion repeats the request, or
	// withdraws it when its waiting calls leave. The fault would be a permit that no
	// companion knows it holds.
	It("repeats a lost grant, and ends it when the companion withdraws", func() {
		t := permitter.NewTable(settings, 1, start, []string{})
		now := start.Add(time.Second)
		t.Request(now, request("w", 0, 1))
		lost := t.Grant(now)
		Expect(lost).To(HaveLen(1))
		again, ok := t.Request(now, request("w", 0, 1))
		Expect(ok).To(BeTrue())
		Expect(again.Number).To(Equal(lost[0].Number))
		t.Finish(now, permitter.Finish{Companion: "c", Version: "w/a0@1"})
		Expect(t.Held()).To(BeZero())
	})

	It("ends a permit that is not reported, and keeps one that is", func() {
		t := permitter.NewTable(settings, 1, start, []string{})
		now := start.Add(time.Second)
		t.Request(now, request("w", 0, 1))
		t.Request(now, request("w", 1, 1))
		g := t.Grant(now)
		Expect(g).To(HaveLen(1))
		now = now.Add(29 * time.Second)
		t.Report(now, permitter.Report{Companion: "c", Term: 1, Sequence: 1, Numbers: []uint64{g[0].Number}})
		Expect(t.Grant(now.Add(29 * time.Second))).To(BeEmpty())
		Expect(t.Grant(now.Add(30 * time.Second))).To(HaveLen(1))
	})

	// Guards against nothing loading for 30 s although the store is idle. The message
	// that finishes a permit is lost, and the companion's reports continue without the
	// permit; one delayed report is older than the permit. The fault would be to wait
	// for the expiry although the holder reports that it is done, or to accept the old
	// report as evidence.
	It("ends a permit that its holder no longer reports, in the order of the holder's reports", func() {
		t := permitter.NewTable(settings, 1, start, []string{})
		now := start.Add(time.Second)
		t.Request(now, request("w", 0, 1))
		g := t.Grant(now)
		Expect(g).To(HaveLen(1))
		t.Report(now, permitter.Report{Companion: "c", Term: 1, Sequence: 5, Numbers: []uint64{g[0].Number}})
		t.Report(now, permitter.Report{Companion: "c", Term: 1, Sequence: 4})
		Expect(t.Held()).To(Equal(1))
		t.Report(now, permitter.Report{Companion: "c", Term: 1, Sequence: 6})
		Expect(t.Held()).To(BeZero())
	})

	// Guards against nothing loading for 30 s although the store is idle. A request is
	// withdrawn and the message that says so is lost, or a grant reaches nobody.
	DescribeTable("ends what a companion neither holds nor requests any longer",
		func(granted bool) {
			t := permitter.NewTable(settings, 1, start, []string{})
			now := start.Add(time.Second)
			r := request("w", 0, 1)
			r.Sequence = 5
			t.Request(now, r)
			held := 0
			if granted {
				Expect(t.Grant(now)).To(HaveLen(1))
				held = 1
			}
			t.Report(now, permitter.Report{Companion: "c", Term: 1, Sequence: 5})
			t.Report(now, permitter.Report{Companion: "c", Term: 1, Sequence: 6, Requested: []string{r.Version}})
			t.Report(now, permitter.Report{Companion: "d", Term: 1, Sequence: 7})
			Expect([]int{t.Waiting(), t.Held()}).To(Equal([]int{1 - held, held}))
			t.Report(now, permitter.Report{Companion: "c", Term: 1, Sequence: 7})
			Expect([]int{t.Waiting(), t.Held()}).To(Equal([]int{0, 0}))
		},
		Entry("a request", false),
		Entry("a permit", true),
	)

	// Guards against two loads at once: a report from before a second request for the same
	// version arrives after it.
	DescribeTable("keeps what is requested again, whatever an earlier report says",
		func(granted bool) {
			t := permitter.NewTable(settings, 1, start, []string{})
			now := start.Add(time.Second)
			for _, sequence := range []uint64{5, 8, 5} {
				r := request("w", 0, 1)
				r.Sequence = sequence
				t.Request(now, r)
				if granted {
					t.Grant(now)
				}
			}
			t.Report(now, permitter.Report{Companion: "c", Term: 1, Sequence: 7})
			Expect(t.Waiting() + t.Held()).To(Equal(1))
		},
		Entry("a request", false),
		Entry("a permit", true),
	)

	Describe("after a change of leader", func() {
		// Guards against loads taking twice their time after an election. A companion
		// holds a permit of the previous leader that the new one does not know of. The
		// fault would be a grant while that permit is still in use.
		It("grants nothing while a previous leader's permit may be in use", func() {
			t := permitter.NewTable(settings, 2, start, []string{"c", "d"})
			t.Request(start, request("w", 0, 1))
			now := start.Add(time.Second)
			t.Report(now, permitter.Report{Companion: "d", Term: 2, Sequence: 1})
			t.Report(now, permitter.Report{Companion: "c", Term: 2, Sequence: 1, Numbers: []uint64{1<<32 | 7}})
			Expect(t.Grant(now)).To(BeEmpty())
			t.Report(now, permitter.Report{Companion: "c", Term: 2, Sequence: 1})
			Expect(t.Grant(now)).To(HaveLen(1))
		})

		// Guards against the same failure. A companion reports that it holds nothing
		// before it knows of the new leader, while a grant of the old leader is in
		// flight. The fault would be to accept a report that does not rule out an older
		// grant.
		It("counts only reports made after the companion learned of the new term", func() {
			t := permitter.NewTable(settings, 2, start, []string{"c"})
			t.Request(start, request("w", 0, 1))
			t.Report(start, permitter.Report{Companion: "c", Term: 1, Sequence: 1})
			Expect(t.Grant(start.Add(time.Second))).To(BeEmpty())
		})

		It("grants after the expiry time if a holder does not report or is unknown", func() {
			for _, holders := range [][]string{nil, {"dead"}} {
				t := permitter.NewTable(settings, 2, start, holders)
				t.Request(start, request("w", 0, 1))
				Expect(t.Grant(start.Add(29 * time.Second))).To(BeEmpty())
				Expect(t.Grant(start.Add(30 * time.Second))).To(HaveLen(1))
			}
		})
	})

	// Guards against nothing loading for the lifetime of a permit after an election.
	// The new leader's history does not reach back, as is always the case in a group
	// that has run for a long time. The fault would be to count every name that was
	// ever a member.
	It("counts as holders the members and those that left within the lifetime of a permit", func() {
		d := permitter.Departures{Expiry: settings.Expiry}
		d.Reset(start)
		d.Record(start.Add(time.Second), "early")
		_, ok := d.Holders(start.Add(29*time.Second), nil)
		Expect(ok).To(BeFalse())
		d.Record(start.Add(20*time.Second), "late")
		holders, ok := d.Holders(start.Add(40*time.Second), []string{"c"})
		Expect(ok).To(BeTrue())
		Expect(holders).To(Equal([]string{"c", "late"}))
	})

	It("divides half of the rate among the companions without contact", func() {
		Expect(permitter.FallbackRate(4, 20)).To(BeNumerically("~", 0.1))
		Expect(permitter.FallbackRate(4, 0)).To(BeNumerically("~", 2))
	})
})

// TestPropertyStarvation checks the starvation bound: while a workspace of share s has
// requests waiting, another one of share r gets at most ceil(r/s)+1 permits between two
// of its own. Within a workspace, a request older than MaxAge yields only to older
// ones.
func TestPropertyStarvation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := permitter.NewTable(settings, 1, start, []string{})
		shares := map[string]int{}
		for i := range rapid.IntRange(2, 4).Draw(t, "workspaces") {
			shares[fmt.Sprintf("w%d", i)] = rapid.IntRange(1, 5).Draw(t, "share")
		}
		since := map[string]time.Time{}
		now := start
		gaps := map[string]map[string]int{}
		next := 0
		for range 80 {
			now = now.Add(250 * time.Millisecond)
			for w, share := range shares {
				// w0 always has a request waiting; the others do not.
				for n := rapid.IntRange(0, 3).Draw(t, "arrivals"); n > 0 || w == "w0" && n == 0; n-- {
					r := request(w, next, rapid.IntRange(1, 90).Draw(t, "waiters"))
					r.Share = share
					next++
					since[r.Version] = now
					table.Request(now, r)
				}
			}
			granted := table.Grant(now)
			if len(granted) != 1 || table.Held() != 1 {
				t.Fatalf("%d grants, %d held", len(granted), table.Held())
			}
			g := granted[0]
			table.Finish(now, permitter.Finish{Number: g.Number, Companion: g.Companion, Version: g.Version})
			workspace := g.Version[:2]
			gap := gaps["w0"]
			if gap == nil || workspace == "w0" {
				gap = map[string]int{}
				gaps["w0"] = gap
			}
			if workspace != "w0" {
				gap[workspace]++
				bound := (shares[workspace]+shares["w0"]-1)/shares["w0"] + 1
				if gap[workspace] > bound {
					t.Fatalf("%s got %d permits while w0 waited, at most %d allowed", workspace, gap[workspace], bound)
				}
			}
			mine := since[g.Version]
			delete(since, g.Version)
			for v, s := range since {
				if v[:2] == workspace && now.Sub(s) >= settings.MaxAge && s.Before(mine) {
					t.Fatalf("%s of age %v was not granted before %s of age %v", v, now.Sub(s), g.Version, now.Sub(mine))
				}
			}
		}
	})
}

// TestPropertyOneAtATime checks over any schedule of requests, reports, lost answers,
// finishes and elections that at most one load runs at a time, that loads start no
// faster than the rate, and that numbers increase.
func TestPropertyOneAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const companions = 3
		names := []string{"c0", "c1", "c2"}
		now := start
		term := uint64(1)
		table := permitter.NewTable(settings, term, now, []string{})
		type load struct {
			permitter.Grant
			reported time.Time
		}
		running := map[int]*load{}
		knownTerms := [companions]uint64{}
		// requested holds the companions' calls that are neither answered nor withdrawn, by
		// version. A call may reach the leader several times.
		requested := [companions]map[string]*permitter.Request{{}, {}, {}}
		// waiting holds the latest call at the leader, by companion and version.
		waiting := map[[2]string]*permitter.Request{}
		type answer struct {
			load
			call *permitter.Request
		}
		var inFlight []answer
		deliver := func(a answer) {
			l, c := a.load, slices.Index(names, a.Companion)
			if requested[c][l.Version] == a.call && permitter.Term(l.Number) >= knownTerms[c] {
				delete(requested[c], l.Version)
				running[c] = &l
			}
			if len(running) > 1 {
				t.Fatalf("%d loads at once", len(running))
			}
		}
		var lastNumber, sequence uint64
		lastStart := start.Add(-time.Minute)
		// expire stops the loads that companions could not report for too long.
		expire := func() {
			expired := func(l load) bool { return now.Sub(l.reported) >= settings.Expiry }
			maps.DeleteFunc(running, func(_ int, l *load) bool { return expired(*l) })
			inFlight = slices.DeleteFunc(inFlight, func(a answer) bool { return expired(a.load) })
		}
		for range 120 {
			now = now.Add(time.Duration(rapid.IntRange(1, 6000).Draw(t, "step")) * time.Millisecond)
			expire()
			c := rapid.IntRange(0, companions-1).Draw(t, "companion")
			switch rapid.IntRange(0, 6).Draw(t, "action") {
			case 0:
				r := request("w", rapid.IntRange(0, 3).Draw(t, "version"), 1)
				r.Companion = names[c]
				if rapid.Bool().Draw(t, "withdrawn") {
					// The message is lost.
					delete(requested[c], r.Version)
					continue
				}
				made, ok := requested[c][r.Version]
				if !ok || !rapid.Bool().Draw(t, "repeated") {
					r.Sequence = sequence
					made = &r
					requested[c][r.Version] = made
				}
				waiting[[2]string{r.Companion, r.Version}] = made
				table.Request(now, *made)
			case 1:
				knownTerms[c] = term
				var numbers []uint64
				if l := running[c]; l != nil {
					numbers = append(numbers, l.Number)
					l.reported = now
				}
				sequence++
				table.Report(now, permitter.Report{
					Companion: names[c], Term: knownTerms[c], Sequence: sequence, Numbers: numbers,
					Requested: slices.Collect(maps.Keys(requested[c])),
				})
			case 2:
				if l := running[c]; l != nil {
					if rapid.Bool().Draw(t, "finish arrives") {
						table.Finish(now, permitter.Finish{Number: l.Number, Companion: l.Companion, Version: l.Version})
					}
					delete(running, c)
				}
			case 3:
				if len(inFlight) > 0 {
					deliver(inFlight[0])
					inFlight = inFlight[1:]
				}
			case 4:
				if rapid.IntRange(0, 3).Draw(t, "elects") == 0 {
					term++
					table = permitter.NewTable(settings, term, now, names)
				}
			default:
				for _, g := range table.Grant(now) {
					if g.Number <= lastNumber {
						t.Fatalf("number %d after %d", g.Number, lastNumber)
					}
					lastNumber = g.Number
					if now.Sub(lastStart) < 250*time.Millisecond {
						t.Fatalf("two grants within %v", now.Sub(lastStart))
					}
					lastStart = now
					if rapid.IntRange(0, 4).Draw(t, "lost") == 0 {
						continue
					}
					inFlight = append(inFlight, answer{load{g, now}, waiting[[2]string{g.Companion, g.Version}]})
				}
			}
		}
	})
}
