package streamer

import (
	"context"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

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
	if a.dropped && r.offset < a.base && (a.end == nil || a.end.Outcome != messenger.OutcomeCompleted) {
		// The reader can't send the whole any more. An ending that claims no whole
		// answer is true after any of its bytes; one that does must follow them all,
		// so that the entry misses those that are gone.
		if a.end == nil {
			return piece, a.changed, nil
		}
		piece.End = a.end
		if r.first {
			piece.Head = a.head
		}
		return piece, nil, nil
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
