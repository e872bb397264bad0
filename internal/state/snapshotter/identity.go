package snapshotter

import (
	"encoding/json"
	"os"

	"github.com/juju/errors"
)

// Names of the small files.
const (
	identityName  = "identity"
	hardStateName = "hardstate"
)

// Identity says which member of which group a data folder belongs to. A host
// whose folder holds none is new: it must never act under an identity that it
// had before its disk was lost, for it no longer knows what it voted for and
// what it acknowledged.
type Identity struct {
	// Group is the group's name from the settings.
	Group string
	// Formation is the number drawn when the group was formed, 0 while the
	// host belongs to none. Once set it never changes.
	Formation uint64
	// Host is the number of the host from the settings.
	Host uint64
	// Incarnation is the number drawn when the identity was written. It is
	// never 0; another disk under the same Host has another one.
	Incarnation uint64
}

// HardState is what a replica must have on its disk before it answers a vote or
// an append.
type HardState struct {
	// Term is the latest term seen. It never falls.
	Term uint64
	// Vote is the host voted for in Term, 0 for none. It changes within a term
	// only from 0.
	Vote uint64
}

// Identity returns the identity in the folder and whether there is one.
func (s *Store) Identity() (Identity, bool, error) {
	var id Identity
	found, err := s.load(identityName, &id)
	return id, found, errors.Annotate(err, "read identity")
}

// SaveIdentity makes the identity last.
func (s *Store) SaveIdentity(id Identity) error {
	return errors.Annotate(s.save(identityName, id), "write identity")
}

// HardState returns the hard state in the folder, or its zero value.
func (s *Store) HardState() (HardState, error) {
	var h HardState
	_, err := s.load(hardStateName, &h)
	return h, errors.Annotate(err, "read hard state")
}

// SaveHardState makes the hard state last.
func (s *Store) SaveHardState(h HardState) error {
	return errors.Annotate(s.save(hardStateName, h), "write hard state")
}

func (s *Store) load(name string, into any) (bool, error) {
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

func (s *Store) save(name string, value any) error {
	b, err := json.Marshal(value)
	if err != nil {
		return errors.Trace(err)
	}
	return replaceFile(s.settings.FileSystem, s.path(name), b)
}
