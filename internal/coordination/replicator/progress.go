package replicator

import "time"

// sendState is the way in which a leader sends to a member.
type sendState int

const (
	// probing sends one append at a time until the logs are known to agree.
	probing sendState = iota
	// replicating sends appends without waiting for replies, within a window.
	replicating
	// receiving sends a snapshot piece by piece, one at a time.
	receiving
)

// inFlightAppend is an unanswered append.
type inFlightAppend struct {
	last  uint64
	bytes int
}

// progress is a leader's view of another member.
type progress struct {
	// match is the index of the last entry known to be on the member's disk. It never decreases.
	match uint64
	// next is the index of the next entry to send; next > match.
	next  uint64
	state sendState
	// awaitingReply is set while a probe or a piece is unanswered; sentAt is the time at which it
	// was sent.
	awaitingReply bool
	sentAt        time.Duration
	// window holds the unanswered appends while replicating; bytes is their total size.
	window []inFlightAppend
	bytes  int
	// round is the latest heartbeat round that the member answered, and roundAt the start time of
	// that round.
	round   uint64
	roundAt time.Duration
	// answeredAt is the time of the member's last reply in the leader's term.
	answeredAt time.Duration
	// sentCommit is the commit index last sent to the member.
	sentCommit uint64
	// incarnation identifies the disk that match belongs to; 0 until the member has replied.
	incarnation uint64
	// snapshot is the index of the snapshot being sent, offset that of the next piece.
	snapshot uint64
	offset   int64
}

// full reports whether no further append may be sent now.
func (p *progress) full(s *CoreSettings) bool {
	switch p.state {
	case replicating:
		return len(p.window) >= s.WindowMessages || p.bytes >= s.WindowBytes
	default:
		return p.awaitingReply
	}
}

// recordSent records that entries up to last were sent.
func (p *progress) recordSent(last uint64, bytes int, now time.Duration) {
	p.sentAt = now
	if p.state == probing {
		p.awaitingReply = true
		return
	}
	p.next = last + 1
	p.window = append(p.window, inFlightAppend{last: last, bytes: bytes})
	p.bytes += bytes
}

// accept records that the member's disk agrees up to index.
func (p *progress) accept(index uint64) {
	if index > p.match {
		p.match = index
	}
	if p.next <= p.match {
		p.next = p.match + 1
	}
	n := 0
	for n < len(p.window) && p.window[n].last <= p.match {
		p.bytes -= p.window[n].bytes
		n++
	}
	p.window = p.window[n:]
}

// setState changes the state and clears the window.
func (p *progress) setState(s sendState) {
	p.state = s
	p.awaitingReply = false
	p.window = nil
	p.bytes = 0
}

// reject handles an append that did not match after entry refused. A late reply is recognized by a
// refused entry that is already known to agree, and ignored.
func (p *progress) reject(refused, hint uint64) {
	if refused <= p.match || p.state == receiving {
		return
	}
	if p.state == probing && refused != p.next-1 {
		return
	}
	p.setState(probing)
	p.next = max(p.match+1, min(hint, refused))
}
