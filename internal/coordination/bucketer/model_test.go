package bucketer_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/bucketer"
)

const (
	// step is the model's time step, and window the time over which a quota is evaluated.
	step   = 10 * time.Millisecond
	window = 8 * time.Second
	// overage and slack are the permitted excess over the quota in a window, as a share and in
	// units.
	overage = 0.1
	slack   = 110_000
	// call is the mean cost of a call in units.
	call = 5_000.0
)

// strategy enforces one workspace's quota over several entries.
type strategy interface {
	// spend asks entry i to admit a call. If wait is set, the call asks again later.
	spend(now time.Time, i int, cost float64) (admitted, wait bool)
	// tick performs the periodic work; reach reports whether entry i can reach the leader.
	tick(now time.Time, reach func(i int) bool)
	// restart restarts entry i, and elect elects a new leader.
	restart(i int)
	elect(now time.Time)
	messages() int
}

// reconciled is the strategy of this package: entries admit by their estimate of the shared bucket.
type reconciled struct {
	ledger   *bucketer.Ledger
	accounts []*bucketer.Accounts
	due      []time.Time
	quota    bucketer.Limit
	term     uint64
	started  uint64
	sent     int
	// dropAnswers reports whether answers are lost at a time; nil means never.
	dropAnswers func(now time.Time) bool
}

func newReconciled(now time.Time, entries int, l bucketer.Limit) strategy {
	w := &reconciled{quota: l, accounts: make([]*bucketer.Accounts, entries), due: make([]time.Time, entries)}
	w.elect(now.Add(-time.Minute))
	for i := range entries {
		w.restart(i)
		w.due[i] = now.Add(time.Duration(i) * step)
	}
	return w
}

func (w *reconciled) spend(now time.Time, i int, cost float64) (admitted, wait bool) {
	d := w.accounts[i].Spend(now, "w", w.quota, cost)
	if d.Unknown {
		w.due[i] = now
	}
	return d.Admitted, d.Unknown
}

func (w *reconciled) tick(now time.Time, reach func(int) bool) {
	for i, a := range w.accounts {
		if now.Before(w.due[i]) {
			continue
		}
		w.due[i] = now.Add(250 * time.Millisecond)
		if a.BelowHalf(now) {
			w.due[i] = now.Add(100 * time.Millisecond)
		}
		r := a.Collect(now)
		if len(r.Uses) == 0 {
			continue
		}
		w.sent++
		if !reach(i) {
			a.ReportFailed()
			continue
		}
		r.Entry = strconv.Itoa(i)
		levels := w.ledger.Report(now, bucketer.Batch{Host: "h", Entries: len(w.accounts), Reports: []bucketer.Report{r}})
		if w.dropAnswers != nil && w.dropAnswers(now) {
			a.ReportFailed()
			continue
		}
		a.ApplyAnswer(now, bucketer.Answer{Ledger: w.term, Entries: w.ledger.Entries(), Levels: levels})
	}
}

func (w *reconciled) restart(i int) {
	// Each process draws a different sequence.
	w.started++
	w.accounts[i] = bucketer.NewAccounts(rand.New(rand.NewPCG(uint64(i), w.started)))
}

func (w *reconciled) elect(now time.Time) {
	w.term++
	w.ledger = bucketer.NewLedger(now, w.term)
}

func (w *reconciled) messages() int { return w.sent }

// leased is the alternative that reconciled is compared with. Each entry has a bucket of its own,
// refilled with a share of the rate that follows its demand. A share is leased: an entry that is
// cut off keeps it until the lease ends, and no other entry gets it before that.
type leased struct {
	quota   bucketer.Limit
	level   []float64
	at      []time.Time
	share   []float64
	asked   []float64
	demand  []float64
	until   []time.Time
	nextAt  time.Time
	sent    int
	entries int
}

const leasedFor = 3 * time.Second

func newLeased(now time.Time, entries int, l bucketer.Limit) strategy {
	w := &leased{quota: l, entries: entries, nextAt: now}
	for range entries {
		even := 1 / float64(entries)
		w.level, w.at = append(w.level, l.Burst*even), append(w.at, now)
		w.share, w.asked, w.demand = append(w.share, even), append(w.asked, 0), append(w.demand, 0)
		w.until = append(w.until, now.Add(leasedFor))
	}
	return w
}

func (w *leased) fill(now time.Time, i int) {
	w.level[i] = math.Min(w.share[i]*w.quota.Burst, w.level[i]+w.share[i]*w.quota.Rate*now.Sub(w.at[i]).Seconds())
	w.at[i] = now
}

