package gatekeeper

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/cespare/xxhash/v2"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// pieceShards is the number of shards of a PieceRouter.
const pieceShards = 16

// maxInboxBytes limits the bytes that wait in one inbox. Companions send only a limited
// amount before it is acknowledged; pieces beyond are dropped and requested later.
const maxInboxBytes = 16 << 20

// PieceRouter passes the pieces of answers that arrive on any connection to the
// attempts that wait for them. It is the messenger.Handler of an entry's pool.
type PieceRouter struct {
	shards [pieceShards]pieceShard
}

type pieceShard struct {
	mu sync.Mutex
	// inboxes holds the inboxes of the waiting attempts; guarded by mu.
	inboxes map[attemptID]*inbox
}

type attemptID struct {
	request string
	attempt int
}

// inbox holds the pieces that have arrived for one attempt.
type inbox struct {
	// arrived receives a value when there are pieces to take.
	arrived chan struct{}

	mu sync.Mutex
	// pieces holds the pieces that have arrived and were not taken; guarded by mu.
	pieces []messenger.Piece
	// bytes is the size of their data; guarded by mu.
	bytes int
	// dropped means that a piece was dropped; guarded by mu.
	dropped bool
}

// NewPieceRouter returns a PieceRouter without open inboxes.
func NewPieceRouter() *PieceRouter {
	p := &PieceRouter{}
	for i := range p.shards {
		p.shards[i].inboxes = make(map[attemptID]*inbox)
	}
	return p
}

// Handle delivers a piece. A piece for which no attempt waits is late, and is dropped.
func (p *PieceRouter) Handle(_ context.Context, _ *messenger.Conn, method messenger.Method, params json.RawMessage) (any, error) {
	if method != messenger.MethodPiece {
		return nil, messenger.NewRefusal(messenger.ReasonUnsupported, string(method))
	}
	var piece messenger.Piece
	if err := messenger.Decode(params, &piece); err != nil {
		return nil, err
	}
	p.Deliver(piece)
	return nil, nil
}

// Deliver passes the piece to its attempt.
func (p *PieceRouter) Deliver(piece messenger.Piece) {
	id := attemptID{piece.Request, piece.Attempt}
	s := p.shard(id)
	s.mu.Lock()
	box := s.inboxes[id]
	s.mu.Unlock()
	if box != nil {
		box.put(piece)
	}
}

func (p *PieceRouter) shard(id attemptID) *pieceShard {
	return &p.shards[xxhash.Sum64String(id.request)%pieceShards]
}

func (p *PieceRouter) open(id attemptID) *inbox {
	box := &inbox{arrived: make(chan struct{}, 1)}
	s := p.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inboxes[id] = box
	return box
}

func (p *PieceRouter) close(id attemptID) {
	s := p.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inboxes, id)
}

func (b *inbox) put(piece messenger.Piece) {
	b.mu.Lock()
	if b.bytes+len(piece.Data) > maxInboxBytes {
		b.dropped = true
	} else {
		b.pieces = append(b.pieces, piece)
		b.bytes += len(piece.Data)
	}
	b.mu.Unlock()
	select {
	case b.arrived <- struct{}{}:
	default:
	}
}

// takeAll returns the pieces that have arrived, and whether a piece was dropped.
func (b *inbox) takeAll() (pieces []messenger.Piece, dropped bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	pieces, dropped = b.pieces, b.dropped
	b.pieces, b.bytes, b.dropped = nil, 0, false
	return pieces, dropped
}
