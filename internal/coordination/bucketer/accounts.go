package bucketer

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// activePeriod is the time since its last call for which a workspace is reported. With 3 s, calls
	// of workspaces that an entry serves rarely had to wait for a report, some of them in vain.
	activePeriod = 10 * time.Second
	// maxLevelAge is the age of a level beyond which it is not used for decisions.
	maxLevelAge = 2 * time.Second
	// maxReportedLevelAge is the age of a level up to which it is reported to the leader, which may
	// be new. An old level is still useful: what was spent since is reported by the entries that
	// spent it.
	maxReportedLevelAge = 10 * time.Second
	// toleratedCalls is the number of calls, each of the largest recent cost, by which an entry may
	// exceed its usual rate before the excess is taken for growth.
	toleratedCalls = 1
	// minShare is the smallest share of a workspace's calls that an entry assumes to have, as a part
	// of an equal share.
	minShare = 0.5
	// minReportInterval is the minimum time between two reports that ReportDue asks for.
	minReportInterval = 50 * time.Millisecond
	// minRetryAfter is the minimum RetryAfter; with a shorter one callers would only add load.
	minRetryAfter = 50 * time.Millisecond
)

// Accounts admit calls at an entry by an estimate of the leader's buckets. They are safe for
// concurrent use.
type Accounts struct {
	mu sync.Mutex
	// random spreads RetryAfter; guarded by mu.
	random *rand.Rand
	// accounts holds the workspaces in recent use; guarded by mu.
	accounts map[string]*account
	// entries is the number of entries that report; guarded by mu.
	entries int
	// lastNumber is the number of the most recently created account; guarded by mu.
	lastNumber uint64
	// lastReport is the number of the last report; guarded by mu.
	lastReport uint64
	// collectedAt is the time of the last report; guarded by mu.
	collectedAt time.Time
}

// account is the account of one workspace.
type account struct {
	// number is unique among the accounts of all processes of the entry.
	number uint64
	limit  Limit
	// level is the bucket's level as the leader reported it for the time at, in units. It covers
	// everything reported until then. at is zero until the first report.
	level float64
	at    time.Time
	// answeredAt is the time at which the level arrived. Units are added from then on, since the
	// leader has added those before.
	answeredAt time.Time
	// ledger is the number of the ledger that the level is from.
	ledger uint64
	// totalRate is the rate that all entries admitted at the time at, in units per second.
	totalRate float64
	// reportedRate is the rate that this entry has reported, as the leader averages it, and
	// ownRateAtLevel its value at the time at.
	reportedRate   rate
	ownRateAtLevel float64
	// admitted is the total of the admitted units, unreported the part of it that has not been
	// reported, and inFlight the part in the report that is not yet answered.
	admitted, unreported, inFlight float64
	// largestCall is the cost of the largest call since the time at.
	largestCall float64
	usedAt      time.Time
	// expected is the sum of the retries that all entries expected at the time at.
	expected retries
	// refused holds the retries that this entry expects, unreportedRetries the part of them that has
	// not been reported, and inFlightRetries the part in the report that is not yet answered.
	refused, unreportedRetries, inFlightRetries retries
}

// Decision is the decision on a call.
type Decision struct {
	Admitted bool
	// Unknown is set if the level is not known: the entry must report first.
	Unknown bool
	// ReportDue is set if the entry should report at once, since its calls have grown beyond what the
	// other entries know.
	ReportDue bool
	// RetryAfter is the time until the bucket can hold the call, after all units that any entry
	// refused before it and that are expected to be retried.
	RetryAfter time.Duration
	// Ahead is the estimated number of these units.
	Ahead float64
	// Level is the estimate that the decision is based on, in units, and Age the age of the
	// reported level.
	Level float64
	Age   time.Duration
}

// NewAccounts returns accounts without any levels. random must not be nil.
func NewAccounts(random *rand.Rand) *Accounts {
	if random == nil {
		panic("bucketer: NewAccounts called without a random source")
	}
	return &Accounts{random: random, accounts: make(map[string]*account), entries: 1, lastNumber: random.Uint64() >> 1}
}

// Spend admits or refuses a call of a workspace whose caller waits for at most left. Only the cost
// of an admitted call is counted. A refused call is expected to be retried if RetryAfter is at most a
// third of left.
func (a *Accounts) Spend(now time.Time, workspace string, limit Limit, cost float64, left time.Duration) Decision {
	if limit.Rate <= 0 {
		return Decision{Admitted: true}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.accounts[workspace]
	if c == nil {
		a.lastNumber++
		c = &account{limit: limit, number: a.lastNumber}
		a.accounts[workspace] = c
	}
	c.level = c.limit.replace(limit, c.level)
	c.usedAt = now
	if c.at.IsZero() || now.Sub(c.at) > maxLevelAge {
		return Decision{Unknown: true, RetryAfter: minRetryAfter}
	}
	d := Decision{Level: c.estimate(now, a.entries), Age: now.Sub(c.at)}
	if d.Admitted = d.Level > 0; d.Admitted {
		c.unreported += cost
		c.admitted += cost
		c.largestCall = max(c.largestCall, cost)
		d.ReportDue = now.Sub(a.collectedAt) >= minReportInterval && c.growth(now) > 0
		return d
	}
	d.Ahead = c.ahead(now)
	d.RetryAfter = c.retryAfter(d.Level, d.Ahead, cost, 1+retrySpread*a.random.Float64())
	if d.RetryAfter <= time.Duration(maxRetryShare*float64(left)) {
		c.refused.add(now, now.Add(d.RetryAfter), cost)
		c.unreportedRetries.add(now, now.Add(d.RetryAfter), cost)
	}
	return d
}

// Refund returns the cost of an admitted call that has not run.
func (a *Accounts) Refund(workspace string, cost float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c := a.accounts[workspace]; c != nil {
		c.unreported -= cost
		c.admitted -= cost
	}
}

// Collect returns the report that is due. ApplyAnswer or ReportFailed must be called before the
// next Collect.
func (a *Accounts) Collect(now time.Time) Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastReport++
	a.collectedAt = now
	r := Report{Number: a.lastReport}
	for _, name := range slices.Sorted(maps.Keys(a.accounts)) {
		c := a.accounts[name]
		if now.Sub(c.usedAt) > activePeriod && c.unreported == 0 {
			if now.Sub(c.usedAt) > activePeriod+maxLevelAge {
				delete(a.accounts, name)
			}
			continue
		}
		u := Use{Workspace: name, Limit: c.limit, Account: c.number, Total: math.Round(c.admitted), Spent: math.Round(c.unreported)}
		if !c.at.IsZero() && now.Sub(c.at) <= maxReportedLevelAge {
			u.Ledger = c.ledger
			u.Level, u.Known = math.Round(c.refilledLevel(now)), true
		}
		c.inFlight, c.unreported = c.unreported, 0
		u.Retries = c.refused.encode(now)
		c.inFlightRetries, c.unreportedRetries = c.unreportedRetries, retries{}
		r.Uses = append(r.Uses, u)
	}
	return r
}

