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
	// activePeriod is the time since its last call for which a workspace is reported.
	activePeriod = 3 * time.Second
	// staleLevelAge is the age of a level from which the other entries are assumed to grow like
	// this one, because some reports were not answered.
	staleLevelAge = 600 * time.Millisecond
	// maxLevelAge is the age of a level beyond which it is not used for decisions.
	maxLevelAge = 2 * time.Second
	// maxReportedLevelAge is the age of a level up to which it is reported to the leader, which may
	// be new. An old level is still useful: what was spent since is reported by the entries that
	// spent it.
	maxReportedLevelAge = 10 * time.Second
	// toleratedCalls is the number of calls, each of the largest recent cost, by which an entry may
	// exceed its usual rate before the excess is taken for growth.
	toleratedCalls = 1
	// retryWindow is the time within which refused calls are expected to be retried.
	retryWindow = time.Second
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
	// ledger is the number of the ledger that the level is from.
	ledger uint64
	// totalRate is the rate that all entries admitted at the time at, in units per second.
	totalRate float64
	// ownRate is the rate that this entry admits, and ownRateAtLevel its value at the time at.
	ownRate        rate
	ownRateAtLevel float64
	// admitted is the total of the admitted units, unreported the part of it that has not been
	// reported, and inFlight the part in the report that is not yet answered.
	admitted, unreported, inFlight float64
	// largestCall is the cost of the largest call since the time at.
	largestCall float64
	usedAt      time.Time
	refusedRate rate
}

// Decision is the decision on a call.
type Decision struct {
	Admitted bool
	// Unknown is set if the level is not known: the entry must report first.
	Unknown bool
	// RetryAfter is the time until the bucket can hold the call, after those refused before it.
	RetryAfter time.Duration
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

// Spend admits or refuses a call of a workspace. Only the cost of an admitted call is counted.
func (a *Accounts) Spend(now time.Time, workspace string, limit Limit, cost float64) Decision {
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
		c.ownRate.add(now, cost)
		c.largestCall = max(c.largestCall, cost)
		return d
	}
	d.RetryAfter = c.retryAfter(now, d.Level, c.share(a.entries))
	c.refusedRate.add(now, cost)
	d.RetryAfter += time.Duration(a.random.Float64() * float64(minRetryAfter))
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
		r.Uses = append(r.Uses, u)
	}
	return r
}

// ApplyAnswer applies the leader's answer to the report collected at the time at.
func (a *Accounts) ApplyAnswer(at time.Time, answer Answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.entries = max(1, answer.Entries)
	for _, l := range answer.Levels {
		c := a.accounts[l.Workspace]
		if c == nil {
			continue
		}
		c.level, c.at, c.totalRate, c.ledger = l.Tokens, at, l.Rate, answer.Ledger
		c.ownRateAtLevel, c.largestCall = c.ownRate.at(at), 0
		c.inFlight = 0
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

// share is the estimated part of a workspace's calls that arrive at this entry, at least an equal
// part for each entry.
func (c *account) share(entries int) float64 {
	even := 1 / float64(entries)
	if c.totalRate <= 0 {
		return even
	}
	return min(1, max(even, c.ownRateAtLevel/c.totalRate))
}

// refilledLevel returns the reported level plus the units added since, not limited by the burst. It
// excludes what was spent since, which each entry reports itself.
func (c *account) refilledLevel(now time.Time) float64 {
	return c.level + c.limit.Rate*now.Sub(c.at).Seconds()
}

// estimate returns the estimated level of the bucket at now, in units. The other entries are
// assumed to continue at the rate that they had at the leader's report. If that report is stale,
// they are assumed to have grown in proportion to this entry's calls, beyond a random variation of
// toleratedCalls.
func (c *account) estimate(now time.Time, entries int) float64 {
	passed := now.Sub(c.at).Seconds()
	spent := c.unreported + c.inFlight
	others := max(0, c.totalRate-c.ownRateAtLevel) * passed
	if now.Sub(c.at) > staleLevelAge {
		s := c.share(entries)
		others += max(0, spent-c.ownRateAtLevel*passed-toleratedCalls*c.largestCall) * (1 - s) / s
	}
	return min(c.limit.Burst, c.level+c.limit.Rate*passed-others) - spent
}

// retryAfter returns the time until the bucket has units for a call that follows the recently
// refused ones.
func (c *account) retryAfter(now time.Time, level, share float64) time.Duration {
	waiting := c.refusedRate.at(now) * retryWindow.Seconds() / share
	wait := time.Duration((waiting - level) / c.limit.Rate * float64(time.Second))
	return max(minRetryAfter, wait)
}
