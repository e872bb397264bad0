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

// inboxLimit bounds the bytes that wait in one inbox. Companions send only so
// much before it is acknowledged; a piece beyond is dropped and asked for later.
const inboxLimit = 16 << 20

// PieceRouter hands the pieces of answers that arrive on any connection to the
// attempts which wait for them. It is the messenger.Handler of an entry's pool.
type PieceRouter struct {
	shards [pieceShards]pieceShard
}

type pieceShard struct {
	mu sync.Mutex
	// inboxes are the attempts that wait; guarded by mu.
	inboxes map[attemptID]*inbox
}

type attemptID struct {
	request string
	attempt int
}

// inbox holds the pieces that have arrived for one attempt.
type inbox struct {
	// arrived gets a value when there is something to take.
	arrived chan struct{}

	mu sync.Mutex
	// pieces have arrived and were not taken; guarded by mu.
	pieces []messenger.Piece
	// bytes counts their data; guarded by mu.
	bytes int
	// lost tells that a piece was dropped; guarded by mu.
	lost bool
}

// NewPieceRouter returns a PieceRouter without open inboxes.
func NewPieceRouter() *PieceRouter {
	p := &PieceRouter{}
	for i := range p.shards {
		p.shards[i].inboxes = make(map[attemptID]*inbox)
	}
	return p
}

// Handle takes a piece. One that nobody waits for is late and dropped.
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

// Deliver hands the piece to its attempt.
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
	if b.bytes+len(piece.Data) > inboxLimit {
		b.lost = true
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

// take returns what has arrived, and whether a piece was dropped.
func (b *inbox) take() (pieces []messenger.Piece, lost bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	pieces, lost = b.pieces, b.lost
	b.pieces, b.bytes, b.lost = nil, 0, false
	return pieces, lost
}
