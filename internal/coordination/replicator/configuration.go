package replicator

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/juju/errors"
)

// Member describes a host of the group.
type Member struct {
	// ID is the host's number, not 0.
	ID HostID
	// Address is where the transport reaches it.
	Address string
	// FailureDomain is the failure domain it runs in.
	FailureDomain string
	// Voter says that it counts in quorums. A member that isn't one is a
	// learner, which receives the log only.
	Voter bool
	// Incarnation identifies the host's disk. It is 0 for a learner until it
	// becomes a voter, and never 0 for a voter. Callers leave it 0.
	Incarnation uint64 `json:",omitempty"`
}

// Configuration is the membership of the group as of some entry. It is not
// changed once made.
type Configuration struct {
	// Members are in rising order of their ID.
	Members []Member
}

// Find returns the member with the given ID and whether there is one.
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

// Quorum returns the number of voters that is a majority.
func (c Configuration) Quorum() int { return c.Voters()/2 + 1 }

// with returns a copy in which m takes the place of the member with its ID, or
// is added.
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

// quorumValue returns the highest value that a majority of the voters has
// reached.
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

// decodeConfiguration reads the data of an EntryMembership.
func decodeConfiguration(b []byte) (Configuration, error) {
	var c Configuration
	if err := json.Unmarshal(b, &c); err != nil {
		return c, errors.Annotate(err, "decode configuration")
	}
	return c, nil
}
