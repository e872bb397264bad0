package allotter

import (
	"maps"
	"slices"
	"time"
)

const (
	// connectionBytes is what a connection takes: two goroutines with their stacks, and its buffers.
	connectionBytes = 10 << 10
	// headFactor is the memory of a parsed head of short fields as a multiple of its bytes.
	headFactor = 12
	// SmallRequest is the size up to which the body of a request is taken while larger ones are refused.
	SmallRequest = 8 << 10
	// largeShare is the share of Settings.Total for bodies above SmallRequest, with the answers.
	largeShare = 0.75
	// lingerShare is the share of a limit that evicted connections may take beside it. Those beyond it are
	// aborted, and what there is no room for is refused until they have ended.
	lingerShare = 0.5
	// silentAfter is the time after which a peer that has sent nothing is evicted before those that do.
	silentAfter = time.Second
)

// Connection is the connection of an account. Its methods are called without locks.
type Connection interface {
	// Evict ends what the connection receives, since others need the room.
	Evict()
	// Abort closes the connection at once. It is called after Evict.
	Abort()
}

// Account is what one connection holds, which its peer may fill. While the peer has not completed a
// request, the account can be evicted in favor of others. It is safe for concurrent use.
type Account struct {
	allotter *Allotter
	// connection is nil for an account that is never evicted.
	connection Connection
	// held is what the account holds of each kind; guarded by allotter.mu, as all fields below.
	held [kinds]int64
	// receiving means that a request is awaited or incomplete, which it has been since the time since. The
	// peer has sent something last at progressed.
	receiving         bool
	since, progressed time.Time
	// evicted means that the account holds nothing any more, since others needed the room; evictedAt is
	// when that was.
	evicted   bool
	evictedAt time.Time
	// left is what the connection of an evicted account gives back when it ends.
	left   [kinds]int64
	closed bool
}

// Count returns an account that is never evicted, and must be closed.
func (a *Allotter) Count() *Account {
	c := &Account{allotter: a}
	a.mu.Lock()
	defer a.mu.Unlock()
	c.begin()
	return c
}

// Open returns the account of a new connection, which must be closed with it, or nil if there is no
// room.
func (a *Allotter) Open(connection Connection) *Account {
	c := &Account{allotter: a, connection: connection}
	a.mu.Lock()
	c.begin()
	a.mu.Unlock()
	if !a.fit(KindConnection, c) {
		a.evictions.Add(1)
		c.Close()
		return nil
	}
	for _, evicted := range a.lingering() {
		evicted.connection.Abort()
	}
	return c
}

// lingering returns the accounts that were evicted longest ago, as far as their open connections exceed
// the limit, and stops counting them.
func (a *Allotter) lingering() []*Account {
	a.mu.Lock()
	defer a.mu.Unlock()
	excess := len(a.accounts) + len(a.evicted) - a.settings.MaxConnections - int(float64(a.settings.MaxConnections)*lingerShare)
	if excess <= 0 {
		return nil
	}
	longest := slices.SortedFunc(maps.Keys(a.evicted), func(c, d *Account) int { return c.evictedAt.Compare(d.evictedAt) })
	longest = longest[:min(excess, len(longest))]
	for _, c := range longest {
		delete(a.evicted, c)
	}
	return longest
}

// begin counts the account, which awaits its first request. The caller holds allotter.mu.
func (c *Account) begin() {
	now := c.allotter.settings.Now()
	c.receiving, c.evicted, c.since, c.progressed = c.connection != nil, false, now, now
	c.leave()
	c.allotter.accounts[c] = struct{}{}
	c.add(KindConnection, connectionBytes)
}

// leave records that the connection of an evicted account has given back what it held, or goes on. The
// caller holds allotter.mu.
func (c *Account) leave() {
	delete(c.allotter.evicted, c)
	for k := range kinds {
		c.allotter.leaving[k] -= c.left[k]
		c.left[k] = 0
	}
}

// add counts n bytes. The caller holds allotter.mu.
func (c *Account) add(k Kind, n int64) {
	c.held[k] += n
	c.allotter.held[k].Add(n)
}

// release gives back all that the account holds. The caller holds allotter.mu.
func (c *Account) release() {
	for k := range kinds {
		c.add(k, -c.held[k])
	}
}

// fit evicts accounts other than c until what is held of a kind is within the limits, and reports
// whether it is.
func (a *Allotter) fit(k Kind, c *Account) bool {
	for {
		a.mu.Lock()
		if !a.exceeded(k, c) {
			fits := !a.crowded(k, c)
			a.mu.Unlock()
			return fits
		}
		victim := a.longestWaiting(k, c)
		if victim != nil {
			a.drop(victim)
		}
		a.mu.Unlock()
		if victim == nil {
			return false
		}
		a.evictions.Add(1)
		victim.connection.Evict()
	}
}

