package permitter_test

import (
	"fmt"
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

// serve runs a table for n grants, each load taking as long as the rate allows,
// and returns the versions in order. Before each grant it calls arrive.
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
	// Symptom: a single call for a cold adapter waits for minutes.
	// Sequence: one workspace asks for 300 cold adapters at once, with many
	// waiters each; then another asks for one.
	// Cause to prevent: ordering by waiters alone.
	It("serves a quiet workspace next, whatever a rushing one has queued", func() {
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

	// Symptom: calls wait for loads while adapters are loaded that none waits for.
	// Sequence: a workspace that was idle prefetches; another one, which has had
	// many loads, has a call that waits.
	// Cause to prevent: fairness between workspaces gives the idle one the turn,
	// and age gives it to an old prefetch.
	It("loads for a prefetch only while no call waits", func() {
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

	// Symptom: nothing loads for 30 s though the store is idle.
	// Sequence: a grant's answer is lost with its connection; the companion
	// asks again, or its waiters leave and it withdraws.
	// Cause to prevent: a permit that nobody knows to hold.
	It("gives a lost grant again, and takes it back from a companion that withdraws", func() {
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

	It("ends a permit that nobody reports, and keeps one that is reported", func() {
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

	// Symptom: nothing loads for 30 s though the store is idle.
	// Sequence: the message that finishes a permit is lost; the companion's
	// reports go on without it. One of them took a slower way and is older than
	// the permit.
	// Cause to prevent: waiting for the expiry though the holder says it is
	// done, and taking an old report for that.
	It("ends a permit that its holder no longer reports, by the holder's order of reports", func() {
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

	Describe("after a change of leader", func() {
		// Symptom: loads take twice their time after an election.
		// Sequence: a companion holds a permit of the former leader, which the
		// new one knows nothing of.
		// Cause to prevent: a grant beside a permit that is still in use.
		It("grants nothing while a former leader's permit may be in use", func() {
			t := permitter.NewTable(settings, 2, start, []string{"c", "d"})
			t.Request(start, request("w", 0, 1))
			now := start.Add(time.Second)
			t.Report(now, permitter.Report{Companion: "d", Term: 2, Sequence: 1})
			t.Report(now, permitter.Report{Companion: "c", Term: 2, Sequence: 1, Numbers: []uint64{1<<32 | 7}})
			Expect(t.Grant(now)).To(BeEmpty())
			t.Report(now, permitter.Report{Companion: "c", Term: 2, Sequence: 1})
			Expect(t.Grant(now)).To(HaveLen(1))
		})

		// Symptom: as above.
		// Sequence: a companion reports that it holds nothing before it has
		// heard of the new leader; the old leader's grant is still on its way.
		// Cause to prevent: a report that does not rule out an older grant.
		It("counts only reports made after the companion heard of the new term", func() {
			t := permitter.NewTable(settings, 2, start, []string{"c"})
			t.Request(start, request("w", 0, 1))
			t.Report(start, permitter.Report{Companion: "c", Term: 1, Sequence: 1})
			Expect(t.Grant(start.Add(time.Second))).To(BeEmpty())
		})

		It("grants after the longest life where a holder stays silent or is not known", func() {
			for _, holders := range [][]string{nil, {"dead"}} {
				t := permitter.NewTable(settings, 2, start, holders)
				t.Request(start, request("w", 0, 1))
				Expect(t.Grant(start.Add(29 * time.Second))).To(BeEmpty())
				Expect(t.Grant(start.Add(30 * time.Second))).To(HaveLen(1))
			}
		})
	})

	// Symptom: after an election nothing loads for the whole life of a permit.
	// Sequence: the new leader's history does not reach back, as always in a
	// group that has been up for long.
	// Cause to prevent: counting every name that was ever a member.
	It("counts as holders the members and those that left within the life of a permit", func() {
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

	It("divides a rate that can't be had over the companions without contact", func() {
		Expect(permitter.FallbackRate(4, 20)).To(BeNumerically("~", 0.1))
		Expect(permitter.FallbackRate(4, 0)).To(BeNumerically("~", 2))
	})
})

// Starvation bound: while a workspace of share s has requests waiting, another
// of share r gets at most ceil(r/s)+1 permits between two of its own. Inside a
// workspace, a request older than MaxAge yields only to older ones.
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
				// w0 always has something waiting; the others come and go.
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
					t.Fatalf("%s of age %v passed over for %s of age %v", v, now.Sub(s), g.Version, now.Sub(mine))
				}
			}
		}
	})
}

// Over any schedule of requests, reports, lost answers, finishes and elections,
// at most one load runs at a time, loads start no faster than the rate, and
// numbers rise.
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
		heard := [companions]uint64{}
		var lastNumber, sequence uint64
		lastStart := start.Add(-time.Minute)
		// expire has companions stop what they could not report for too long.
		expire := func() {
			for i, l := range running {
				if now.Sub(l.reported) >= settings.Expiry {
					delete(running, i)
				}
			}
		}
		for range 120 {
			now = now.Add(time.Duration(rapid.IntRange(1, 6000).Draw(t, "step")) * time.Millisecond)
			expire()
			c := rapid.IntRange(0, companions-1).Draw(t, "companion")
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				r := request("w", rapid.IntRange(0, 3).Draw(t, "version"), 1)
				r.Companion = names[c]
				table.Request(now, r)
			case 1:
				heard[c] = term
				var numbers []uint64
				if l := running[c]; l != nil {
					numbers = append(numbers, l.Number)
					l.reported = now
				}
				sequence++
				table.Report(now, permitter.Report{Companion: names[c], Term: heard[c], Sequence: sequence, Numbers: numbers})
			case 2:
				if l := running[c]; l != nil {
					if rapid.Bool().Draw(t, "finish arrives") {
						table.Finish(now, permitter.Finish{Number: l.Number, Companion: l.Companion, Version: l.Version})
					}
					delete(running, c)
				}
			case 3:
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
					for i, n := range names {
						if n == g.Companion && permitter.Term(g.Number) >= heard[i] {
							running[i] = &load{Grant: g, reported: now}
						}
					}
					if len(running) > 1 {
						t.Fatalf("%d loads at once", len(running))
					}
				}
			}
		}
	})
}
