package replicator

import (
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
)

// bootstrapper asks all other hosts of the bootstrap list to confirm that they are new, and then
// gives the group's first configuration. It runs on the host with the lowest ID of the list. A host
// that lost its disk and starts with its old settings would otherwise form a second group beside
// the existing one; here the refusal of a single member prevents it.
type bootstrapper struct {
	self          HostID
	members       []Member
	digest        uint64
	incarnations  map[HostID]uint64
	refusedBy     HostID
	nextRequestAt time.Duration
	// founders holds the hosts that take part by themselves. See Settings.Rejoin.
	founders map[HostID]struct{}
}

// newBootstrapper returns nil if this host does not form a group. The parameter founder reports
// whether it takes part by itself.
func newBootstrapper(s Settings, incarnation uint64, founder bool) *bootstrapper {
	for _, m := range s.Bootstrap {
		if m.ID < s.Self.ID {
			return nil
		}
	}
	if len(s.Bootstrap) == 0 {
		return nil
	}
	b := &bootstrapper{
		self: s.Self.ID, members: s.Bootstrap, digest: digestMembers(s.Bootstrap),
		incarnations: map[HostID]uint64{s.Self.ID: incarnation}, founders: make(map[HostID]struct{}),
	}
	if founder {
		b.founders[s.Self.ID] = struct{}{}
	}
	return b
}

// digestMembers returns a hash of a bootstrap list that does not depend on its order.
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

// tick returns the requests to send now. Unanswered hosts are asked again after interval.
func (b *bootstrapper) tick(now, interval time.Duration) []Message {
	if now < b.nextRequestAt || b.refusedBy != 0 {
		return nil
	}
	b.nextRequestAt = now + interval
	var out []Message
	for _, m := range b.members {
		if _, ok := b.incarnations[m.ID]; !ok {
			out = append(out, Message{Kind: FoundRequest, To: m.ID, Digest: b.digest})
		}
	}
	return out
}

// step handles a reply.
func (b *bootstrapper) step(m Message) {
	if m.Digest != b.digest {
		return
	}
	if m.Rejected {
		b.refusedBy = m.From
		return
	}
	b.incarnations[m.From] = m.FromIncarnation
	if m.Founder {
		b.founders[m.From] = struct{}{}
	}
}

// initialConfiguration returns the first configuration, and false until all hosts have agreed, and a
// majority of them take part by themselves.
func (b *bootstrapper) initialConfiguration() (Configuration, bool) {
	var c Configuration
	if b.refusedBy != 0 || len(b.founders) <= len(b.members)/2 {
		return c, false
	}
	for _, m := range b.members {
		incarnation, ok := b.incarnations[m.ID]
		if !ok {
			return c, false
		}
		m.Voter, m.Incarnation = true, incarnation
		c = c.with(m)
	}
	return c, true
}
