package streamer

import (
	"slices"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// ErrEarlyLimit means that more bytes wait for a missing piece than the limit.
const ErrEarlyLimit = errors.ConstError("too many bytes wait for a missing piece")

// ErrInconsistentPieces means that two pieces tell different things of one answer.
const ErrInconsistentPieces = errors.ConstError("pieces of one answer contradict each other")

// Assembler puts the pieces of one answer in order. It is not safe for
// concurrent use.
type Assembler struct {
	// limit bounds the bytes in early.
	limit int64
	// next is the offset of the first byte not given yet.
	next int64
	// early are the pieces that lie beyond next, in order of offset.
	early []messenger.Piece
	// earlyBytes is the sum of the bytes in early.
	earlyBytes int64
	head       *messenger.Head
	end        *messenger.End
	// length is the length of the whole answer, once end is known.
	length int64
	done   bool
}

// NewAssembler returns an assembler that holds back at most limit bytes which
// came before their predecessors.
func NewAssembler(limit int64) *Assembler { return &Assembler{limit: limit} }

// Next returns the offset of the first byte that has not been given. It is the
// offset to acknowledge and to resume from.
func (a *Assembler) Next() int64 { return a.next }

// Head returns the answer's head, or nil while it has not arrived.
func (a *Assembler) Head() *messenger.Head { return a.head }

// Add takes in a piece. It returns the bytes that follow those given before, the
// ending once all bytes are given, and whether something is missing before a
// piece that is already here. The ready bytes may be the piece's own. Errors are
// ErrTooMuch and ErrContradiction; the answer can't be told whole after either.
func (a *Assembler) Add(p messenger.Piece) (ready []byte, done *messenger.End, gap bool, err error) {
	if err := a.ends(p); err != nil {
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

// ends notes the ending, and refuses bytes beyond it.
func (a *Assembler) ends(p messenger.Piece) error {
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

// advance appends what of p is new to ready.
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
