package bucketer_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"marigoldpoint.example/marigoldpoint/internal/coordination/bucketer"
)

// disturbance is one fault of a run, at the entries whose number is a multiple of nth.
type disturbance struct {
	kind     string
	from, to time.Duration
	nth      int
	delay    time.Duration
	active   bool
}

// disturb applies the disturbances that begin, last or end at a time.
func disturb(faults []disturbance) func(*run, time.Duration) {
	return func(m *run, at time.Duration) {
		w := m.strategy.(*reconciled)
		w.transfer = func(_ time.Time, i int) transfer { return transferAt(faults, at, i) }
		for k := range faults {
			f := &faults[k]
			begins, ends := !f.active && at >= f.from && at < f.to, f.active && at >= f.to
			if !begins && !ends {
				continue
			}
			f.active = begins
			for i := 0; i < m.entries; i += f.nth {
				switch f.kind {
				case "stopped":
					m.down[i] = begins
					if ends {
						w.restart(i)
					}
				case "cut off":
					m.cut[i] = begins
				}
			}
			if f.kind == "leader lost" {
				m.leader = ends
				if ends {
					w.elect(m.start.Add(at))
				}
			}
		}
	}
}

// transferAt returns what happens to a report that entry i sends.
func transferAt(faults []disturbance, at time.Duration, i int) transfer {
	x := transfer{there: 30 * time.Millisecond, back: 20 * time.Millisecond}
	for _, f := range faults {
		if !f.active || i%f.nth != 0 {
			continue
		}
		switch f.kind {
		case "delayed":
			x.there += f.delay
		case "repeated":
			x.again = 10 * f.delay
		case "report lost":
			x.never, x.back = true, f.delay
		case "answer lost":
			x.lost, x.back = true, f.delay
		}
	}
	return x
}

// TestPropertyTheSumOfAllEntriesKeepsTheQuota guards against units beyond a quota in any window of
// 8 s, over all entries, while entries start and stop, are cut off and change in number, reports
// arrive late, twice or not at all, and leaders are lost.
func TestPropertyTheSumOfAllEntriesKeepsTheQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(30_000, 270_000).Draw(t, "rate")
		quota := bucketer.Limit{Rate: rate, Burst: rate * rapid.Float64Range(0.5, 4).Draw(t, "burst"), Number: 1}
		s := scenario{load: rapid.Float64Range(0.2, 1).Draw(t, "load"), peak: rapid.Float64Range(1, 7.5).Draw(t, "peak")}
		if rapid.Bool().Draw(t, "retries") {
			s.workspaces, s.peaking = 1, 1
		}
		var faults []disturbance
		for range rapid.IntRange(0, 4).Draw(t, "faults") {
			from := time.Duration(rapid.IntRange(0, 20_000).Draw(t, "from")) * time.Millisecond
			faults = append(faults, disturbance{
				kind: rapid.SampledFrom([]string{"stopped", "cut off", "delayed", "repeated", "report lost", "answer lost", "leader lost"}).Draw(t, "kind"),
				from: from, to: from + time.Duration(rapid.IntRange(100, 8_000).Draw(t, "length"))*time.Millisecond,
				nth: rapid.IntRange(1, 4).Draw(t, "nth"), delay: time.Duration(rapid.IntRange(50, 700).Draw(t, "delay")) * time.Millisecond,
			})
		}
		s.faults = disturb(faults)
		entries := rapid.IntRange(1, 42).Draw(t, "entries")
		if o := simulate(s, entries, quota, newReconciled, rapid.Uint64().Draw(t, "seed")); o.over > 0 {
			t.Fatal(fmt.Sprintf("%.0f units beyond the quota", o.over))
		}
	})
}
