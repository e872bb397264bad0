package streamer

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// MaxPieceBytes bounds the data of one piece.
const MaxPieceBytes = 32 << 10

// Answer is one attempt's answer. It may be used by several goroutines.
type Answer struct {
	id     ID
	buffer *Buffer
	// keep asks to hold the bytes after their acknowledgement, for another entry
	// that asks for the answer to a call which must not run twice.
	keep bool

	mu sync.Mutex
	// base is the offset of the first byte in data; guarded by mu, as all below.
	base int64
	data []byte
	// acknowledged is the offset up to which an entry has taken the answer; at
	// least base.
	acknowledged int64
	head         *messenger.Head
	end          *messenger.End
	endedAt      time.Time
	// released tells that an entry acknowledged the ending or gave the attempt up.
	released bool
	// dropped tells that bytes were dropped which no entry has taken. None are held
	// from then on.
	dropped bool
	// link counts the readers; only the latest one is served.
	link int
	// leftAt is when the latest reader ended; zero while it reads.
	leftAt time.Time
	// changed is closed and replaced whenever a reader or writer may go on.
	changed chan struct{}
}

// ID returns the answer's name.
func (a *Answer) ID() ID { return a.id }

// Write appends to the answer, waiting while there is no room. It returns
// ErrAbandoned if nobody makes room for patience, and the context's error.
// Bytes for an answer that was given up go nowhere.
func (a *Answer) Write(ctx context.Context, patience time.Duration, head *messenger.Head, data []byte) error {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	var queued *place
	for {
		p := a.append(head, data)
		a.buffer.room.leave(queued)
		if p.changed == nil {
			return nil
		}
		queued = p.place
		select {
		case <-p.changed:
			if a.Acknowledged() > p.acknowledged {
				timer.Reset(patience)
			}
		case <-queued.turn():
		case <-timer.C:
			a.buffer.room.leave(queued)
			return errors.Trace(ErrAbandoned)
		case <-ctx.Done():
			a.buffer.room.leave(queued)
			return context.Cause(ctx)
		}
	}
}

// pause is what a writer without room waits for; the zero value if it need not.
type pause struct {
	// changed is closed once the answer itself may have room.
	changed <-chan struct{}
	// place is that in the queue for the room of all answers; nil if the answer's
	// own limit is in the way.
	place *place
	// acknowledged is the offset acknowledged so far.
	acknowledged int64
}

// append adds the data if there is room, and else returns what to wait for.
func (a *Answer) append(head *messenger.Head, data []byte) pause {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.head == nil {
		a.head = head
	}
	n := int64(len(data))
	if a.dropped {
		a.base += n
		a.acknowledged = a.base
		return pause{}
	}
	unread := a.base + int64(len(a.data)) - a.acknowledged
	p := pause{changed: a.changed, acknowledged: a.acknowledged}
	if unread > 0 && unread+n > a.buffer.settings.AnswerLimit {
		return p
	}
	if unread > 0 && !a.buffer.room.fits(n) {
		if p.place = a.buffer.room.join(n); p.place != nil {
			return p
		}
	}
	a.data = append(a.data, data...)
	a.buffer.room.take(n)
	a.wake()
	return pause{}
}

// End ends the answer. The first ending stands.
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

// Ended returns the ending, or nil.
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

// Acknowledged returns the offset up to which an entry has taken the answer.
func (a *Answer) Acknowledged() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.acknowledged
}

// Release notes that no entry will come for the answer: its attempt was
// cancelled. Its bytes go at once, and its ending stays. Without that, the
// answers of callers that left filled the buffer until the retention's end, and
// the streams of others stood still.
//
// The answer to a call that may run only once keeps its bytes: the caller may
// ask for them with the same key.
func (a *Answer) Release() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.released = true
	if !a.keep {
		a.discard()
	}
}

// discard drops all bytes for good. The caller holds mu.
func (a *Answer) discard() {
	n := int64(len(a.data))
	a.base += n
	a.acknowledged = a.base
	a.data = nil
	a.dropped = true
	a.buffer.room.free(n)
	a.wake()
}

// awaited tells whether an entry may still take the answer: one is reading it, or
// the last one left no more than the limit ago. Nobody comes back for an answer
// whose entry was lost, and an acknowledgement that got lost is not sent again.
func (a *Answer) awaited(now time.Time, limit time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.awaitedLocked(now, limit)
}

// awaitedLocked is awaited for a caller that holds mu.
func (a *Answer) awaitedLocked(now time.Time, limit time.Duration) bool {
	switch {
	case a.released:
		return false
	case a.end == nil || a.leftAt.IsZero():
		return true
	default:
		return now.Sub(a.leftAt) <= limit
	}
}

// Released tells whether an entry has taken the whole answer with its ending, or
// gave the attempt up.
func (a *Answer) Released() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.released
}

// Acknowledge notes that an entry has taken the bytes before offset, and with
// ended the whole answer. What lies outside the answer is ignored.
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
	if !a.keep {
		a.drop()
	}
	a.wake()
}

// drop frees the bytes acknowledged. The caller holds mu.
func (a *Answer) drop() int64 {
	n := a.acknowledged - a.base
	if n <= 0 {
		return 0
	}
	rest := len(a.data) - int(n)
	if rest == 0 {
		a.data = nil
	} else {
		// Copying to the front keeps the array from growing with the answer.
		copy(a.data, a.data[n:])
		a.data = a.data[:rest]
	}
	a.base = a.acknowledged
	a.buffer.room.free(n)
	return n
}

// wake lets all readers and writers look again. The caller holds mu.
func (a *Answer) wake() {
	close(a.changed)
	a.changed = make(chan struct{})
}
