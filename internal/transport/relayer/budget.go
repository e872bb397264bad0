package relayer

import (
	"slices"
	"sync"
	"time"
)

const (
	// budgetBuckets is the number of buckets in a window, and historyBuckets the number kept,
	// from the newest.
	budgetBuckets  = 20
	historyBuckets = 2 * budgetBuckets
	// maxTransit is the longest time from the sending of a retry to its arrival at a backend
	// server's host if its entry ends: a connection whose bytes stay unacknowledged for longer is
	// reset, which discards them.
	maxTransit = 2 * time.Second
	// maxStall is the time for which a request may still arrive whose connection ended before its
	// answer began, once its backend server has answered a later one. A backend server that stands
	// still reads it afterwards: the operating system keeps what has been received when a connection
	// is reset.
	maxStall = 5 * time.Second
	// maxOutage is the time for which such a request counts if its backend server answers nothing.
	// A retry budget that a lost host holds for longer would be missing at those that are left.
	maxOutage = time.Minute
	// maxEntriesAge is the age up to which a number of entries is used.
	maxEntriesAge = 2 * time.Second
	// maxCountDelay is the longest time from the moment at which an entry connects to control
	// until every number of entries that control reports includes it.
	maxCountDelay = 2 * time.Second
)

// budget limits the retries of one entry so that in any window, the retries of all entries that
// arrive at the backend servers of a service are at most ratio of its requests, plus slack. The
// requests are those of that window, of the one before it, or of the one half a window before it,
// whichever has most.
//
// Each entry bounds its retries that may arrive after the beginning of each window that has not
// ended by ratio of the average of its own requests in that window and in the one before it. An
// average is at most the largest, and both windows are the same at all entries, so that the sum of
// these bounds holds too. A bound by the largest at each entry would not do: callers move between
// entries.
//
// The slack is divided evenly among the entries. Their number is known by reports of control,
// which arrive at different times, or not at all for a while. Each entry divides by the largest
// number of the retention time, so that the sum of the parts used in a window is at most the slack
// if each number includes all entries that use a part in that window:
//
//   - An entry that is new to control, or was out of contact for longer than a window, waits until
//     the others have divided by numbers that include it for the time of a window.
//   - An entry that returns sooner finds that the others still divide by a number that includes it.
//   - An entry whose last number is too old uses no slack.
type budget struct {
	ratio, slack float64
	window       time.Duration
	bucket       time.Duration
	// entries returns the last known number of entries, with its age; 0 means unknown. It is nil
	// if this is the only entry.
	entries func() (int, time.Duration)

	mu sync.Mutex
	// counts are the numbers of entries seen, with the time at which each was last current,
	// oldest first; guarded by mu, as all fields below.
	counts []entryCount
	// lastKnown is the latest time for which the number of entries is known, and knownSince the
	// beginning of the time for which it has been known, with gaps in which the others still
	// divide by a number that includes this entry.
	knownSince, lastKnown time.Time
	usages                map[string]*usage
}

// entryCount is a number of entries.
type entryCount struct {
	entries int
	until   time.Time
}

// usage holds the requests and retries of one service.
type usage struct {
	// calls and retries are counted by bucket, newest first. Retries count at the latest time at
	// which they can have arrived.
	calls   [historyBuckets]float64
	retries [historyBuckets]float64
	// reserved is the number of retries that are allowed and not sent yet, and inFlight that of
	// those that were sent and may still arrive.
	reserved, inFlight float64
	// late are the retries in flight that have ended at the entry and may still arrive.
	late []lateRetry
	// bucketStart is the start of the newest bucket.
	bucketStart time.Time
}

// lateRetry is a retry that may arrive after its exchange has ended.
type lateRetry struct {
	// latest is the latest time at which it arrives.
	latest time.Time
	// unread are the attempts of its call whose backend servers have answered no later request.
	unread []unreadAttempt
}

// unreadAttempt is an attempt whose connection ended before its answer began, so that its backend server may
// read it later.
type unreadAttempt struct {
	server  string
	endedAt time.Time
}

func newBudget(ratio, slack float64, window time.Duration, entries func() (int, time.Duration)) *budget {
	return &budget{
		ratio: ratio, slack: slack, window: window, bucket: window / budgetBuckets,
		entries: entries, usages: make(map[string]*usage),
	}
}

// maxGap returns the time for which the number of entries may be unknown to an entry that uses
// slack at once when it is known again: that in which sent retries may arrive in the same window.
func (b *budget) maxGap() time.Duration { return b.window + maxTransit }

// wait returns the time for which the number of entries must be known before slack is used.
func (b *budget) wait() time.Duration { return b.maxGap() + maxEntriesAge + maxCountDelay }

// retention returns the time for which numbers of entries are kept. It allows for gaps both of
// this entry and of another one that is included in the number.
func (b *budget) retention() time.Duration { return 2*b.maxGap() + maxEntriesAge + maxCountDelay }

// usage returns the usage of a service with its buckets advanced to now. The caller holds mu, and
// while it uses the result.
func (b *budget) usage(now time.Time, service string) *usage {
	u := b.usages[service]
	if u == nil {
		u = &usage{bucketStart: now}
		b.usages[service] = u
	}
	for shifted := 0; now.Sub(u.bucketStart) >= b.bucket; shifted++ {
		if shifted == historyBuckets {
			u.bucketStart = now
			break
		}
		copy(u.calls[1:], u.calls[:historyBuckets-1])
		copy(u.retries[1:], u.retries[:historyBuckets-1])
		u.calls[0], u.retries[0] = 0, 0
		u.bucketStart = u.bucketStart.Add(b.bucket)
	}
	u.late = slices.DeleteFunc(u.late, func(l lateRetry) bool {
		if l.latest.After(now) {
			return false
		}
		u.inFlight--
		if i := b.bucketOf(u, l.latest); i < historyBuckets {
			u.retries[i]++
		}
		return true
	})
	return u
}

