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
func (a *Answer) Write(ctx context.Context, patience time.Duration, head *messenger.Head, data []byte) error {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	for {
		wait, before := a.append(head, data)
		if wait == nil {
			return nil
		}
		select {
		case <-wait:
			if a.Acknowledged() > before {
				timer.Reset(patience)
			}
		case <-timer.C:
			return errors.Trace(ErrAbandoned)
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// append adds the data if there is room, and else returns the channel that is
// closed once there may be, and the offset acknowledged so far.
func (a *Answer) append(head *messenger.Head, data []byte) (wait <-chan struct{}, acknowledged int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.head == nil {
		a.head = head
	}
	unread := a.base + int64(len(a.data)) - a.acknowledged
	if unread > 0 && (unread+int64(len(data)) > a.buffer.settings.AnswerLimit || !a.buffer.room(int64(len(data)))) {
		return a.changed, a.acknowledged
	}
	a.data = append(a.data, data...)
	a.buffer.used.Add(int64(len(data)))
	a.wake()
	return nil, 0
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
// cancelled.
func (a *Answer) Release() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.released = true
}

// awaited tells whether an entry may still take the answer: one is reading it, or
// the last one left no more than the limit ago. Nobody comes back for an answer
// whose entry was lost, and an acknowledgement that got lost is not sent again.
func (a *Answer) awaited(now time.Time, limit time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
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
	a.buffer.used.Add(-n)
	return n
}

// wake lets all readers and writers look again. The caller holds mu.
func (a *Answer) wake() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// Attach begins a new reader from the offset and ends the one before it: an
// entry that comes back on a new connection may still have its old one open.
func (a *Answer) Attach(offset int64) (*Reader, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if offset < a.base || offset > a.base+int64(len(a.data)) {
		return nil, errors.Trace(ErrNotHeld)
	}
	a.link++
	a.leftAt = time.Time{}
	a.wake()
	return &Reader{answer: a, link: a.link, offset: offset, first: true}, nil
}

// Reader gives the pieces of an answer to one connection.
type Reader struct {
	answer *Answer
	link   int
	offset int64
	first  bool
}

// Detach notes that the reader has ended.
func (r *Reader) Detach(now time.Time) {
	a := r.answer
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.link == r.link {
		a.leftAt = now
	}
}

// Next waits for the next piece. It returns ErrReplaced once another reader was
// attached, and the context's error. The piece with the ending is the last.
func (r *Reader) Next(ctx context.Context) (messenger.Piece, error) {
	for {
		piece, wait, err := r.poll()
		if wait == nil || err != nil {
			return piece, err
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return messenger.Piece{}, context.Cause(ctx)
		}
	}
}

func (r *Reader) poll() (messenger.Piece, <-chan struct{}, error) {
	a := r.answer
	a.mu.Lock()
	defer a.mu.Unlock()
	piece := messenger.Piece{Request: a.id.Request, Attempt: a.id.Attempt, Offset: r.offset}
	if a.link != r.link {
		return piece, nil, errors.Trace(ErrReplaced)
	}
	// Another connection may have acknowledged what this one has not sent.
	if r.offset < a.base {
		r.offset = a.base
		piece.Offset = a.base
	}
	fresh := a.data[r.offset-a.base:]
	if len(fresh) == 0 && a.end == nil && (!r.first || a.head == nil) {
		return piece, a.changed, nil
	}
	if len(fresh) > MaxPieceBytes {
		fresh = fresh[:MaxPieceBytes]
	}
	piece.Data = append([]byte(nil), fresh...)
	if r.first {
		piece.Head = a.head
	}
	r.first = r.first && a.head == nil
	r.offset += int64(len(fresh))
	if a.end != nil && r.offset == a.base+int64(len(a.data)) {
		piece.End = a.end
	}
	return piece, nil, nil
}
