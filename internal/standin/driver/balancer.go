package driver

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Entry holds the addresses of one entry of the deployment.
type Entry struct {
	// Address is the caller listener, IP:port.
	Address string
	// Operator is the operator listener, IP:port, which serves the readiness endpoint.
	// If it is empty, the entry is always considered ready.
	Operator string
}

// suspectPeriod is the time for which an entry receives no calls after a call to it got no
// answer.
const suspectPeriod = time.Second

// balancer chooses entries as the platform's load balancer does: round-robin or at random
// among those that are ready. It is safe for concurrent use.
type balancer struct {
	balance Balance

	mu sync.Mutex
	// ready reports, by entry, whether its last readiness probe succeeded; guarded by
	// mu.
	ready []bool
	// suspectUntil is, by entry, the time until which it receives no calls; guarded by mu.
	suspectUntil []time.Duration
	next         int        // guarded by mu
	random       *rand.Rand // guarded by mu
}

func newBalancer(entries int, b Balance, random *rand.Rand) *balancer {
	c := &balancer{balance: b, ready: make([]bool, entries), suspectUntil: make([]time.Duration, entries), random: random}
	for i := range c.ready {
		c.ready[i] = true
	}
	return c
}

// pick returns the index of a ready entry other than avoid (-1 for none). If there is no
// such entry, it returns any entry: a platform balancer fails open rather than refuse all
// calls.
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
		if b.ready[index] && now >= b.suspectUntil[index] && index != avoid {
			return index
		}
	}
	return start % len(b.ready)
}

// setReady records the result of a readiness probe.
func (b *balancer) setReady(index int, ready bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready[index] = ready
}

// suspect excludes an entry for suspectPeriod.
func (b *balancer) suspect(now time.Duration, index int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspectUntil[index] = now + suspectPeriod
}