func (w *leased) spend(now time.Time, i int, cost float64) (admitted, wait bool) {
	w.fill(now, i)
	w.asked[i] += cost
	if w.level[i] <= 0 || now.After(w.until[i]) {
		return false, false
	}
	w.level[i] -= cost
	return true, false
}

func (w *leased) tick(now time.Time, reach func(int) bool) {
	if now.Before(w.nextAt) {
		return
	}
	w.nextAt = now.Add(250 * time.Millisecond)
	free, sum := 1.0, 0.0
	for i := range w.entries {
		if w.asked[i] > 0 {
			w.sent++
		}
		if !reach(i) {
			if now.Before(w.until[i]) {
				free -= w.share[i]
			}
			continue
		}
		// A floor reserves a share for an entry without recent demand.
		w.demand[i] = 0.7*w.demand[i] + 0.3*w.asked[i]
		w.asked[i] = 0
		sum += w.demand[i] + call/4
	}
	for i := range w.entries {
		if reach(i) {
			w.fill(now, i)
			w.share[i] = math.Max(0, free) * (w.demand[i] + call/4) / sum
			w.until[i] = now.Add(leasedFor)
		}
	}
}

func (w *leased) restart(i int) {
	w.level[i], w.share[i], w.demand[i], w.asked[i] = 0, 0, 0, 0
}

func (w *leased) elect(time.Time) {}

func (w *leased) messages() int { return w.sent }

// scenario is the load and the faults in a run of the model.
type scenario struct {
	name string
	// load is the demand as a share of the rate, and peak the factor on it from 5 s to 15 s.
	load, peak float64
	// singleEntry sends all calls through one entry.
	singleEntry bool
	// faults injects faults into the run; nil means none.
	faults func(m *run, now time.Duration)
}

// run is the state of one run of the model.
type run struct {
	strategy strategy
	start    time.Time
	down     map[int]bool
	leader   bool
	entries  int
}

// outcome is the result of a run.
type outcome struct {
	// over is the excess of the worst window over the permitted amount, in units; negative if there
	// is none.
	over float64
	// lost is the share of what a single bucket would have admitted that was refused.
	lost     float64
	messages float64
}

// simulate simulates a scenario for 25 s.
func simulate(s scenario, entries int, quota bucketer.Limit, begin func(time.Time, int, bucketer.Limit) strategy, seed uint64) outcome {
	random := rand.New(rand.NewPCG(seed, 7))
	start := time.Unix(1000, 0)
	m := &run{start: start, down: map[int]bool{}, leader: true, entries: entries}
	m.strategy = begin(start, entries, quota)
	const length = 25 * time.Second
	admitted := make([]float64, length/step)
	var total, exact float64
	level := quota.Burst
	var waiting []waitingCall
	for at := time.Duration(0); at < length; at += step {
		now := start.Add(at)
		if s.faults != nil {
			s.faults(m, at)
		}
		level = math.Min(quota.Burst, level+quota.Rate*step.Seconds())
		m.strategy.tick(now, func(i int) bool { return m.leader && !m.down[i] })
		ask := func(w waitingCall) bool {
			got, wait := m.strategy.spend(now, w.entry, w.cost)
			if got {
				admitted[at/step] += w.cost
				total += w.cost
			}
			return wait
		}
		still := waiting[:0]
		for _, w := range waiting {
			if at-w.since <= maxCallWait && !m.down[w.entry] && ask(w) {
				still = append(still, w)
			}
		}
		waiting = still
		rate := s.load * quota.Rate / call
		if at >= 5*time.Second && at < 15*time.Second {
			rate *= s.peak
		}
		for calls := rate * step.Seconds(); calls > 0; calls-- {
			if calls < 1 && random.Float64() > calls {
				break
			}
			i := 0
			if !s.singleEntry {
				// Callers are distributed unevenly.
				i = int(float64(entries) * math.Pow(random.Float64(), 1.5))
			}
			cost := call * (0.1 + random.ExpFloat64()*0.9)
			if m.down[i] {
				continue
			}
			if level > 0 {
				level -= cost
				exact += cost
			}
			if w := (waitingCall{entry: i, cost: cost, since: at}); ask(w) {
				waiting = append(waiting, w)
			}
		}
	}
	return outcome{over: worstWindow(admitted, quota), lost: math.Max(0, 1-total/exact), messages: float64(m.strategy.messages()) / length.Seconds()}
}

// waitingCall is a call that waits for a report, for at most maxCallWait.
type waitingCall struct {
	entry int
	cost  float64
	since time.Duration
}

const maxCallWait = 300 * time.Millisecond

