package driver

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Entry is one entry of the deployment, as a balancer in front knows it.
type Entry struct {
	// Address is the callers' listener, IP:port.
	Address string
	// Operator is the operators' listener, where readiness is asked for. Empty for
	// an entry that is always taken for ready.
	Operator string
}

// suspicion is the time for which an entry that refused a connection gets nothing.
const suspicion = time.Second

// balancer chooses entries like the platform's balancer: in turn or at random
// among those that are ready. It is safe for concurrent use.
type balancer struct {
	balance Balance

	mu sync.Mutex
	// ready tells, by entry, whether its readiness probe succeeded last; guarded by
	// mu.
	ready []bool
	// suspected is, by entry, the moment until which it gets nothing; guarded by mu.
	suspected []time.Duration
	next      int        // guarded by mu
	random    *rand.Rand // guarded by mu
}

func newBalancer(entries int, b Balance, random *rand.Rand) *balancer {
	c := &balancer{balance: b, ready: make([]bool, entries), suspected: make([]time.Duration, entries), random: random}
	for i := range c.ready {
		c.ready[i] = true
	}
	return c
}

// pick returns the index of an entry, another one than avoid where there is one
// (-1 avoids none). Where none is ready it takes any, as a balancer does that would
// otherwise refuse everything.
func (b *balancer) pick(now time.Duration, avoid int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	start := b.next
	if b.balance == Random {
		start = b.random.IntN(len(b.ready))
	}
	b.next = (b.next + 1) % len(b.ready)
	for i := range b.ready {
		index := (start + i) % len(b.ready)
		if b.ready[index] && now >= b.suspected[index] && index != avoid {
			return index
		}
	}
	return start % len(b.ready)
}

// setReady notes what a readiness probe found.
func (b *balancer) setReady(index int, ready bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready[index] = ready
}

// suspect keeps calls from an entry for a while.
func (b *balancer) suspect(now time.Duration, index int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspected[index] = now + suspicion
}