// drop makes an account hold nothing. The caller holds mu, and then ends what its connection receives.
func (a *Allotter) drop(victim *Account) {
	victim.evicted, victim.evictedAt, victim.receiving = true, a.settings.Now(), false
	for k := range kinds {
		a.leaving[k] += victim.held[k]
		victim.left[k] = victim.held[k]
	}
	victim.release()
	delete(a.accounts, victim)
	a.evicted[victim] = struct{}{}
}

// crowded reports whether evicted connections that have not ended leave no room for what c holds of a kind.
// It does not hold for the bodies of small requests. The caller holds mu.
func (a *Allotter) crowded(k Kind, c *Account) bool {
	if k == KindConnection {
		return float64(a.Held(k)+a.leaving[k]) > (1+lingerShare)*float64(a.settings.Connections)
	}
	total := a.Held(KindRequest) + a.Held(KindAnswer) + a.leaving[KindRequest]
	return c.held[KindRequest] > SmallRequest && float64(total) > (1+lingerShare)*largeShare*float64(a.settings.Total) && a.leaving[KindRequest] > 0
}

// exceeded reports whether what c holds of a kind is over a limit together with what others hold. A
// single request is never over the limit of requests. The caller holds mu.
func (a *Allotter) exceeded(k Kind, c *Account) bool {
	if k == KindConnection {
		return a.Held(KindConnection) > a.settings.Connections || len(a.accounts) > a.settings.MaxConnections
	}
	own, limit := c.held[KindRequest], float64(a.settings.Total)
	if own > SmallRequest {
		limit *= largeShare
	}
	total := a.Held(KindRequest) + a.Held(KindAnswer)
	return total > own && float64(total) > limit
}

// longestWaiting returns the account that has waited longest for its peer and holds something of a
// kind, but not c; nil if there is none. The caller holds mu.
func (a *Allotter) longestWaiting(k Kind, c *Account) *Account {
	now := a.settings.Now()
	var found *Account
	var longest wait
	for other := range a.accounts {
		if other == c || !other.receiving || other.held[k] == 0 {
			continue
		}
		if w := other.wait(now); found == nil || longest.less(w) {
			found, longest = other, w
		}
	}
	return found
}

// Connections returns the number of accounts that are open and not evicted.
func (a *Allotter) Connections() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.accounts)
}

// Evictions returns the number of accounts that were evicted, or not opened for want of room.
func (a *Allotter) Evictions() int64 { return a.evictions.Load() }

// wait is how long an account has waited for its peer. Peers that are silent come before those that send,
// however slowly.
type wait struct {
	silent bool
	length time.Duration
}

func (w wait) less(other wait) bool {
	if w.silent != other.silent {
		return other.silent
	}
	return w.length < other.length
}

// wait returns how long the account has waited for its peer. The caller holds allotter.mu.
func (c *Account) wait(now time.Time) wait {
	if silence := now.Sub(c.progressed); silence >= silentAfter {
		return wait{silent: true, length: silence}
	}
	return wait{length: now.Sub(c.since)}
}

// Add counts n bytes of a kind that the account holds from now on. It returns false if they exceed a
// limit although all others that wait for their peers were evicted, or if the account itself was evicted:
// no more may be received then.
func (c *Account) Add(k Kind, n int64) bool {
	a := c.allotter
	a.mu.Lock()
	if c.evicted || c.closed {
		a.mu.Unlock()
		return false
	}
	c.add(k, n)
	a.mu.Unlock()
	return a.fit(k, c)
}

// Remove counts n bytes of a kind that the account holds no longer.
func (c *Account) Remove(k Kind, n int64) {
	c.allotter.mu.Lock()
	defer c.allotter.mu.Unlock()
	if !c.evicted && !c.closed {
		c.add(k, -n)
	}
}

// AddHead counts n bytes of the head of a request.
func (c *Account) AddHead(n int) bool { return c.Add(KindConnection, headFactor*int64(n)) }

// Progressed records that the peer has sent something.
func (c *Account) Progressed() {
	c.allotter.mu.Lock()
	defer c.allotter.mu.Unlock()
	c.progressed = c.allotter.settings.Now()
}

// Complete records that the peer has completed a request, so that the account can't be evicted any more. It
// returns false if it was evicted before: the request can't be served then.
func (c *Account) Complete() bool {
	c.allotter.mu.Lock()
	defer c.allotter.mu.Unlock()
	c.receiving = false
	return !c.evicted
}

// Next records that the request has ended, with all that it held, and that the next one is awaited. It
// also counts an evicted account again.
func (c *Account) Next() {
	c.allotter.mu.Lock()
	defer c.allotter.mu.Unlock()
	if c.closed {
		return
	}
	c.release()
	c.begin()
}

// Evicted reports whether the account was evicted.
func (c *Account) Evicted() bool {
	c.allotter.mu.Lock()
	defer c.allotter.mu.Unlock()
	return c.evicted
}

// Close ends the account.
func (c *Account) Close() {
	c.allotter.mu.Lock()
	defer c.allotter.mu.Unlock()
	if !c.closed {
		c.closed, c.receiving = true, false
		c.release()
		delete(c.allotter.accounts, c)
		c.leave()
	}
}
