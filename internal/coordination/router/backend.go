package router

import (
	"sync"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/state/indexer"
)

// Report is a load report of a backend server.
type Report struct {
	Running  int
	Queued   int
	MaxBatch int
	// LoadsWaiting is the number of versions waiting for a load, for all entries;
	// negative means not reported.
	LoadsWaiting int
	// SlotsFree is the number of slots that are empty or evictable; negative means not
	// reported.
	SlotsFree int
	// LoadTime is the recent mean duration of one load; 0 means not reported.
	LoadTime time.Duration
	// Age is the time since the backend server took the measurement.
	Age time.Duration
}

// historySeconds is the number of seconds for which the entry remembers how many of its
// own calls each backend server had.
const historySeconds = 8

// backend is one membership of a backend server.
type backend struct {
	member indexer.Member
	// index is the position in a view's slots. A later membership under the same name
	// has the same index and another generation.
	index      uint16
	generation uint32
	hash       uint64
	averages   *averages
	// distance is the cost, in seconds, of reaching another failure domain or region.
	distance float64
	cache    cacheHealth

	mu sync.Mutex
	// inFlight is the number of the entry's own calls chosen and not finished; guarded
	// by mu.
	inFlight int
	// loads is the number of the entry's own calls that wait for a load; guarded by mu.
	loads int
	// residents is the number of versions believed resident; guarded by mu.
	residents int
	// otherCalls is the number of calls of other entries at reportedAt, which is zero
	// before the first report; guarded by mu.
	otherCalls float64
	reportedAt time.Time
	maxBatch   int
	// otherLoads is the number of loads waiting for other entries at reportedAt;
	// guarded by mu.
	otherLoads float64
	// pinned is the number of versions that the entry's own calls hold in a slot or
	// wait for; otherPinned is that of the other entries at reportedAt. Both are
	// guarded by mu.
	pinned      int
	otherPinned float64
	// lastDigest holds the versions in the last digest, sorted; guarded by mu.
	lastDigest []string
	// ownHistory holds inFlight at past seconds; the value for second t is at index t
	// modulo historySeconds. ownHistoryAt is the latest second recorded. Both are
	// guarded by mu.
	ownHistory   [historySeconds]int32
	ownHistoryAt int64
	// suspectUntil is the time until which the entry avoids the backend server; guarded
	// by mu.
	suspectUntil time.Time
}

// condition is a snapshot of a backend server's estimated state.
type condition struct {
	suspect bool
	// depth is the expected number of calls there, running and queued.
	depth    float64
	maxBatch float64
	// loads is the expected number of loads waiting there.
	loads float64
	full  bool
	// room is the expected number of slots available for cold starts; it is negative if
	// cold starts wait for one.
	room float64
}

// recordHistory records inFlight for the seconds that have passed since the last
// change. The caller holds mu.
func (b *backend) recordHistory(now time.Time) {
	second := now.Unix()
	if second-b.ownHistoryAt > historySeconds {
		b.ownHistoryAt = second - historySeconds
	}
	for b.ownHistoryAt < second {
		b.ownHistoryAt++
		b.ownHistory[b.ownHistoryAt%historySeconds] = int32(b.inFlight)
	}
}

// ownCallsAt returns the number of the entry's own calls that were in flight there age
// ago. The caller holds mu and has called recordHistory.
func (b *backend) ownCallsAt(now time.Time, age time.Duration) int {
	if age < time.Second {
		return b.inFlight
	}
	second := now.Add(-age).Unix() + 1
	if second > b.ownHistoryAt {
		return b.inFlight
	}
	second = max(second, b.ownHistoryAt-historySeconds+1, 0)
	return int(b.ownHistory[second%historySeconds])
}

func (b *backend) begin(now time.Time, loading bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recordHistory(now)
	b.inFlight++
	if loading {
		b.loads++
	}
}

func (b *backend) finish(now time.Time, loading bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recordHistory(now)
	b.inFlight--
	if loading {
		b.loads--
	}
}

func (b *backend) finishLoad() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loads--
}

// report applies a load report. The entry's own calls at the time of the measurement
// are subtracted, because the entry counts them itself.
func (b *backend) report(now time.Time, r Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := now.Add(-r.Age)
	if at.Before(b.reportedAt) {
		return
	}
	b.recordHistory(now)
	b.reportedAt = at
	b.otherCalls = float64(max(r.Running+r.Queued-b.ownCallsAt(now, r.Age), 0))
	if r.MaxBatch > 0 {
		b.maxBatch = r.MaxBatch
	}
	if r.LoadsWaiting >= 0 {
		b.otherLoads = float64(max(r.LoadsWaiting-b.loads, 0))
	}
	if r.SlotsFree >= 0 && b.member.Spec.Slots > 0 {
		b.otherPinned = float64(max(b.member.Spec.Slots-r.SlotsFree-b.pinned, 0))
	}
	b.averages.sampleReport(b.otherCalls, float64(b.inFlight), r.LoadTime)
}

func (b *backend) suspect(until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if until.After(b.suspectUntil) {
		b.suspectUntil = until
	}
}

func (b *backend) countPinned(by int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pinned += by
}

func (b *backend) countResidents(by int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.residents = max(b.residents+by, 0)
}

// condition returns the estimated state. The reported calls of other entries decay
// towards the pool's average; if they decayed towards zero, the backend server with the
// oldest report would appear to be the least loaded.
func (b *backend) condition(now time.Time, halfLife time.Duration, mean float64) condition {
	b.mu.Lock()
	defer b.mu.Unlock()
	otherCalls, loads, pinned := mean, 0.0, 0.0
	if !b.reportedAt.IsZero() {
		left := decayFactor(now.Sub(b.reportedAt), halfLife)
		otherCalls = mean + (b.otherCalls-mean)*left
		loads = b.otherLoads * left
		pinned = b.otherPinned * left
	}
	size := b.maxBatch
	if size <= 0 {
		size = DefaultMaxBatch
	}
	return condition{
		suspect:  now.Before(b.suspectUntil),
		depth:    float64(b.inFlight) + otherCalls,
		maxBatch: float64(size),
		loads:    float64(b.loads) + loads,
		room:     float64(max(b.member.Spec.Slots, 1)-b.pinned) - pinned,
		full:     b.member.Spec.Slots > 0 && b.residents >= b.member.Spec.Slots,
	}
}
