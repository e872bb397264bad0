package replicator

import "time"

// sendState says how a leader sends to a member.
type sendState int

const (
	// probing sends one append at a time until the logs are known to agree.
	probing sendState = iota
	// replicating sends without waiting, within a window.
	replicating
	// receiving sends a snapshot piece by piece, one at a time.
	receiving
)

// sent is an append that was not answered yet.
type sent struct {
	last  uint64
	bytes int
}

// progress is what a leader knows of another member.
type progress struct {
	// match is the last entry known to be on the member's disk. It never falls.
	match uint64
	// next is the first entry to send; next > match.
	next  uint64
	state sendState
	// waiting is set while a probe or a piece is out; sentAt is when it went.
	waiting bool
	sentAt  time.Duration
	// window holds the appends out while replicating; bytes is their sum.
	window []sent
	bytes  int
	// round is the latest heartbeat round that the member answered, and
	// roundAt when that round was begun.
	round   uint64
	roundAt time.Duration
	// answeredAt is when the member last answered anything in the leader's term.
	answeredAt time.Duration
	// told is the commit index last sent to the member.
	told uint64
	// incarnation is the one that match belongs to; 0 until it has answered.
	incarnation uint64
	// snapshot is the index of the snapshot being sent, offset the place of
	// the next piece.
	snapshot uint64
	offset   int64
}

// full reports whether no further append may go out now.
func (p *progress) full(s *CoreSettings) bool {
	switch p.state {
	case replicating:
		return len(p.window) >= s.WindowMessages || p.bytes >= s.WindowBytes
	default:
		return p.waiting
	}
}

// noteSent records that entries up to last are out.
func (p *progress) noteSent(last uint64, bytes int, now time.Duration) {
	p.sentAt = now
	if p.state == probing {
		p.waiting = true
		return
	}
	p.next = last + 1
	p.window = append(p.window, sent{last: last, bytes: bytes})
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

// become changes the state; the window starts empty.
func (p *progress) become(s sendState) {
	p.state = s
	p.waiting = false
	p.window = nil
	p.bytes = 0
}

// reject handles an append that did not fit after entry refused. Answers that
// come late are told by a refused entry that is known to agree.
func (p *progress) reject(refused, hint uint64) {
	if refused <= p.match || p.state == receiving {
		return
	}
	if p.state == probing && refused != p.next-1 {
		return
	}
	p.become(probing)
	p.next = max(p.match+1, min(hint, refused))
}