// ApplyAnswer applies the leader's answer to the last collected report, which arrived at now.
func (a *Accounts) ApplyAnswer(now time.Time, answer Answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at := a.collectedAt
	a.entries = max(1, answer.Entries)
	for _, l := range answer.Levels {
		c := a.accounts[l.Workspace]
		if c == nil {
			continue
		}
		c.level, c.at, c.totalRate, c.ledger = l.Tokens, at, l.Rate, answer.Ledger
		c.answeredAt = now
		c.reportedRate.add(at, c.inFlight)
		c.ownRateAtLevel, c.largestCall = c.reportedRate.at(at), 0
		c.inFlight = 0
		c.expected, c.inFlightRetries = decode(now, l.Retries), retries{}
	}
}

// ReportFailed returns the units of a report that may not have arrived to the unreported ones. The
// next report repeats them; the leader counts them once.
func (a *Accounts) ReportFailed() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.accounts {
		c.unreported += c.inFlight
		c.inFlight = 0
		if len(c.inFlightRetries.units) > 0 {
			c.inFlightRetries.merge(&c.unreportedRetries, 1)
			c.unreportedRetries, c.inFlightRetries = c.inFlightRetries, retries{}
		}
	}
}

// BelowHalf reports whether a bucket in use is estimated below half of its burst, so that reports
// should be sent more often.
func (a *Accounts) BelowHalf(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.accounts {
		if now.Sub(c.usedAt) < rateWindow && !c.at.IsZero() && c.estimate(now, a.entries) < c.limit.Burst/2 {
			return true
		}
	}
	return false
}

// Len returns the number of workspaces in recent use.
func (a *Accounts) Len() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.accounts)
}

// share is the estimated part of a workspace's calls that arrive at this entry, at least half of an
// equal part for each entry. With a whole one, the shares of unevenly used entries add up to too much.
func (c *account) share(entries int) float64 {
	least := minShare / float64(entries)
	if c.totalRate <= 0 {
		return least
	}
	return min(1, max(least, c.ownRateAtLevel/c.totalRate))
}

// refilledLevel returns the reported level plus the units added since, not limited by the burst. It
// excludes what was spent since, which each entry reports itself.
func (c *account) refilledLevel(now time.Time) float64 {
	return c.level + c.limit.Rate*now.Sub(c.answeredAt).Seconds()
}

// estimate returns the estimated level of the bucket at now, in units. The other entries are
// assumed to continue at the rate that they had at the leader's report, or to admit in proportion to
// this entry, beyond a random variation of toleratedCalls, whichever is more. By the former alone, all
// entries together would admit a multiple of the level while their calls grow.
func (c *account) estimate(now time.Time, entries int) float64 {
	passed := now.Sub(c.at).Seconds()
	spent := c.unreported + c.inFlight
	share := c.share(entries)
	others := max(max(0, c.totalRate-c.ownRateAtLevel)*passed, (spent-toleratedCalls*c.largestCall)*(1-share)/share)
	return min(c.limit.Burst, c.refilledLevel(now)-others) - spent
}

// growth returns the units that this entry admitted since the reported level beyond its rate then
// and a random variation of toleratedCalls.
func (c *account) growth(now time.Time) float64 {
	return c.unreported + c.inFlight - c.ownRateAtLevel*now.Sub(c.at).Seconds() - toleratedCalls*c.largestCall
}

// ahead returns the units that all entries refused and expect to be retried: the sum in the leader's
// last answer, and what this entry refused since. A leader of an earlier version answers no sum, and
// that of a new leader may lack the entry's own retries.
func (c *account) ahead(now time.Time) float64 {
	sum := c.expected.total(now) + c.inFlightRetries.total(now) + c.unreportedRetries.total(now)
	return max(sum, c.refused.total(now))
}

// retryAfter returns the time until the bucket holds the cost of a call that follows the units
// ahead, multiplied by factor. A bucket never holds more than its burst.
func (c *account) retryAfter(level, ahead, cost, factor float64) time.Duration {
	wait := (ahead + min(cost, c.limit.Burst) - level) / c.limit.Rate
	// Callers don't wait for longer than an hour, and a duration can't hold all waits.
	wait = min(max(minRetryAfter.Seconds(), wait)*factor, time.Hour.Seconds())
	return time.Duration(wait * float64(time.Second))
}
