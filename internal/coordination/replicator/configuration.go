package replicator

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/juju/errors"
)

// Member describes a host of the group.
type Member struct {
	// ID is the number of the host, not 0.
	ID HostID
	// Address is the address at which the transport reaches the host.
	Address string
	// FailureDomain is the failure domain of the host.
	FailureDomain string
	// Voter is set if the member counts in quorums. A member that is not a voter is a learner,
	// which only receives the log.
	Voter bool
	// Incarnation identifies the disk of the host. It is 0 for a learner until it becomes a voter,
	// and never 0 for a voter. Callers leave it 0.
	Incarnation uint64 `json:",omitempty"`
}

// Configuration is the membership of the group at some entry. It is immutable.
type Configuration struct {
	// Members are in ascending order of their ID.
	Members []Member
}

// Find returns the member with the given ID, and false if there is none.
func (c Configuration) Find(id HostID) (Member, bool) {
	for _, m := range c.Members {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// Voters returns the number of voters.
func (c Configuration) Voters() int {
	n := 0
	for _, m := range c.Members {
		if m.Voter {
			n++
		}
	}
	return n
}

// Quorum returns the number of voters that form a majority.
func (c Configuration) Quorum() int { return c.Voters()/2 + 1 }

// with returns a copy in which m replaces the member with the same ID, or is added.
func (c Configuration) with(m Member) Configuration {
	out := c.without(m.ID)
	out.Members = append(out.Members, m)
	slices.SortFunc(out.Members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// without returns a copy that lacks the member with the given ID.
func (c Configuration) without(id HostID) Configuration {
	out := Configuration{Members: make([]Member, 0, len(c.Members)+1)}
	for _, m := range c.Members {
		if m.ID != id {
			out.Members = append(out.Members, m)
		}
	}
	return out
}

// quorumValue returns the highest value that a majority of the voters has reached.
func quorumValue[T cmp.Ordered](c Configuration, of func(HostID) T) T {
	values := make([]T, 0, len(c.Members))
	for _, m := range c.Members {
		if m.Voter {
			values = append(values, of(m.ID))
		}
	}
	var zero T
	if len(values) == 0 {
		return zero
	}
	slices.Sort(values)
	return values[len(values)-c.Quorum()]
}

// encodeConfiguration returns the data of an EntryMembership.
func encodeConfiguration(c Configuration) []byte {
	b, err := json.Marshal(c)
	if err != nil {
		panic("replicator: configuration can't be encoded")
	}
	return b
}

// decodeConfiguration decodes the data of an EntryMembership.
func decodeConfiguration(b []byte) (Configuration, error) {
	var c Configuration
	if err := json.Unmarshal(b, &c); err != nil {
		return c, errors.Annotate(err, "decode configuration")
	}
	return c, nil
}
