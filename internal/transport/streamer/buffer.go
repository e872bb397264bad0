package streamer

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

// Errors of a Buffer.
const (
	// ErrSeen means that the attempt is already known.
	ErrSeen = errors.ConstError("attempt already seen")
	// ErrOtherAttempt means that another attempt of a request that may run only once is
	// known.
	ErrOtherAttempt = errors.ConstError("another attempt may have run")
	// ErrBarred means that the attempt was reported as never seen, and must not run any
	// more.
	ErrBarred = errors.ConstError("attempt declared never seen")
	// ErrNeverSeen means that the attempt was unknown, and is barred from now on.
	ErrNeverSeen = errors.ConstError("attempt never seen")
	// ErrNotHeld means that the requested bytes are no longer held.
	ErrNotHeld = errors.ConstError("bytes not held")
	// ErrReplaced means that another reader was attached.
	ErrReplaced = errors.ConstError("reader replaced")
	// ErrAbandoned means that no entry acknowledged the answer for too long.
	ErrAbandoned = errors.ConstError("nobody takes the answer")
	// ErrTooManyBarred means that the maximum number of barred attempts is reached.
	ErrTooManyBarred = errors.ConstError("too many attempts remembered")
)

// Defaults of Settings.
const (
	DefaultLimit     = 64 << 20
	DefaultRetention = 2 * time.Minute
	DefaultMaxBarred = 65536
)

// Settings are the options of a Buffer. The zero value of each field selects its
// default.
type Settings struct {
	// Limit is the maximum number of bytes in all answers; 0 means DefaultLimit.
	Limit int64
	// AnswerLimit is the maximum number of unacknowledged bytes in one answer; 0 means
	// a sixteenth of Limit, but at least MaxPieceBytes.
	AnswerLimit int64
	// Retention is how long an answer is kept after its end, and how long an attempt
	// stays barred; 0 means DefaultRetention.
	Retention time.Duration
	// MaxBarred is the maximum number of barred attempts; 0 means DefaultMaxBarred.
	MaxBarred int
}

// ID identifies one attempt at a request.
type ID struct {
	Request string
	Attempt int
}

// Buffer holds the answers of one companion. It is safe for concurrent use.
type Buffer struct {
	settings Settings
	room     room
	barred   atomic.Int64
	shards   [shardCount]shard
}

const shardCount = 16

// shard holds the attempts of a part of the requests, to reduce lock contention.
type shard struct {
	mu sync.Mutex
	// requests holds the answers by request; guarded by mu.
	requests map[string][]*Answer
	// barred holds the barred attempts and when each was last requested; guarded by mu.
	barred map[ID]time.Time
}

// NewBuffer returns an empty buffer.
func NewBuffer(s Settings) *Buffer {
	s.Limit = cmp.Or(s.Limit, DefaultLimit)
	s.AnswerLimit = cmp.Or(s.AnswerLimit, max(MaxPieceBytes, s.Limit/16))
	s.Retention = cmp.Or(s.Retention, DefaultRetention)
	s.MaxBarred = cmp.Or(s.MaxBarred, DefaultMaxBarred)
	b := &Buffer{settings: s}
	b.room.limit = s.Limit
	for i := range b.shards {
		b.shards[i].requests = map[string][]*Answer{}
		b.shards[i].barred = map[ID]time.Time{}
	}
	return b
}

// Used returns the number of bytes held.
func (b *Buffer) Used() int64 { return b.room.used.Load() }

func (b *Buffer) shard(request string) *shard {
	return &b.shards[xxhash.Sum64String(request)%shardCount]
}

// Begin creates the answer to an attempt. If once is set, the request may run only
// once, and Begin returns ErrOtherAttempt if another attempt of it is known. For a
// known attempt it returns the answer together with ErrSeen, and for a barred one
// ErrBarred.
func (b *Buffer) Begin(id ID, once bool) (*Answer, error) {
	s := b.shard(id.Request)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, barred := s.barred[id]; barred {
		return nil, errors.Trace(ErrBarred)
	}
	for _, a := range s.requests[id.Request] {
		if a.id == id {
			return a, errors.Trace(ErrSeen)
		}
		if once {
			return nil, errors.Trace(ErrOtherAttempt)
		}
	}
	a := &Answer{id: id, buffer: b, retain: once, changed: make(chan struct{})}
	s.requests[id.Request] = append(s.requests[id.Request], a)
	return a, nil
}

// Discard removes an attempt that was refused before it started, as if it had never
// arrived.
func (b *Buffer) Discard(id ID) {
	s := b.shard(id.Request)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(id.Request, func(a *Answer) bool { return a.id == id })
}

// FindOrBar returns the answer to an attempt. It bars an unknown attempt and returns
// ErrNeverSeen: a dispatch that is still in transit will be refused, so that the error
// is reliable. It returns ErrTooManyBarred if the attempt can't be barred.
func (b *Buffer) FindOrBar(now time.Time, id ID) (*Answer, error) {
	s := b.shard(id.Request)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.requests[id.Request] {
		if a.id == id {
			return a, nil
		}
	}
	if _, barred := s.barred[id]; !barred {
		if b.barred.Load() >= int64(b.settings.MaxBarred) {
			return nil, errors.Trace(ErrTooManyBarred)
		}
		b.barred.Add(1)
	}
	s.barred[id] = now
	return nil, errors.Trace(ErrNeverSeen)
}

// Lookup returns the answer to an attempt, or nil if it is unknown.
func (b *Buffer) Lookup(id ID) *Answer {
	s := b.shard(id.Request)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.requests[id.Request] {
		if a.id == id {
			return a
		}
	}
	return nil
}

// Sweep removes answers and barred attempts that are older than the retention.
func (b *Buffer) Sweep(now time.Time) {
	limit := now.Add(-b.settings.Retention)
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		for request := range s.requests {
			s.remove(request, func(a *Answer) bool { return a.expired(limit) })
		}
		for id, at := range s.barred {
			if at.Before(limit) {
				delete(s.barred, id)
				b.barred.Add(-1)
			}
		}
		s.mu.Unlock()
	}
}

func (a *Answer) expired(limit time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.end != nil && a.endedAt.Before(limit)
}

// remove removes the answers of the request that match. The caller holds mu.
func (s *shard) remove(request string, match func(*Answer) bool) {
	kept := slices.DeleteFunc(s.requests[request], func(a *Answer) bool {
		if !match(a) {
			return false
		}
		a.free()
		return true
	})
	if len(kept) == 0 {
		delete(s.requests, request)
		return
	}
	s.requests[request] = kept
}

// free drops all bytes.
func (a *Answer) free() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.discard()
}

// Unreleased returns the number of answers that no entry has received in full and that
// one may still fetch: entries return for an answer within the limit.
func (b *Buffer) Unreleased(now time.Time, limit time.Duration) int {
	n := 0
	for _, a := range b.answers() {
		if a.fetchable(now, limit) {
			n++
		}
	}
	return n
}
