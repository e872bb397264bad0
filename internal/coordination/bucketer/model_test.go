package bucketer_test

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"os"
	"slices"
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
	// spend asks an entry to admit a call that may wait until left has passed. If wait is set, the
	// call asks again later. If it is refused, retryAfter is set, if the strategy names a time.
	spend(now time.Time, c *modelCall, left time.Duration) (admitted, wait bool, retryAfter time.Duration)
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
	// transfer returns what happens to a report of entry i; nil means that it arrives at once.
	transfer func(now time.Time, i int) transfer
	// sending holds the reports that are on their way or wait for their answer.
	sending []*exchange
	// host returns the control host of entry i and the number of its entries; nil means one host.
	host func(i int) (name string, entries int)
}

// transfer is what happens to one report.
type transfer struct {
	// there and back are the times that the report and its answer take. If lost is set, there is no
	// answer, and the entry gives up after back.
	there, back time.Duration
	lost        bool
	// never is set if the report does not reach the leader, and again the time after which a copy
	// arrives, if it is above 0.
	never bool
	again time.Duration
}

// exchange is a report on its way.
type exchange struct {
	transfer
	entry    int
	accounts *bucketer.Accounts
	sentAt   time.Time
	report   bucketer.Report
	levels   []bucketer.Level
	term     uint64
	arrived  bool
	answered bool
	copied   bool
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

func (w *reconciled) spend(now time.Time, c *modelCall, left time.Duration) (admitted, wait bool, retryAfter time.Duration) {
	d := w.accounts[c.entry].Spend(now, c.workspace, w.quota, c.cost, left)
	if d.Unknown || d.ReportDue {
		w.due[c.entry] = now
	}
	return d.Admitted, d.Unknown, d.RetryAfter
}

func (w *reconciled) tick(now time.Time, reach func(int) bool) {
	w.deliver(now)
	for i, a := range w.accounts {
		if now.Before(w.due[i]) || slices.ContainsFunc(w.sending, func(x *exchange) bool { return x.accounts == a && !x.answered }) {
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
		x := &exchange{entry: i, accounts: a, sentAt: now, report: r}
		if w.transfer != nil {
			x.transfer = w.transfer(now, i)
			w.due[i] = w.due[i].Add(x.there + x.back)
		}
		w.sending = append(w.sending, x)
		w.deliver(now)
	}
}

// deliver passes on the reports and answers that are due.
func (w *reconciled) deliver(now time.Time) {
	w.sending = slices.DeleteFunc(w.sending, func(x *exchange) bool {
		arriving, again := x.sentAt.Add(x.there), x.sentAt.Add(x.again)
		if !x.arrived && !x.never && !now.Before(arriving) {
			x.arrived, x.term, x.levels = true, w.term, w.report(now, x)
		}
		if x.again > 0 && !x.copied && !now.Before(again) {
			x.copied = true
			w.report(now, x)
		}
		if !x.answered && !now.Before(arriving.Add(x.back)) {
			x.answered = true
			switch {
			case x.lost || !x.arrived || w.dropAnswers != nil && w.dropAnswers(now):
				x.accounts.ReportFailed()
			default:
				x.accounts.ApplyAnswer(now, bucketer.Answer{Ledger: x.term, Entries: w.ledger.Entries(), Levels: x.levels})
			}
		}
		return x.answered && (x.again == 0 || x.copied)
	})
}

func (w *reconciled) report(now time.Time, x *exchange) []bucketer.Level {
	b := bucketer.Batch{Host: "h", Entries: len(w.accounts), Reports: []bucketer.Report{x.report}}
	if w.host != nil {
		b.Host, b.Entries = w.host(x.entry)
	}
	return w.ledger.Report(now, b)
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

func (w *leased) spend(now time.Time, c *modelCall, _ time.Duration) (admitted, wait bool, retryAfter time.Duration) {
	i := c.entry
	w.fill(now, i)
	w.asked[i] += c.cost
	if w.level[i] <= 0 || now.After(w.until[i]) {
		return false, false, 0
	}
	w.level[i] -= c.cost
	return true, false, 0
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
	// workspaces is the number of workspaces, 0 for one, and peaking the number of those with the
	// peak. Several have few callers each, which are hashed to entries and retry once.
	workspaces, peaking int
	// peakEnd is the end of the peak; 0 means 15 s.
	peakEnd time.Duration
	// faults injects faults into the run; nil means none.
	faults func(m *run, now time.Duration)
}

// run is the state of one run of the model.
type run struct {
	strategy strategy
	start    time.Time
	// down holds the entries that don't run, and cut those that don't reach control.
	down, cut map[int]bool
	leader    bool
	entries   int
}

// outcome is the result of a run.
type outcome struct {
	// over is the excess of the worst window over the permitted amount, in units; negative if there
	// is none.
	over float64
	// lost is the largest share of what a single bucket would have admitted that was refused, over
	// all workspaces, and lostAtPeak the same for those with the peak and its time.
	lost, lostAtPeak float64
	messages         float64
	// refused is the number of first calls that were refused over quota; of these retried came
	// back, and regained were then admitted.
	refused, retried, regained int
}

// modelCall is a call in the model.
type modelCall struct {
	workspace string
	index     int
	entry     int
	cost      float64
	// since is the time at which it was last sent, and until its deadline.
	since, until time.Duration
	retry        bool
	// inExact is set once the single bucket has admitted the call.
	inExact bool
}

// tally counts what was admitted of one workspace.
type tally struct {
	admitted, exact []float64
	// level is that of the single bucket that it is compared with.
	level float64
}

// hashedCallers is the number of callers of each of several workspaces.
const hashedCallers = 30

// simulate simulates a scenario for 25 s.
func simulate(s scenario, entries int, quota bucketer.Limit, begin func(time.Time, int, bucketer.Limit) strategy, seed uint64) outcome {
	random := rand.New(rand.NewPCG(seed, 7))
	start := time.Unix(1000, 0)
	m := &run{start: start, down: map[int]bool{}, cut: map[int]bool{}, leader: true, entries: entries}
	m.strategy = begin(start, entries, quota)
	const length = 25 * time.Second
	peakEnd := cmp.Or(s.peakEnd, 15*time.Second)
	tallies := make([]tally, max(1, s.workspaces))
	for i := range tallies {
		tallies[i] = tally{admitted: make([]float64, length/step), exact: make([]float64, length/step), level: quota.Burst}
	}
	var o outcome
	var waiting, returning []modelCall
	for at := time.Duration(0); at < length; at += step {
		now := start.Add(at)
		if s.faults != nil {
			s.faults(m, at)
		}
		for i := range tallies {
			tallies[i].level = math.Min(quota.Burst, tallies[i].level+quota.Rate*step.Seconds())
		}
		m.strategy.tick(now, func(i int) bool { return m.leader && !m.down[i] && !m.cut[i] })
		ask := func(c modelCall) bool {
			got, wait, after := m.strategy.spend(now, &c, c.until-at)
			switch {
			case got:
				tallies[c.index].admitted[at/step] += c.cost
				if c.retry {
					o.regained++
				}
			case !wait && !c.retry && s.workspaces > 0:
				o.refused++
				if after <= (c.until-at)/3 {
					o.retried++
					c.retry, c.since, c.entry = true, at+after, random.IntN(entries)
					returning = append(returning, c)
				}
			}
			return wait
		}
		first := func(c modelCall) {
			if m.down[c.entry] {
				return
			}
			if y := &tallies[c.index]; y.level > 0 && !c.inExact {
				y.level -= c.cost
				y.exact[at/step] += c.cost
				c.inExact = true
			}
			if ask(c) {
				waiting = append(waiting, c)
			}
		}
		still := waiting[:0]
		for _, c := range waiting {
			if at-c.since <= maxCallWait && !m.down[c.entry] && ask(c) {
				still = append(still, c)
			}
		}
		waiting = still
		due := returning
		returning = nil
		for _, c := range due {
			if c.since > at {
				returning = append(returning, c)
			} else {
				c.since = at
				first(c)
			}
		}
		for w := range tallies {
			rate := s.load * quota.Rate / call
			if at >= 5*time.Second && at < peakEnd && (s.workspaces == 0 || w < s.peaking) {
				rate *= s.peak
			}
			for calls := rate * step.Seconds(); calls > 0; calls-- {
				if calls < 1 && random.Float64() > calls {
					break
				}
				first(newModelCall(s, random, entries, w, at))
			}
		}
	}
	o.over, o.messages = math.Inf(-1), float64(m.strategy.messages())/length.Seconds()
	from, to := 5*time.Second/step, peakEnd/step
	for i := range tallies {
		y := &tallies[i]
		o.over = math.Max(o.over, worstWindow(y.admitted, quota))
		o.lost = math.Max(o.lost, 1-sum(y.admitted)/sum(y.exact))
		if s.workspaces == 0 || i < s.peaking {
			o.lostAtPeak = math.Max(o.lostAtPeak, 1-sum(y.admitted[from:to])/sum(y.exact[from:to]))
		}
	}
	return o
}

// newModelCall returns a new call of workspace w. Callers are distributed unevenly.
func newModelCall(s scenario, random *rand.Rand, entries, w int, at time.Duration) modelCall {
	c := modelCall{workspace: "w" + strconv.Itoa(w), index: w, since: at, until: at + 12*time.Second}
	if !s.singleEntry {
		c.entry = int(float64(entries) * math.Pow(random.Float64(), 1.5))
	}
	c.cost = call * (0.1 + random.ExpFloat64()*0.9)
	if s.workspaces > 0 {
		hash := fnv.New32a()
		_, _ = fmt.Fprint(hash, w, "/", int(hashedCallers*math.Pow(random.Float64(), 1.5)))
		c.entry = int(hash.Sum32()) % entries
		c.until = at + time.Duration(4*(1+random.IntN(3)))*time.Second
	}
	return c
}

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}

// maxCallWait is the longest wait of a call for a report.
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

// suspendedHost suspends one of three control hosts, which doesn't lead, from 7 s for 7.8 s. Its entries use
// another one after silence. It then passes on the reports that it got before.
func suspendedHost(m *run, at time.Duration) {
	const from, until, silence = 7 * time.Second, 14800 * time.Millisecond, 900 * time.Millisecond
	w := m.strategy.(*reconciled)
	now := m.start.Add(at)
	w.host = func(i int) (string, int) {
		if i%3 == 0 && now.Sub(m.start) >= from+silence {
			i++
		}
		return strconv.Itoa(i % 3), m.entries / 3
	}
	w.transfer = func(_ time.Time, i int) transfer {
		if i%3 == 0 && at >= from && at < from+silence {
			return transfer{back: min(700*time.Millisecond, from+silence-at), lost: true, never: true, again: until - at}
		}
		return transfer{there: 30 * time.Millisecond, back: 20 * time.Millisecond}
	}
}

// TestAdmitsWhatOneBucketWould guards against refusals of what a workspace may use, while a leader
// answers: three of 16 workspaces send six times their rate for 11 s, and a control host is suspended
// and resumes. Callers are hashed to entries, and those that are refused retry once.
func TestAdmitsWhatOneBucketWould(t *testing.T) {
	s := scenario{name: "three workspaces send six times their rate", load: 0.8, peak: 7.5, workspaces: 16, peaking: 3, peakEnd: 16 * time.Second, faults: suspendedHost}
	seeds := 3
	if os.Getenv("MODEL_TABLE") != "" {
		seeds = 10
	}
	for _, entries := range []int{21, 42} {
		for _, quota := range []bucketer.Limit{{Rate: 30_000, Burst: 30_000, Number: 1}, {Rate: 60_000, Burst: 240_000, Number: 1}, {Rate: 270_000, Burst: 270_000, Number: 1}} {
			for seed := range uint64(seeds) {
				o := simulate(s, entries, quota, newReconciled, seed)
				t.Logf("%d entries, %.0f units/s, burst %.0f: %.0f over, %.3f lost, %.3f lost at the peak, %d refused, %d retried, %d of these admitted",
					entries, quota.Rate, quota.Burst, o.over, o.lost, o.lostAtPeak, o.refused, o.retried, o.regained)
				if o.over > 0 {
					t.Errorf("%.0f units beyond the quota", o.over)
				}
				if math.Max(o.lost, o.lostAtPeak) > 0.1 {
					t.Errorf("%.3f refused of what one bucket would admit, %.3f at the peak", o.lost, o.lostAtPeak)
				}
			}
		}
	}
}
