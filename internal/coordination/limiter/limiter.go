package limiter

import (
	"math/rand/v2"
	"sync"
	"time"
)

//go:generate stringer -type=Verdict -trimprefix=Verdict

// Verdict is the decision whether a call is admitted, or the reason why it is not.
type Verdict int

// The verdicts.
const (
	// VerdictAdmitted admits the call; Done must follow.
	VerdictAdmitted Verdict = iota
	// VerdictWorkspaceLimit refuses the call because the workspace is at its own limit.
	VerdictWorkspaceLimit
	// VerdictOverShare refuses the call because the workspace is over its fair share
	// and nothing is left to borrow.
	VerdictOverShare
	// VerdictEntryLimit refuses the call because the entry is at its limit.
	VerdictEntryLimit
)

// Call describes a call to be admitted.
type Call struct {
	Workspace string
	// Share is the weight of the workspace; 0 means 1.
	Share int
	// MaxInFlight is the workspace's own limit of calls in flight; 0 means none.
	MaxInFlight int
	// Tokens is the estimated number of tokens.
	Tokens int64
}

// Answer is the limiter's decision on one call.
type Answer struct {
	Verdict Verdict
	// RetryAfter is the time after which a refused caller should retry.
	RetryAfter time.Duration
}

// Limiter decides which calls an entry admits. It is safe for concurrent use. It keeps
// state of a workspace only while it has calls in flight.
type Limiter struct {
	settings Settings

	mu sync.Mutex
	// random is used for retry times; guarded by mu.
	random *rand.Rand
	// active maps the workspaces with calls in flight to their state; guarded by mu.
	active map[string]*workspace
	// shares is the sum of the active workspaces' shares; guarded by mu.
	shares int
	// inFlight and tokens are the totals of the calls in flight; guarded by mu.
	inFlight int
	tokens   int64
	// limit is the adaptive limit of calls in flight; guarded by mu.
	limit float64
	// window accumulates the events since the last adaptation; guarded by mu.
	window window
	// refusalRate and finishRate are smoothed rates, per second; guarded by mu.
	refusalRate float64
	finishRate  float64
}

type workspace struct {
	share    int
	inFlight int
	tokens   int64
}

type window struct {
	began    time.Time
	refused  int
	finished int
	waits    time.Duration
	waited   int
	// peak is the maximum number of calls in flight.
	peak int
}

// NewLimiter returns a limiter that uses random for retry times.
func NewLimiter(s Settings, random *rand.Rand) *Limiter {
	s = s.withDefaults()
	return &Limiter{settings: s, random: random, active: make(map[string]*workspace), limit: float64(s.MaxInFlight)}
}

// Admit decides on the call. An admitted call is in flight until Done.
func (l *Limiter) Admit(now time.Time, c Call) Answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.adapt(now)
	share := max(c.Share, 1)
	verdict := l.decide(c, share)
	if verdict != VerdictAdmitted {
		l.window.refused++
		return Answer{Verdict: verdict, RetryAfter: l.retryAfter()}
	}
	w := l.active[c.Workspace]
	if w == nil {
		w = &workspace{share: share}
		l.active[c.Workspace] = w
		l.shares += share
	}
	// The operator may have changed the share.
	l.shares += share - w.share
	w.share = share
	w.inFlight++
	w.tokens += c.Tokens
	l.inFlight++
	l.tokens += c.Tokens
	l.window.peak = max(l.window.peak, l.inFlight)
	return Answer{}
}

// decide returns the verdict on a call. The caller holds mu.
func (l *Limiter) decide(c Call, share int) Verdict {
	s := &l.settings
	w := l.active[c.Workspace]
	var held workspace
	others := l.shares
	if w != nil {
		held = *w
		others -= w.share
	}
	if c.MaxInFlight > 0 && held.inFlight >= c.MaxInFlight {
		return VerdictWorkspaceLimit
	}
	// A call with more than MaxTokens is admitted if nothing else is in flight, because
	// it could never be admitted otherwise.
	if l.inFlight >= int(l.limit) || l.tokens+c.Tokens > s.MaxTokens && l.inFlight > 0 {
		return VerdictEntryLimit
	}
	fair := float64(share) / float64(share+others+1)
	under := float64(held.inFlight) < fair*l.limit && float64(held.tokens) < fair*float64(s.MaxTokens)
	room := float64(l.inFlight) < s.Borrow*l.limit && float64(l.tokens) < s.Borrow*float64(s.MaxTokens)
	if !under && !room {
		return VerdictOverShare
	}
	return VerdictAdmitted
}

// Done ends an admitted call. wait is the time that it waited in a queue at the backend
// server; a negative value means that it is unknown.
func (l *Limiter) Done(now time.Time, c Call, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := l.active[c.Workspace]
	if w == nil {
		panic("limiter: Done without Admit")
	}
	w.inFlight--
	w.tokens -= c.Tokens
	if w.inFlight == 0 {
		l.shares -= w.share
		delete(l.active, c.Workspace)
	}
	l.inFlight--
	l.tokens -= c.Tokens
	l.window.finished++
	if wait >= 0 {
		l.window.waits += wait
		l.window.waited++
	}
	l.adapt(now)
}

// InFlight returns the number of calls in flight and the limit on it.
func (l *Limiter) InFlight() (inFlight, limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inFlight, int(l.limit)
}

// retryAfter returns a random time after which to retry. Serving as many callers as
// were refused in the last second takes at least refusalRate/finishRate seconds, so the
// retries are spread over at least that time. The caller holds mu.
func (l *Limiter) retryAfter() time.Duration {
	const minSeconds = 0.5
	spread := 1 + l.refusalRate/max(l.finishRate, 1)
	seconds := minSeconds + l.random.Float64()*spread
	return min(time.Duration(seconds*float64(time.Second)), l.settings.MaxRetry)
}