// bucketOf returns the index of the bucket that contains a time up to now.
func (b *budget) bucketOf(u *usage, at time.Time) int {
	if !at.Before(u.bucketStart) {
		return 0
	}
	return 1 + int((u.bucketStart.Sub(at)-1)/b.bucket)
}

// observe updates the known numbers of entries. The caller holds mu.
func (b *budget) observe(now time.Time) {
	entries, age := b.entries()
	if at := now.Add(-age); entries > 0 && at.After(b.lastKnown) {
		gap := maxEntriesAge
		if b.lastKnown.Sub(b.knownSince) >= maxEntriesAge+maxCountDelay {
			// All others have been told a number that includes this entry.
			gap = b.maxGap()
		}
		if at.Sub(b.lastKnown) > gap {
			b.knownSince = at
		}
		b.lastKnown = at
		if n := len(b.counts); n > 0 && b.counts[n-1].entries == entries {
			b.counts[n-1].until = at
		} else {
			b.counts = append(b.counts, entryCount{entries: entries, until: at})
		}
	}
	for len(b.counts) > 0 && now.Sub(b.counts[0].until) > b.retention() {
		b.counts = b.counts[1:]
	}
}

// slackShare returns the part of the slack that this entry may use. The caller holds mu.
func (b *budget) slackShare(now time.Time) float64 {
	if b.entries == nil {
		return b.slack
	}
	b.observe(now)
	if now.Sub(b.lastKnown) > maxEntriesAge || now.Sub(b.knownSince) < b.wait() {
		return 0
	}
	return b.slack / float64(b.mostEntries())
}

// mostEntries returns the largest known number of entries; 0 means unknown. The caller holds mu.
func (b *budget) mostEntries() int {
	most := 0
	for _, c := range b.counts {
		most = max(most, c.entries)
	}
	return most
}

// share returns the number of entries by which the slack is divided, 0 if it is not known, and
// the part of the slack that this entry may use.
func (b *budget) share(now time.Time) (entries int, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	slack = b.slackShare(now)
	return b.mostEntries(), slack
}

// budgetReport is the state of the budget of one service.
type budgetReport struct {
	entries int
	slack   float64
	// requests and retries are those of the last window.
	requests, retries, reserved, inFlight float64
}

// report returns the state of the budget of a service.
func (b *budget) report(now time.Time, service string) budgetReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	slack, u := b.slackShare(now), b.usage(now, service)
	return budgetReport{
		entries: b.mostEntries(), slack: slack, reserved: u.reserved, inFlight: u.inFlight,
		requests: sum(u.calls[:budgetBuckets]), retries: sum(u.retries[:budgetBuckets]),
	}
}

// call counts a request for a service.
func (b *budget) call(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.usage(now, service).calls[0]++
}

// reserve reports whether the budget allows one more retry, and if so reserves it until it is
// committed or canceled.
func (b *budget) reserve(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.usage(now, service)
	if !b.allows(u, b.slackShare(now)) {
		return false
	}
	u.reserved++
	return true
}

// commit reports whether the budget still allows a reserved retry, which is sent now if so. The
// reservation ends in either case. A retry that is sent must be ended by arrive or discard.
func (b *budget) commit(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.usage(now, service)
	u.reserved--
	if !b.allows(u, b.slackShare(now)) {
		return false
	}
	u.inFlight++
	return true
}

// arrive ends a retry that was sent. It has arrived, unless some attempts of its call may still be read.
func (b *budget) arrive(now time.Time, service string, unread []unreadAttempt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.usage(now, service)
	if len(unread) > 0 {
		u.late = append(u.late, lateRetry{latest: now.Add(maxOutage), unread: slices.Clone(unread)})
		return
	}
	u.inFlight--
	u.retries[0]++
}

// answered records that a backend server of a service has answered a request that was sent at the given time.
func (b *budget) answered(now time.Time, service, server string, sentAt time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	late := b.usage(now, service).late
	for i := range late {
		l := &late[i]
		if len(l.unread) == 0 {
			continue
		}
		l.unread = slices.DeleteFunc(l.unread, func(a unreadAttempt) bool { return a.server == server && a.endedAt.Before(sentAt) })
		if last := now.Add(maxStall); len(l.unread) == 0 && last.Before(l.latest) {
			l.latest = last
		}
	}
}

// discard ends a retry that can't arrive.
func (b *budget) discard(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.usage(now, service).inFlight--
}

// cancel ends the reservation of a retry that is not sent.
func (b *budget) cancel(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.usage(now, service).reserved--
}

// allows reports whether one more retry, beside those reserved and in flight, fits all windows that
// have not ended. A window that begins within a bucket is taken to hold all retries of that bucket.
// The caller holds mu.
func (b *budget) allows(u *usage, slack float64) bool {
	retries := u.reserved + u.inFlight + 1
	for begin := range budgetBuckets + 1 {
		retries += u.retries[begin]
		calls := sum(u.calls[:min(historyBuckets, begin+budgetBuckets)])
		if retries > b.ratio*calls/2+slack {
			return false
		}
	}
	return true
}

func sum(counts []float64) float64 {
	total := 0.0
	for _, n := range counts {
		total += n
	}
	return total
}
