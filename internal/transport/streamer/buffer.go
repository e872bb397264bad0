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

// The errors of a Buffer.
const (
	// ErrSeen means that the attempt is known already.
	ErrSeen = errors.ConstError("attempt already seen")
	// ErrOtherAttempt means that another attempt of a request that may run only
	// once is known.
	ErrOtherAttempt = errors.ConstError("another attempt may have run")
	// ErrBarred means that someone was told the attempt had never been seen.
	ErrBarred = errors.ConstError("attempt declared never seen")
	// ErrNeverSeen means that the attempt was unknown, and is barred from now on.
	ErrNeverSeen = errors.ConstError("attempt never seen")
	// ErrNotHeld means that bytes asked for are not held any more.
	ErrNotHeld = errors.ConstError("bytes not held")
	// ErrReplaced means that another reader took over.
	ErrReplaced = errors.ConstError("reader replaced")
	// ErrAbandoned means that nobody took the answer for too long.
	ErrAbandoned = errors.ConstError("nobody takes the answer")
	// ErrTooManyBarred means that no more attempts can be remembered now.
	ErrTooManyBarred = errors.ConstError("too many attempts remembered")
)

// Defaults of Settings.
const (
	DefaultLimit     = 64 << 20
	DefaultRetention = 2 * time.Minute
	DefaultMaxBarred = 65536
)

// Settings are the options of a Buffer. The zero value of each field means its
// default.
type Settings struct {
	// Limit bounds the bytes of all answers; DefaultLimit by default.
	Limit int64
	// AnswerLimit bounds the bytes of one answer that nobody has acknowledged; a
	// sixteenth of Limit by default.
	AnswerLimit int64
	// Retention is the time for which an ended answer is remembered;
	// DefaultRetention by default.
	Retention time.Duration
	// MaxBarred bounds the attempts that are remembered as never seen;
	// DefaultMaxBarred by default.
	MaxBarred int
}

// ID names one attempt at a request.
type ID struct {
	Request string
	Attempt int
}

// Buffer holds the answers of one companion. It may be used by several
// goroutines.
type Buffer struct {
	settings Settings
	room     room
	barred   atomic.Int64
	shards   [shardCount]shard
}

const shardCount = 16

// shard holds the attempts of the requests that fall to it, so that requests
// rarely wait for each other's lock.
type shard struct {
	mu sync.Mutex
	// requests holds the attempts of each request; guarded by mu.
	requests map[string][]*Answer
	// barred holds the attempts declared never seen, with the time since when;
	// guarded by mu.
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

// Begin makes room for the answer to an attempt. With once, the request may run
// only once: another attempt known of it is refused with ErrOtherAttempt unless
// that one certainly did not run. The answer is returned with ErrSeen too.
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
	a := &Answer{id: id, buffer: b, keep: once, changed: make(chan struct{})}
	s.requests[id.Request] = append(s.requests[id.Request], a)
	return a, nil
}

// Discard forgets an attempt that was refused before it began, as if it had
// never come.
func (b *Buffer) Discard(id ID) {
	s := b.shard(id.Request)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(id.Request, func(a *Answer) bool { return a.id == id })
}

// FindOrBar returns the answer to an attempt. An unknown one is barred: should its
// dispatch arrive late, it is refused. So ErrNeverSeen is certain, also for a
// dispatch that is still on its way.
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

// Lookup returns the answer to an attempt if it is known, and nil otherwise.
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

// Sweep forgets what is older than the retention.
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

// remove drops the attempts of the request that match. The caller holds mu.
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

// Unreleased returns the number of answers that no entry has taken whole and that
// one may still take: entries come back for an answer within the limit.
func (b *Buffer) Unreleased(now time.Time, limit time.Duration) int {
	n := 0
	for _, a := range b.answers() {
		if a.awaited(now, limit) {
			n++
		}
	}
	return n
}
