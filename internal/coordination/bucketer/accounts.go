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
	// activeFor is the time since its last call in which a workspace is reported.
	activeFor = 3 * time.Second
	// staleAfter is the age of a level from which other entries count as growing like
	// this one: some reports went without an answer.
	staleAfter = 600 * time.Millisecond
	// forgetAfter is the age of a level from which it says nothing any more.
	forgetAfter = 2 * time.Second
	// knownFor is the age of a level up to which it tells a new leader something. It may be
	// old: what has been spent since is reported by those who spent it.
	knownFor = 10 * time.Second
	// chance is the number of calls beyond what an entry admits as a rule that say nothing.
	chance = 1
	// refusedWindow is the time in which refused calls are expected to come back.
	refusedWindow = time.Second
	// leastWait is the shortest time to come back, below which callers only press.
	leastWait = 50 * time.Millisecond
)

// Accounts are an entry's view of the buckets. Several goroutines may use them.
type Accounts struct {
	mu sync.Mutex
	// random spreads times to come back; guarded by mu.
	random *rand.Rand
	// accounts holds the workspaces that were in use lately; guarded by mu.
	accounts map[string]*account
	// entries is the number of entries that report; guarded by mu.
	entries int
	// last is the number of the account made last; guarded by mu.
	last uint64
}

// account is one workspace's.
type account struct {
	// number differs between the accounts of all processes of the entry.
	number uint64
	limit  Limit
	// level is what the leader reported of the bucket for the time at, which is zero while it
	// has not. It covers what was reported until then.
	level float64
	at    time.Time
	// ledger is the number of the ledger that the level is from.
	ledger uint64
	// all is what all entries admitted then, in units a second.
	all float64
	// own is what this entry admits, and ownThen what it admitted at the time at.
	own     rate
	ownThen float64
	// total is what was admitted in all, unreported the part that was not reported, and
	// underWay the part that the report under way has.
	total, unreported, underWay float64
	// largest is the largest call since the time at.
	largest float64
	used    time.Time
	refused rate
}

// Decision is what becomes of a call.
type Decision struct {
	Admitted bool
	// Unknown tells that the level is not known: a report comes first.
	Unknown bool
	// RetryAfter is the time in which the bucket will hold the call, counting those
	// refused before it.
	RetryAfter time.Duration
	// Level is the estimate that decided, in units, and Age that of the level reported.
	Level float64
	Age   time.Duration
}

// NewAccounts returns accounts that know nothing.
func NewAccounts(random *rand.Rand) *Accounts {
	if random == nil {
		panic("bucketer: NewAccounts needs a random source")
	}
	return &Accounts{random: random, accounts: make(map[string]*account), entries: 1, last: random.Uint64() >> 1}
}

// Spend admits a call of a workspace, or refuses it. Only an admitted call is counted.
func (a *Accounts) Spend(now time.Time, workspace string, limit Limit, cost float64) Decision {
	if limit.Rate <= 0 {
		return Decision{Admitted: true}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.accounts[workspace]
	if c == nil {
		a.last++
		c = &account{limit: limit, number: a.last}
		a.accounts[workspace] = c
	}
	c.level = c.limit.replace(limit, c.level)
	c.used = now
	if c.at.IsZero() || now.Sub(c.at) > forgetAfter {
		return Decision{Unknown: true, RetryAfter: leastWait}
	}
	d := Decision{Level: c.estimate(now, a.entries), Age: now.Sub(c.at)}
	if d.Admitted = d.Level > 0; d.Admitted {
		c.unreported += cost
		c.total += cost
		c.own.add(now, cost)
		c.largest = max(c.largest, cost)
		return d
	}
	d.RetryAfter = c.retryAfter(now, d.Level, c.share(a.entries))
	c.refused.add(now, cost)
	d.RetryAfter += time.Duration(a.random.Float64() * float64(leastWait))
	return d
}

// Refund gives back what a call that has not run was admitted with.
func (a *Accounts) Refund(workspace string, cost float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c := a.accounts[workspace]; c != nil {
		c.unreported -= cost
		c.total -= cost
	}
}

// Collect returns the report that is due. ApplyAnswer or ReportFailed must follow before the
// next.
func (a *Accounts) Collect(now time.Time) Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	var r Report
	for _, name := range slices.Sorted(maps.Keys(a.accounts)) {
		c := a.accounts[name]
		if now.Sub(c.used) > activeFor && c.unreported == 0 {
			if now.Sub(c.used) > activeFor+forgetAfter {
				delete(a.accounts, name)
			}
			continue
		}
		u := Use{Workspace: name, Limit: c.limit, Account: c.number, Total: math.Round(c.total), Spent: math.Round(c.unreported)}
		if !c.at.IsZero() && now.Sub(c.at) <= knownFor {
			u.Ledger = c.ledger
			u.Level, u.Known = math.Round(c.filled(now)), true
		}
		c.underWay, c.unreported = c.unreported, 0
		r.Uses = append(r.Uses, u)
	}
	return r
}

