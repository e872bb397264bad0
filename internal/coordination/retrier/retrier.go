package retrier

import (
	"cmp"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// Defaults of Settings.
const (
	DefaultBudget      = 0.1
	DefaultReserve     = 3.0
	DefaultHalfLife    = 5 * time.Second
	DefaultMaxAttempts = 4
	DefaultInitialWait = 10 * time.Millisecond
	DefaultMaxWait     = time.Second
	DefaultMaxGroups   = 1024
)

// Settings are a retrier's options. The zero value of a field means its
// documented default.
type Settings struct {
	// Budget is the share of recent successes that may be spent on retries.
	Budget float64
	// Reserve is the number of retries that a group has without successes, so
	// that a quiet group can retry at all.
	Reserve float64
	// HalfLife is that of the counts of successes and retries.
	HalfLife time.Duration
	// MaxAttempts bounds the attempts of one call, the first included.
	MaxAttempts int
	// InitialWait is the longest wait before the first retry; it doubles with
	// each, up to MaxWait. The wait is drawn evenly from none to that.
	InitialWait time.Duration
	MaxWait     time.Duration
	// HedgeAfter is the time without a first byte after which a second attempt
	// is made beside the first; 0 means never.
	HedgeAfter time.Duration
	// MaxGroups bounds the groups kept.
	MaxGroups int
}

func (s Settings) withDefaults() Settings {
	s.Budget = cmp.Or(s.Budget, DefaultBudget)
	s.Reserve = cmp.Or(s.Reserve, DefaultReserve)
	s.HalfLife = cmp.Or(s.HalfLife, DefaultHalfLife)
	s.MaxAttempts = cmp.Or(s.MaxAttempts, DefaultMaxAttempts)
	s.InitialWait = cmp.Or(s.InitialWait, DefaultInitialWait)
	s.MaxWait = cmp.Or(s.MaxWait, DefaultMaxWait)
	s.MaxGroups = cmp.Or(s.MaxGroups, DefaultMaxGroups)
	return s
}

//go:generate stringer -type=Verdict -trimprefix=Verdict

// Verdict tells what to do after a failed attempt.
type Verdict int

// The verdicts.
const (
	// VerdictRetry makes another attempt after the wait.
	VerdictRetry Verdict = iota
	// VerdictMayHaveRun gives up: the attempt may have run, and running it
	// again is not allowed.
	VerdictMayHaveRun
	// VerdictAnswered gives up: the caller has part of an answer already.
	VerdictAnswered
	// VerdictNoAttempts gives up: the call had its attempts.
	VerdictNoAttempts
	// VerdictNoTime gives up: the next attempt would miss the deadline.
	VerdictNoTime
	// VerdictNoBudget gives up: the group's budget is spent.
	VerdictNoBudget
)

// Attempt is a failed attempt.
type Attempt struct {
	// Group is the pool of backend servers whose budget pays.
	Group string
	// Number counts the attempts made, this one included.
	Number int
	// NotRun means that the attempt certainly didn't run.
	NotRun bool
	// Idempotent means that the call may run more than once.
	Idempotent bool
	// Answered means that the caller was sent a part of the answer.
	Answered bool
	// RetryAfter is what the refusing backend server asks for. It concerns that
	// one only; another may take the call at once.
	RetryAfter time.Duration
	// NoAlternative means that no other backend server is left to try.
	NoAlternative bool
	Deadline      time.Time
}

// Decision is the answer on a failed attempt.
type Decision struct {
	Verdict Verdict
	Wait    time.Duration
}

// Retrier decides on retries. It may be used by several goroutines.
type Retrier struct {
	settings Settings

	mu sync.Mutex
	// random draws the waits; guarded by mu.
	random *rand.Rand
	// groups hold the budgets; guarded by mu.
	groups map[string]*budget
}

// budget counts a group's recent successes and retries, decayed as of at.
type budget struct {
	successes float64
	retries   float64
	at        time.Time
}

// NewRetrier returns a retrier that draws from random.
func NewRetrier(s Settings, random *rand.Rand) *Retrier {
	return &Retrier{settings: s.withDefaults(), random: random, groups: make(map[string]*budget)}
}

// RecordSuccess counts a success of the group.
func (r *Retrier) RecordSuccess(now time.Time, group string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(now, group).successes++
}

// Decide tells what to do after the failed attempt. A retry is paid for.
func (r *Retrier) Decide(now time.Time, a Attempt) Decision {
	switch {
	case a.Answered:
		return Decision{Verdict: VerdictAnswered}
	case !a.NotRun && !a.Idempotent:
		return Decision{Verdict: VerdictMayHaveRun}
	case a.Number >= r.settings.MaxAttempts:
		return Decision{Verdict: VerdictNoAttempts}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	wait := r.wait(a)
	if !now.Add(wait).Before(a.Deadline) {
		return Decision{Verdict: VerdictNoTime}
	}
	if !r.pay(now, a.Group) {
		return Decision{Verdict: VerdictNoBudget}
	}
	return Decision{Verdict: VerdictRetry, Wait: wait}
}

// Hedge reports whether an idempotent call, of which nothing was answered since
// began, gets a second attempt beside the first. A hedge is paid for like a
// retry.
func (r *Retrier) Hedge(now, began time.Time, a Attempt) bool {
	if r.settings.HedgeAfter <= 0 || !a.Idempotent || a.Answered || a.Number >= r.settings.MaxAttempts {
		return false
	}
	if now.Sub(began) < r.settings.HedgeAfter || !now.Before(a.Deadline) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pay(now, a.Group)
}

// HedgeAfter returns the time after which Hedge may allow a second attempt; 0
// means never.
func (r *Retrier) HedgeAfter() time.Duration { return r.settings.HedgeAfter }

// wait draws the wait evenly between none and a bound that doubles ("full
// jitter"), so that calls that failed together don't come again together.
// The caller holds mu.
func (r *Retrier) wait(a Attempt) time.Duration {
	bound := min(r.settings.InitialWait<<min(a.Number-1, 20), r.settings.MaxWait)
	wait := time.Duration(r.random.Int64N(int64(bound) + 1))
	if a.NoAlternative {
		wait += a.RetryAfter
	}
	return wait
}

func (r *Retrier) pay(now time.Time, group string) bool {
	b := r.budget(now, group)
	if b.retries+1 > r.settings.Reserve+r.settings.Budget*b.successes {
		return false
	}
	b.retries++
	return true
}

// budget returns the group's counts, decayed to now. The caller holds mu.
func (r *Retrier) budget(now time.Time, group string) *budget {
	b := r.groups[group]
	if b == nil {
		if len(r.groups) >= r.settings.MaxGroups {
			r.evict()
		}
		b = &budget{at: now}
		r.groups[group] = b
	}
	if age := now.Sub(b.at); age > 0 {
		left := math.Exp2(-float64(age) / float64(r.settings.HalfLife))
		b.successes *= left
		b.retries *= left
		b.at = now
	}
	return b
}

// evict drops the group longest unused.
// The caller holds mu.
func (r *Retrier) evict() {
	var oldest string
	var at time.Time
	for name, b := range r.groups {
		if oldest == "" || b.at.Before(at) {
			oldest, at = name, b.at
		}
	}
	delete(r.groups, oldest)
}
