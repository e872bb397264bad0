package router

import (
	"sync"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/state/indexer"
)

// Report is a backend server's load as it told it.
type Report struct {
	Running  int
	Queued   int
	MaxBatch int
	// LoadsWaiting counts the versions that wait for a load, of all entries;
	// negative means not told.
	LoadsWaiting int
	// SlotsFree is the number of slots that are empty or could be evicted;
	// negative means not told.
	SlotsFree int
	// LoadTime is the recent mean time of one load; 0 means not told.
	LoadTime time.Duration
	// Age is the time since the backend server measured it.
	Age time.Duration
}

// samples is the number of seconds for which the entry remembers how many
// calls of its own each backend server had.
const samples = 8

// backend is one membership of a backend server.
type backend struct {
	member indexer.Member
	// index is the backend server's place in a view's slots; a later membership
	// under the same name has the same index and another generation.
	index      uint16
	generation uint32
	hash       uint64
	averages   *averages
	// distance is the cost, in seconds, of reaching another failure domain.
	distance float64
	cache    cacheHealth

	mu sync.Mutex
	// inFlight counts the entry's own calls chosen and not finished; guarded
	// by mu.
	inFlight int
	// loads counts the entry's own calls which wait for a load; guarded by mu.
	loads int
	// residents counts the versions believed resident; guarded by mu.
	residents int
	// others is the number of calls of other entries at reportedAt, which is
	// the zero time as long as there was no report; guarded by mu.
	others     float64
	reportedAt time.Time
	maxBatch   int
	// othersLoads is the number of loads waiting for other entries at
	// reportedAt; guarded by mu.
	othersLoads float64
	// pinned counts the versions that the entry's own calls hold in a slot, or
	// wait to; othersPinned those of other entries at reportedAt; guarded by mu.
	pinned       int
	othersPinned float64
	// told are the versions in the last digest, sorted; guarded by mu.
	told []string
	// own holds inFlight at past seconds, the one for second t at t modulo
	// samples; ownAt is the latest second held; guarded by mu.
	own   [samples]int32
	ownAt int64
	// suspectUntil ends the time for which the entry avoids the backend
	// server; guarded by mu.
	suspectUntil time.Time
}

// condition is a copy of a backend server's state at one moment.
type condition struct {
	suspect bool
	// depth is the expected number of calls there, running and queued.
	depth    float64
	maxBatch float64
	// loads is the expected number of loads waiting there.
	loads float64
	full  bool
	// room is the expected number of slots that a cold start could have; it is
	// negative where cold starts wait for one.
	room float64
}

// remember writes inFlight to the past seconds that have gone by since the
// last change. The caller holds mu.
func (b *backend) remember(now time.Time) {
	second := now.Unix()
	if second-b.ownAt > samples {
		b.ownAt = second - samples
	}
	for b.ownAt < second {
		b.ownAt++
		b.own[b.ownAt%samples] = int32(b.inFlight)
	}
}

// ownBefore returns how many of the entry's own calls were there age ago. The
// caller holds mu and has called remember.
func (b *backend) ownBefore(now time.Time, age time.Duration) int {
	if age < time.Second {
		return b.inFlight
	}
	second := now.Add(-age).Unix() + 1
	if second > b.ownAt {
		return b.inFlight
	}
	second = max(second, b.ownAt-samples+1, 0)
	return int(b.own[second%samples])
}

func (b *backend) begin(now time.Time, loading bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remember(now)
	b.inFlight++
	if loading {
		b.loads++
	}
}

func (b *backend) finish(now time.Time, loading bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.remember(now)
	b.inFlight--
	if loading {
		b.loads--
	}
}

func (b *backend) loaded() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loads--
}

// report takes in a load report. The entry's own calls of that time are taken
// off, because they are counted by the entry itself.
func (b *backend) report(now time.Time, r Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := now.Add(-r.Age)
	if at.Before(b.reportedAt) {
		return
	}
	b.remember(now)
	b.reportedAt = at
	b.others = float64(max(r.Running+r.Queued-b.ownBefore(now, r.Age), 0))
	if r.MaxBatch > 0 {
		b.maxBatch = r.MaxBatch
	}
	if r.LoadsWaiting >= 0 {
		b.othersLoads = float64(max(r.LoadsWaiting-b.loads, 0))
	}
	if r.SlotsFree >= 0 && b.member.Spec.Slots > 0 {
		b.othersPinned = float64(max(b.member.Spec.Slots-r.SlotsFree-b.pinned, 0))
	}
	b.averages.sampleReport(b.others, float64(b.inFlight), r.LoadTime)
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

// condition returns the state as it is believed to be. What a report says of
// other entries' calls fades towards the pool's average; fading towards none
// would make the backend server least heard of look the least loaded.
func (b *backend) condition(now time.Time, halfLife time.Duration, mean float64) condition {
	b.mu.Lock()
	defer b.mu.Unlock()
	others, loads, pinned := mean, 0.0, 0.0
	if !b.reportedAt.IsZero() {
		left := halved(now.Sub(b.reportedAt), halfLife)
		others = mean + (b.others-mean)*left
		loads = b.othersLoads * left
		pinned = b.othersPinned * left
	}
	size := b.maxBatch
	if size <= 0 {
		size = DefaultMaxBatch
	}
	return condition{
		suspect:  now.Before(b.suspectUntil),
		depth:    float64(b.inFlight) + others,
		maxBatch: float64(size),
		loads:    float64(b.loads) + loads,
		room:     float64(max(b.member.Spec.Slots, 1)-b.pinned) - pinned,
		full:     b.member.Spec.Slots > 0 && b.residents >= b.member.Spec.Slots,
	}
}