// worstWindow returns the excess of the worst window over the permitted amount, in units.
func worstWindow(admitted []float64, quota bucketer.Limit) float64 {
	span := int(window / step)
	sum, most := 0.0, 0.0
	for i, a := range admitted {
		sum += a
		if i >= span {
			sum -= admitted[i-span]
		}
		most = math.Max(most, sum)
	}
	return most - (quota.Rate*window.Seconds()+quota.Burst)*(1+overage) - slack
}

// between reports whether at is within a range given in seconds.
func between(at time.Duration, from, to float64) bool {
	return at.Seconds() >= from && at.Seconds() < to
}

var scenarios = []scenario{
	{name: "base load", load: 0.8, peak: 1},
	{name: "peak of 6 times", load: 0.8, peak: 6},
	{name: "peak of 7.5 times through one entry", load: 0.8, peak: 7.5, singleEntry: true},
	{name: "leader lost", load: 0.8, peak: 6, faults: func(m *run, at time.Duration) {
		if m.leader && between(at, 6, 7.5) {
			m.strategy.elect(m.start.Add(at))
		}
		m.leader = !between(at, 6, 7.5)
	}},
	{name: "leader lost at the start of the peak", load: 0.8, peak: 6, faults: func(m *run, at time.Duration) {
		if m.leader && between(at, 4.9, 6.4) {
			m.strategy.elect(m.start.Add(at))
		}
		m.leader = !between(at, 4.9, 6.4)
	}},
	{name: "leader lost twice at base load", load: 0.8, peak: 1, faults: func(m *run, at time.Duration) {
		lost := between(at, 6, 7.2) || between(at, 9, 9.7)
		if !m.leader && !lost {
			m.strategy.elect(m.start.Add(at))
		}
		m.leader = !lost
	}},
	{name: "answers lost at base load", load: 0.8, peak: 1, faults: func(m *run, at time.Duration) {
		if w, is := m.strategy.(*reconciled); is {
			w.dropAnswers = func(time.Time) bool { return between(at, 6, 7.5) }
		}
	}},
	{name: "a third of the entries killed", load: 0.8, peak: 6, faults: func(m *run, at time.Duration) {
		for i := 0; i < m.entries; i += 3 {
			if m.down[i] && !between(at, 7, 8) {
				m.strategy.restart(i)
			}
			m.down[i] = between(at, 7, 8)
		}
	}},
	{name: "leader and all entries lost", load: 0.8, peak: 6, faults: func(m *run, at time.Duration) {
		if m.leader && between(at, 9, 10) {
			m.strategy.elect(m.start.Add(10 * time.Second))
		}
		m.leader = !between(at, 9, 10)
		for i := range m.entries {
			if m.down[i] && m.leader {
				m.strategy.restart(i)
			}
			m.down[i] = !m.leader
		}
	}},
}

// maxLeaderlessShare is the largest share of a run's time without a leader, in scenarios whose
// workspace stays below its quota.
const maxLeaderlessShare = 1.9 / 25

// TestQuotasHoldOverAllEntries guards against calls of a workspace that the entries together admit
// beyond its quota, and against refusals below it.
func TestQuotasHoldOverAllEntries(t *testing.T) {
	table := os.Getenv("MODEL_TABLE") != ""
	sizes, seeds := []int{28, 300}, 2
	if table {
		sizes, seeds = append(sizes, 930), 5
	}
	for _, entries := range sizes {
		for _, rate := range []float64{30_000, 270_000} {
			for _, s := range scenarios {
				for name, strategy := range map[string]func(time.Time, int, bucketer.Limit) strategy{"reconciled": newReconciled, "leased": newLeased} {
					if name == "leased" && !table {
						continue
					}
					o := outcome{over: math.Inf(-1)}
					for seed := range uint64(seeds) {
						p := simulate(s, entries, bucketer.Limit{Rate: rate, Burst: rate, Number: 1}, strategy, seed)
						o.over, o.lost, o.messages = math.Max(o.over, p.over), o.lost+p.lost/float64(seeds), o.messages+p.messages/float64(seeds)
					}
					if table {
						fmt.Printf("| %d | %.0f | %s | %s | %.0f | %.3f | %.0f |\n", entries, rate, s.name, name, o.over, o.lost, o.messages)
					}
					if name == "reconciled" && s.peak == 1 && o.lost > maxLeaderlessShare {
						t.Errorf("%d entries, %.0f units/s, %s: %.3f refused below the quota", entries, rate, s.name, o.lost)
					}
					if name == "reconciled" && o.over > 0 {
						t.Errorf("%d entries, %.0f units/s, %s: %.0f units beyond the quota", entries, rate, s.name, o.over)
					}
				}
			}
		}
	}
}
