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

// Settings are the options of a Retrier. The zero value of a field means its documented default.
type Settings struct {
	// Budget is the number of retries permitted per recent success.
	Budget float64
	// Reserve is the number of retries that a group has without successes, so that a group with
	// little traffic can retry at all.
	Reserve float64
	// HalfLife is the half-life of the counts of successes and retries.
	HalfLife time.Duration
	// MaxAttempts is the maximum number of attempts of one call, including the first.
	MaxAttempts int
	// InitialWait is the maximum wait before the first retry. It doubles with each retry, up to
	// MaxWait. The wait is drawn uniformly between 0 and the maximum.
	InitialWait time.Duration
	MaxWait     time.Duration
	// HedgeAfter is the time without a first byte after which a second attempt is started in
	// parallel; 0 means never.
	HedgeAfter time.Duration
	// MaxGroups is the maximum number of groups for which budgets are kept.
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

// Verdict is the decision on a failed attempt.
type Verdict int

// The verdicts.
const (
	// VerdictRetry means that another attempt is made after the wait.
	VerdictRetry Verdict = iota
	// VerdictMayHaveRun means no retry: the attempt may have run, and the call must not run twice.
	VerdictMayHaveRun
	// VerdictAnswered means no retry: the caller has already received a part of the answer.
	VerdictAnswered
	// VerdictNoAttempts means no retry: the call has used all its attempts.
	VerdictNoAttempts
	// VerdictNoTime means no retry: the next attempt would start after the deadline.
	VerdictNoTime
	// VerdictNoBudget means no retry: the group's budget is exhausted.
	VerdictNoBudget
)

// Attempt is a failed attempt.
type Attempt struct {
	// Group is the name of the pool of backend servers whose budget is charged.
	Group string
	// Number is the number of attempts made, including this one.
	Number int
	// NotRun is set if the attempt certainly did not run.
	NotRun bool
	// Idempotent is set if the call may run more than once.
	Idempotent bool
	// Answered is set if a part of the answer was sent to the caller.
	Answered bool
	// RetryAfter is the wait requested by the backend server that refused the call. It does not
	// apply to other backend servers.
	RetryAfter time.Duration
	// NoAlternative is set if no other backend server is left to try.
	NoAlternative bool
	Deadline      time.Time
}

// Decision is the decision on a failed attempt.
type Decision struct {
	Verdict Verdict
	Wait    time.Duration
}

// Retrier decides on retries. It is safe for concurrent use.
type Retrier struct {
	settings Settings

	mu sync.Mutex
	// random draws the waits; guarded by mu.
	random *rand.Rand
	// groups holds the budget of each group; guarded by mu.
	groups map[string]*budget
}

// budget holds a group's counts of recent successes and retries, decayed to updatedAt.
type budget struct {
	successes float64
	retries   float64
	updatedAt time.Time
}

// NewRetrier returns a Retrier that draws waits from random.
func NewRetrier(s Settings, random *rand.Rand) *Retrier {
	return &Retrier{settings: s.withDefaults(), random: random, groups: make(map[string]*budget)}
}

// RecordSuccess counts a success of the group.
func (r *Retrier) RecordSuccess(now time.Time, group string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget(now, group).successes++
}

// Decide returns the decision on a failed attempt. A retry is charged to the group's budget.
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
	if !r.spendBudget(now, a.Group) {
		return Decision{Verdict: VerdictNoBudget}
	}
	return Decision{Verdict: VerdictRetry, Wait: wait}
}

// Hedge reports whether an idempotent call that has received no answer since began gets a second,
// parallel attempt. A hedge is charged like a retry.
func (r *Retrier) Hedge(now, began time.Time, a Attempt) bool {
	if r.settings.HedgeAfter <= 0 || !a.Idempotent || a.Answered || a.Number >= r.settings.MaxAttempts {
		return false
	}
	if now.Sub(began) < r.settings.HedgeAfter || !now.Before(a.Deadline) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.spendBudget(now, a.Group)
}

// HedgeAfter returns the time after which Hedge may allow a second attempt; 0
// means never.
func (r *Retrier) HedgeAfter() time.Duration { return r.settings.HedgeAfter }

// wait draws the wait uniformly between 0 and a bound that doubles with each attempt ("full
// jitter"), so that calls that failed together are not retried together. The caller holds mu.
func (r *Retrier) wait(a Attempt) time.Duration {
	bound := min(r.settings.InitialWait<<min(a.Number-1, 20), r.settings.MaxWait)
	wait := time.Duration(r.random.Int64N(int64(bound) + 1))
	if a.NoAlternative {
		wait += a.RetryAfter
	}
	return wait
}

func (r *Retrier) spendBudget(now time.Time, group string) bool {
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
		b = &budget{updatedAt: now}
		r.groups[group] = b
	}
	if age := now.Sub(b.updatedAt); age > 0 {
		left := math.Exp2(-float64(age) / float64(r.settings.HalfLife))
		b.successes *= left
		b.retries *= left
		b.updatedAt = now
	}
	return b
}

// evict removes the group that has not been used for the longest time. The caller holds mu.
func (r *Retrier) evict() {
	var oldest string
	var updatedAt time.Time
	for name, b := range r.groups {
		if oldest == "" || b.updatedAt.Before(updatedAt) {
			oldest, updatedAt = name, b.updatedAt
		}
	}
	delete(r.groups, oldest)
}