// ApplyAnswer takes the leader's answer to a report that was collected at a time.
func (a *Accounts) ApplyAnswer(at time.Time, answer Answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.entries = max(1, answer.Entries)
	for _, l := range answer.Levels {
		c := a.accounts[l.Workspace]
		if c == nil {
			continue
		}
		c.level, c.at, c.all, c.ledger = l.Tokens, at, l.Rate, answer.Ledger
		c.ownThen, c.largest = c.own.at(at), 0
		c.underWay = 0
	}
}

// ReportFailed takes back a report that may not have arrived: the next one repeats it, and counts
// once.
func (a *Accounts) ReportFailed() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.accounts {
		c.unreported += c.underWay
		c.underWay = 0
	}
}

// BelowHalf reports whether a bucket in use is low, so that reports are due sooner.
func (a *Accounts) BelowHalf(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.accounts {
		if now.Sub(c.used) < rateWindow && !c.at.IsZero() && c.estimate(now, a.entries) < c.limit.Burst/2 {
			return true
		}
	}
	return false
}

// Len returns the number of workspaces in use.
func (a *Accounts) Len() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.accounts)
}

// share is the part of a workspace's calls that comes to this entry; at least an even
// part of the entries.
func (c *account) share(entries int) float64 {
	even := 1 / float64(entries)
	if c.all <= 0 {
		return even
	}
	return min(1, max(even, c.ownThen/c.all))
}

// filled returns the level that was reported with what has flowed in since, also beyond the
// burst: nothing of what was spent meanwhile is in it, and each entry reports its own part.
func (c *account) filled(now time.Time) float64 {
	return c.level + c.limit.Rate*now.Sub(c.at).Seconds()
}

// estimate returns the bucket's level at now, by which calls are admitted. Since the
// leader's report the others are taken to go on at their rate; where that was long ago,
// to have grown as this entry's own calls did, beyond what comes by chance.
func (c *account) estimate(now time.Time, entries int) float64 {
	passed := now.Sub(c.at).Seconds()
	spent := c.unreported + c.underWay
	others := max(0, c.all-c.ownThen) * passed
	if now.Sub(c.at) > staleAfter {
		s := c.share(entries)
		others += max(0, spent-c.ownThen*passed-chance*c.largest) * (1 - s) / s
	}
	return min(c.limit.Burst, c.level+c.limit.Rate*passed-others) - spent
}

// retryAfter returns the time until the bucket holds something again for one who comes
// after those refused lately.
func (c *account) retryAfter(now time.Time, level, share float64) time.Duration {
	waiting := c.refused.at(now) * refusedWindow.Seconds() / share
	wait := time.Duration((waiting - level) / c.limit.Rate * float64(time.Second))
	return max(leastWait, wait)
}
