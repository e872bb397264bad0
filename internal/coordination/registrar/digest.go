package registrar

import "slices"

// ServerState is what is known of one backend server.
type ServerState struct {
	Name  string
	Epoch uint64
	// Sequence rises with each report of the companion within one epoch.
	Sequence uint64
	Load     Load
	// Resident lists the versions that are loaded, sorted. It is shared and must
	// not be changed.
	Resident []string
}

// Digest tells an entry the whole state of each backend server that changed.
type Digest struct {
	// Whole tells that Servers are all that are known; forget the others.
	Whole bool
	// Gone names the backend servers whose membership ended. It comes before
	// Servers: a server may have joined again since.
	Gone    []string
	Servers []ServerState
}

// ServerChange is a step of one backend server's state.
type ServerChange struct {
	Name     string
	Epoch    uint64
	Sequence uint64
	// Base is the Sequence of the state that Loaded and Evicted change, in the
	// same epoch; 0 means that Loaded is the whole residency.
	Base    uint64 `json:",omitempty"`
	Load    Load
	Loaded  []string `json:",omitempty"`
	Evicted []string `json:",omitempty"`
}

// DigestBatch carries the changes of one tick.
type DigestBatch struct {
	// Whole tells that the batch begins a new sequence of batches: what is not
	// in it is not known.
	Whole bool `json:",omitempty"`
	// Gone names the backend servers whose membership ended. It comes before
	// Changes: a server may have joined again since.
	Gone    []string `json:",omitempty"`
	Changes []ServerChange
}

// Apply returns the state after c, and false where c is not newer than s or
// builds on another state.
//
// Reports of one backend server can reach a host on two ways while its
// companion moves to another control host, and the older way may be the slower
// one. Were the later arrival to win, a version evicted long ago would appear
// resident, seen as load stalls that no table explains. So only a higher epoch,
// or a higher sequence within the epoch, counts.
func (s ServerState) Apply(c ServerChange) (ServerState, bool) {
	if c.Epoch < s.Epoch || c.Epoch == s.Epoch && c.Sequence <= s.Sequence {
		return s, false
	}
	next := ServerState{Name: c.Name, Epoch: c.Epoch, Sequence: c.Sequence, Load: c.Load}
	switch {
	case c.Base == 0:
		next.Resident = sortedSet(c.Loaded)
	case c.Epoch != s.Epoch || c.Base != s.Sequence:
		return s, false
	case len(c.Loaded) == 0 && len(c.Evicted) == 0:
		next.Resident = s.Resident
	default:
		kept := make([]string, 0, len(s.Resident)+len(c.Loaded))
		for _, v := range s.Resident {
			if !slices.Contains(c.Evicted, v) {
				kept = append(kept, v)
			}
		}
		next.Resident = sortedSet(append(kept, c.Loaded...))
	}
	return next, true
}

// Whole returns the change that makes s out of nothing.
func (s ServerState) Whole() ServerChange {
	return ServerChange{Name: s.Name, Epoch: s.Epoch, Sequence: s.Sequence, Load: s.Load, Loaded: s.Resident}
}

// ChangeFrom returns the change that makes s out of former.
func (s ServerState) ChangeFrom(former ServerState) ServerChange {
	if former.Epoch != s.Epoch || former.Sequence == 0 {
		return s.Whole()
	}
	c := ServerChange{Name: s.Name, Epoch: s.Epoch, Sequence: s.Sequence, Base: former.Sequence, Load: s.Load}
	for _, v := range s.Resident {
		if _, ok := slices.BinarySearch(former.Resident, v); !ok {
			c.Loaded = append(c.Loaded, v)
		}
	}
	for _, v := range former.Resident {
		if _, ok := slices.BinarySearch(s.Resident, v); !ok {
			c.Evicted = append(c.Evicted, v)
		}
	}
	return c
}

// Equivalent reports whether s and former differ by nothing worth a message:
// the same residency and the same level of load.
func (s ServerState) Equivalent(former ServerState) bool {
	return s.sameResidency(former) && s.Load.Level() == former.Load.Level()
}

func (s ServerState) sameResidency(former ServerState) bool {
	return s.Epoch == former.Epoch && slices.Equal(s.Resident, former.Resident)
}

func sortedSet(versions []string) []string {
	set := slices.Clone(versions)
	slices.Sort(set)
	return slices.Compact(set)
}
