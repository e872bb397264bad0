package replicator

import "marigoldpoint.example/marigoldpoint/internal/state/snapshotter"

// sendPiece asks the owner to send the next piece of the snapshot that the
// member receives.
func (c *Core) sendPiece(p *progress, m Message) {
	m.Kind = SnapshotRequest
	m.Snapshot = &snapshotter.Piece{Index: p.snapshot, Offset: p.offset}
	p.waiting = true
	p.sentAt = c.clock
	c.out.SnapshotSends = append(c.out.SnapshotSends, m)
}

// sendEmptyPiece is the heartbeat of a member that receives a snapshot: an
// append without entries after entry 0, which every log agrees to.
func (c *Core) sendEmptyPiece(id HostID) {
	p := c.peers[id]
	c.out.Early = append(c.out.Early, c.stamp(Message{
		Kind: AppendRequest, To: id, ToIncarnation: p.incarnation, Round: c.round,
		Counted: p.match, QuorumAge: c.clock - c.quorumAt(),
	}))
}

// stepPieceReply goes on where the member wants to.
func (c *Core) stepPieceReply(p *progress, m Message) {
	if p.state != receiving || m.Snapshot == nil || m.Snapshot.Index != p.snapshot {
		return
	}
	p.waiting = false
	p.offset = m.Snapshot.Offset
}

// SnapshotGone tells that a piece can't be sent, because the snapshot is no
// longer kept. The transfer begins again with the latest one.
func (c *Core) SnapshotGone(to HostID) {
	if p := c.peers[to]; p != nil && p.state == receiving {
		p.snapshot, p.offset = c.snapshot.Index, 0
		p.waiting = false
	}
}
