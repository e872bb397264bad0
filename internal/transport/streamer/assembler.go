package streamer

import (
	"slices"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// ErrEarlyLimit means that the bytes that wait for a missing piece exceed the limit.
const ErrEarlyLimit = errors.ConstError("too many bytes wait for a missing piece")

// ErrInconsistentPieces means that two pieces of an answer contradict each other.
const ErrInconsistentPieces = errors.ConstError("pieces of one answer contradict each other")

// Assembler puts the pieces of one answer in order. It is not safe for concurrent use.
type Assembler struct {
	// limit is the maximum of earlyBytes.
	limit int64
	// next is the offset of the first byte that was not returned yet.
	next int64
	// early holds the pieces beyond next, ordered by offset.
	early []messenger.Piece
	// earlyBytes is the size of the data in early.
	earlyBytes int64
	head       *messenger.Head
	end        *messenger.End
	// length is the length of the complete answer, valid if end is set.
	length int64
	done   bool
}

// NewAssembler returns an assembler that holds at most limit bytes which arrived before
// their predecessors.
func NewAssembler(limit int64) *Assembler { return &Assembler{limit: limit} }

// Next returns the offset of the first byte that was not returned yet. It is the offset
// to acknowledge and to resume from.
func (a *Assembler) Next() int64 { return a.next }

// Head returns the answer's head, or nil while it has not arrived.
func (a *Assembler) Head() *messenger.Head { return a.head }

// Add adds a piece. It returns the bytes that follow those returned before, the end
// once all bytes were returned, and whether bytes are missing before a piece or end
// that has arrived. The returned bytes may share memory with the piece. The errors are
// ErrEarlyLimit and ErrInconsistentPieces; after either the answer can't be completed.
func (a *Assembler) Add(p messenger.Piece) (ready []byte, done *messenger.End, gap bool, err error) {
	if err := a.recordEnd(p); err != nil {
		return nil, nil, false, err
	}
	if p.Head != nil && a.head == nil {
		a.head = p.Head
	}
	if p.Offset > a.next {
		if err := a.holdBack(p); err != nil {
			return nil, nil, true, err
		}
		return nil, nil, true, nil
	}
	ready = a.advance(nil, p)
	for len(a.early) > 0 && a.early[0].Offset <= a.next {
		first := a.early[0]
		a.early = slices.Delete(a.early, 0, 1)
		a.earlyBytes -= int64(len(first.Data))
		ready = a.advance(ready, first)
	}
	if a.end != nil && a.next == a.length && !a.done {
		a.done = true
		done = a.end
	}
	return ready, done, len(a.early) > 0 || a.end != nil && a.next < a.length, nil
}

// recordEnd records the end of the answer, and rejects bytes beyond it.
func (a *Assembler) recordEnd(p messenger.Piece) error {
	to := p.Offset + int64(len(p.Data))
	if p.Offset < 0 || a.end != nil && to > a.length {
		return errors.Trace(ErrInconsistentPieces)
	}
	if p.End == nil {
		return nil
	}
	if a.end != nil && to != a.length || to < a.next {
		return errors.Trace(ErrInconsistentPieces)
	}
	a.end = p.End
	a.length = to
	return nil
}

// advance appends the new bytes of p to ready.
func (a *Assembler) advance(ready []byte, p messenger.Piece) []byte {
	skip := a.next - p.Offset
	if skip >= int64(len(p.Data)) {
		return ready
	}
	fresh := p.Data[skip:]
	a.next += int64(len(fresh))
	if ready == nil {
		return fresh
	}
	return append(slices.Clip(ready), fresh...)
}

func (a *Assembler) holdBack(p messenger.Piece) error {
	at, found := slices.BinarySearchFunc(a.early, p.Offset, func(e messenger.Piece, offset int64) int {
		return int(min(1, max(-1, e.Offset-offset)))
	})
	if found {
		if len(a.early[at].Data) >= len(p.Data) {
			return nil
		}
		a.earlyBytes -= int64(len(a.early[at].Data))
		a.early = slices.Delete(a.early, at, at+1)
	}
	a.earlyBytes += int64(len(p.Data))
	if a.earlyBytes > a.limit {
		return errors.Trace(ErrEarlyLimit)
	}
	a.early = slices.Insert(a.early, at, p)
	return nil
}
