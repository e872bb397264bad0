package replicator

import "marigoldpoint.example/marigoldpoint/internal/state/snapshotter"

// sendPiece requests that the owner send the next piece of the snapshot to the member.
func (c *Core) sendPiece(p *progress, m Message) {
	m.Kind = SnapshotRequest
	m.Snapshot = &snapshotter.Piece{Index: p.snapshot, Offset: p.offset}
	p.awaitingReply = true
	p.sentAt = c.clock
	c.pending.SnapshotSends = append(c.pending.SnapshotSends, m)
}

// sendSnapshotHeartbeat sends a heartbeat to a member that receives a snapshot: an append without
// entries after entry 0, which matches every log.
func (c *Core) sendSnapshotHeartbeat(id HostID) {
	p := c.peers[id]
	c.pending.Early = append(c.pending.Early, c.fillHeader(Message{
		Kind: AppendRequest, To: id, ToIncarnation: p.incarnation, Round: c.round,
		Counted: p.match, QuorumAge: c.clock - c.quorumConfirmedAt(),
	}))
}

// stepSnapshotReply continues the snapshot at the offset that the member requested.
func (c *Core) stepSnapshotReply(p *progress, m Message) {
	if p.state != receiving || m.Snapshot == nil || m.Snapshot.Index != p.snapshot {
		return
	}
	p.awaitingReply = false
	p.offset = m.Snapshot.Offset
}

// SnapshotGone reports that a piece can't be sent, because the snapshot has been deleted. The
// transfer restarts with the latest one.
func (c *Core) SnapshotGone(to HostID) {
	if p := c.peers[to]; p != nil && p.state == receiving {
		p.snapshot, p.offset = c.snapshot.Index, 0
		p.awaitingReply = false
	}
}
