package snapshotter

import (
	"encoding/json"
	"os"

	"github.com/juju/errors"
)

// Names of the files for the identity and the hard state.
const (
	identityName  = "identity"
	hardStateName = "hardstate"
)

// Identity identifies the group and the member to which a data folder belongs. A host
// whose folder contains no identity is new. After the loss of its disk a host must not
// act under its previous identity, since it no longer knows its votes and
// acknowledgements.
type Identity struct {
	// Group is the name of the group from the settings.
	Group string
	// Formation is the random number drawn when the group was formed, or 0 while
	// the host belongs to no group. Once set it never changes.
	Formation uint64
	// Founding is the hash of the bootstrap list with which the host first started; 0 means none.
	Founding uint64 `json:",omitempty"`
	// Host is the number of the host from the settings.
	Host uint64
	// Incarnation is the random number drawn when the identity was written. It is
	// never 0, and differs between two disks of the same Host.
	Incarnation uint64
}

// HardState is the consensus state that must be durable before a replica answers a
// vote request or an append request.
type HardState struct {
	// Term is the latest term seen. It never decreases.
	Term uint64
	// Vote is the host voted for in Term, or 0 for none. Within a term it changes
	// only from 0 to a host.
	Vote uint64
}

// Identity returns the stored identity and whether there is one.
func (s *Store) Identity() (Identity, bool, error) {
	var id Identity
	found, err := s.loadJSON(identityName, &id)
	return id, found, errors.Annotate(err, "read identity")
}

// SaveIdentity stores the identity and returns once it is durable.
func (s *Store) SaveIdentity(id Identity) error {
	return errors.Annotate(s.saveJSON(identityName, id), "write identity")
}

// HardState returns the stored hard state, or the zero value if there is none.
func (s *Store) HardState() (HardState, error) {
	var h HardState
	_, err := s.loadJSON(hardStateName, &h)
	return h, errors.Annotate(err, "read hard state")
}

// SaveHardState stores the hard state and returns once it is durable.
func (s *Store) SaveHardState(h HardState) error {
	return errors.Annotate(s.saveJSON(hardStateName, h), "write hard state")
}

func (s *Store) loadJSON(name string, into any) (bool, error) {
	b, err := readFile(s.settings.FileSystem, s.path(name))
	if os.IsNotExist(errors.Cause(err)) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	if err := json.Unmarshal(b, into); err != nil {
		return false, errors.Trace(err)
	}
	return true, nil
}

func (s *Store) saveJSON(name string, value any) error {
	b, err := json.Marshal(value)
	if err != nil {
		return errors.Trace(err)
	}
	return replaceFile(s.settings.FileSystem, s.path(name), b)
}
