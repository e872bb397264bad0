package streamer

import (
	"context"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// Attach creates a reader at the offset and replaces the previous reader: an entry that
// returns on a new connection may still have its old one open. It returns ErrNotHeld if
// the bytes at the offset are not held.
func (a *Answer) Attach(offset int64) (*Reader, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if offset < a.base || offset > a.base+int64(len(a.data)) {
		return nil, errors.Trace(ErrNotHeld)
	}
	a.generation++
	a.detachedAt = time.Time{}
	a.wake()
	return &Reader{answer: a, generation: a.generation, offset: offset, first: true}, nil
}

// Reader reads the pieces of an answer for one connection.
type Reader struct {
	answer     *Answer
	generation int
	offset     int64
	first      bool
}

// Detach records that the reader has ended.
func (r *Reader) Detach(now time.Time) {
	a := r.answer
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.generation == r.generation {
		a.detachedAt = now
	}
}

// Next waits for the next piece. It returns ErrReplaced if another reader was attached,
// and the cause of the context's end. The last piece contains the end.
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
	if a.generation != r.generation {
		return piece, nil, errors.Trace(ErrReplaced)
	}
	if a.dropped && r.offset < a.base && (a.end == nil || a.end.Outcome != messenger.OutcomeCompleted) {
		// The reader can no longer send the complete answer. An end other than
		// Completed is correct after any part of the answer. Completed must follow all
		// bytes, so that the entry notices the missing ones.
		if a.end == nil {
			return piece, a.changed, nil
		}
		piece.End = a.end
		if r.first {
			piece.Head = a.head
		}
		return piece, nil, nil
	}
	// Another connection may have acknowledged bytes that this one has not sent.
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
