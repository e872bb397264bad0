package streamer

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// MaxPieceBytes is the maximum size of the data in one piece.
const MaxPieceBytes = 32 << 10

// Answer is the answer of one attempt. It is safe for concurrent use.
type Answer struct {
	id     ID
	buffer *Buffer
	// retain keeps the bytes after their acknowledgement, for another entry that
	// requests the answer to a call that may run only once.
	retain bool

	mu sync.Mutex
	// base is the offset of the first byte in data; guarded by mu, like all fields
	// below.
	base int64
	data []byte
	// acknowledged is the offset up to which an entry has acknowledged the answer. It
	// is at least base.
	acknowledged int64
	head         *messenger.Head
	end          *messenger.End
	endedAt      time.Time
	// released means that an entry acknowledged the end of the answer or cancelled the
	// attempt.
	released bool
	// dropped means that unacknowledged bytes were dropped. No further bytes are held
	// then.
	dropped bool
	// generation is incremented for each reader; only the latest reader is served.
	generation int
	// detachedAt is when the latest reader ended; zero while it reads.
	detachedAt time.Time
	// changed is closed and replaced whenever a reader or writer may proceed.
	changed chan struct{}
}

// ID returns the identifier of the answer.
func (a *Answer) ID() ID { return a.id }

// Write appends to the answer, and blocks while there is no room. It returns
// ErrAbandoned if nothing is acknowledged for the length of timeout, and the cause of
// the context's end. Data for an answer whose bytes were dropped is discarded.
func (a *Answer) Write(ctx context.Context, timeout time.Duration, head *messenger.Head, data []byte) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	var queued *waiter
	for {
		p := a.append(head, data)
		a.buffer.room.dequeue(queued)
		if p.changed == nil {
			return nil
		}
		queued = p.waiter
		select {
		case <-p.changed:
			if a.Acknowledged() > p.acknowledged {
				timer.Reset(timeout)
			}
		case <-queued.readyChan():
		case <-timer.C:
			a.buffer.room.dequeue(queued)
			return errors.Trace(ErrAbandoned)
		case <-ctx.Done():
			a.buffer.room.dequeue(queued)
			return context.Cause(ctx)
		}
	}
}

// waitCondition is what a writer without room waits for; the zero value means that it
// need not wait.
type waitCondition struct {
	// changed is closed when the answer itself may have room.
	changed <-chan struct{}
	// waiter is the writer's place in the queue for the buffer's room; nil if the
	// answer's own limit is exceeded.
	waiter *waiter
	// acknowledged is the acknowledged offset.
	acknowledged int64
}

// append adds the data if there is room, and otherwise returns the condition to wait
// for.
func (a *Answer) append(head *messenger.Head, data []byte) waitCondition {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.head == nil {
		a.head = head
	}
	n := int64(len(data))
	if a.dropped {
		a.base += n
		a.acknowledged = a.base
		return waitCondition{}
	}
	unread := a.base + int64(len(a.data)) - a.acknowledged
	p := waitCondition{changed: a.changed, acknowledged: a.acknowledged}
	if unread > 0 && unread+n > a.buffer.settings.AnswerLimit {
		return p
	}
	if unread > 0 && !a.buffer.room.hasRoom(n) {
		if p.waiter = a.buffer.room.enqueue(n); p.waiter != nil {
			return p
		}
	}
	a.data = append(a.data, data...)
	a.buffer.room.reserve(n)
	a.wake()
	return waitCondition{}
}

// End ends the answer. Only the first call has an effect.
func (a *Answer) End(now time.Time, e messenger.End) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.end != nil {
		return
	}
	a.end = &e
	a.endedAt = now
	a.wake()
}

// Ended returns the end of the answer, or nil.
func (a *Answer) Ended() *messenger.End {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.end
}

// Length returns the number of bytes written.
func (a *Answer) Length() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.base + int64(len(a.data))
}

// Acknowledged returns the offset up to which an entry has acknowledged the answer.
func (a *Answer) Acknowledged() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.acknowledged
}

// Release records that the attempt was cancelled, so that no entry will request the
// answer. It drops the bytes at once and keeps the end. Otherwise the answers of
// callers that left would fill the buffer until their retention ends, and block the
// streams of others.
//
// The answer to a call that may run only once keeps its bytes, because the caller may
// request them with the same key.
func (a *Answer) Release() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.released = true
	if !a.retain {
		a.discard()
	}
}

// discard drops all bytes permanently. The caller holds mu.
func (a *Answer) discard() {
	n := int64(len(a.data))
	a.base += n
	a.acknowledged = a.base
	a.data = nil
	a.dropped = true
	a.buffer.room.release(n)
	a.wake()
}

// fetchable reports whether an entry may still fetch the answer: one is reading it, or
// the last reader ended no longer than limit ago. Nobody returns for an answer whose
// entry was lost, and a lost acknowledgement is not repeated.
func (a *Answer) fetchable(now time.Time, limit time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fetchableLocked(now, limit)
}

// fetchableLocked implements fetchable. The caller holds mu.
func (a *Answer) fetchableLocked(now time.Time, limit time.Duration) bool {
	switch {
	case a.released:
		return false
	case a.end == nil || a.detachedAt.IsZero():
		return true
	default:
		return now.Sub(a.detachedAt) <= limit
	}
}

// Released reports whether an entry has acknowledged the whole answer with its end, or
// has cancelled the attempt.
func (a *Answer) Released() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.released
}

// Acknowledge records that an entry has received the bytes before offset and, if ended
// is set, the whole answer. Offsets outside the answer are ignored.
func (a *Answer) Acknowledge(offset int64, ended bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	length := a.base + int64(len(a.data))
	if ended && a.end != nil {
		a.released = true
		offset = length
	}
	if offset <= a.acknowledged || offset > length {
		return
	}
	a.acknowledged = offset
	if !a.retain {
		a.dropAcknowledged()
	}
	a.wake()
}

// dropAcknowledged frees the acknowledged bytes and returns their number. The caller
// holds mu.
func (a *Answer) dropAcknowledged() int64 {
	n := a.acknowledged - a.base
	if n <= 0 {
		return 0
	}
	rest := len(a.data) - int(n)
	if rest == 0 {
		a.data = nil
	} else {
		// Moving the rest to the front keeps the array from growing with the answer.
		copy(a.data, a.data[n:])
		a.data = a.data[:rest]
	}
	a.base = a.acknowledged
	a.buffer.room.release(n)
	return n
}

// wake makes all readers and writers check the answer again. The caller holds mu.
func (a *Answer) wake() {
	close(a.changed)
	a.changed = make(chan struct{})
}
