package replicator

import (
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
)

// founder gathers, on the host with the lowest ID of the bootstrap list, the
// word of all others that they are new. A host that lost its disk and starts
// with its old settings would otherwise form a second group, beside the one
// that the others still belong to; here one old host is enough to refuse it.
type founder struct {
	self      HostID
	members   []Member
	digest    uint64
	answered  map[HostID]uint64
	refusedBy HostID
	askAt     time.Duration
}

// newFounder returns nil where this host forms no group.
func newFounder(s Settings, incarnation uint64) *founder {
	for _, m := range s.Bootstrap {
		if m.ID < s.Self.ID {
			return nil
		}
	}
	if len(s.Bootstrap) == 0 {
		return nil
	}
	return &founder{
		self: s.Self.ID, members: s.Bootstrap, digest: digestMembers(s.Bootstrap),
		answered: map[HostID]uint64{s.Self.ID: incarnation},
	}
}

// digestMembers identifies a bootstrap list, whatever its order.
func digestMembers(members []Member) uint64 {
	sorted := Configuration{}
	for _, m := range members {
		sorted = sorted.with(m)
	}
	b, err := json.Marshal(sorted)
	if err != nil {
		panic("replicator: members can't be encoded")
	}
	return xxhash.Sum64(b)
}

// tick returns the questions to send now.
func (f *founder) tick(now, interval time.Duration) []Message {
	if now < f.askAt || f.refusedBy != 0 {
		return nil
	}
	f.askAt = now + interval
	var out []Message
	for _, m := range f.members {
		if _, ok := f.answered[m.ID]; !ok {
			out = append(out, Message{Kind: FoundRequest, To: m.ID, Digest: f.digest})
		}
	}
	return out
}

// step takes in an answer.
func (f *founder) step(m Message) {
	if m.Digest != f.digest {
		return
	}
	if m.Rejected {
		f.refusedBy = m.From
		return
	}
	f.answered[m.From] = m.FromIncarnation
}

// done returns the first configuration once all have answered.
func (f *founder) done() (Configuration, bool) {
	var c Configuration
	if f.refusedBy != 0 {
		return c, false
	}
	for _, m := range f.members {
		incarnation, ok := f.answered[m.ID]
		if !ok {
			return c, false
		}
		m.Voter, m.Incarnation = true, incarnation
		c = c.with(m)
	}
	return c, true
}
