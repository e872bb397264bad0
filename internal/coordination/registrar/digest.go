package registrar

import "slices"

// ServerState is the reported state of a backend server.
type ServerState struct {
	Name  string
	Epoch uint64
	// Sequence increases with each report of the companion within an epoch.
	Sequence uint64
	Load     Load
	// Resident lists the loaded versions, sorted. It is shared and must not be modified.
	Resident []string
}

// Digest holds the complete state of each backend server that changed.
type Digest struct {
	// Whole is set if Servers are all known backend servers; the receiver removes all others.
	Whole bool
	// Gone names the backend servers whose membership ended. It is applied before Servers: a server
	// may have joined again since.
	Gone    []string
	Servers []ServerState
}

// ServerChange is a change of one backend server's state.
type ServerChange struct {
	Name     string
	Epoch    uint64
	Sequence uint64
	// Base is the Sequence of the state to which Loaded and Evicted apply, in the same epoch; 0
	// means that Loaded is the complete residency.
	Base    uint64 `json:",omitempty"`
	Load    Load
	Loaded  []string `json:",omitempty"`
	Evicted []string `json:",omitempty"`
}

// DigestBatch holds the changes of one tick.
type DigestBatch struct {
	// Whole is set if the batch starts a new sequence of batches: backend servers that it does not
	// contain are not known.
	Whole bool `json:",omitempty"`
	// Gone names the backend servers whose membership ended. It is applied before Changes: a server
	// may have joined again since.
	Gone    []string `json:",omitempty"`
	Changes []ServerChange
}

// Apply returns the state after c, and false if c is not newer than s or is based on another state.
//
// While a companion moves to another control host, reports of its backend server can reach a host
// over two paths, and the older path may be the slower one. If the later arrival won, a version
// evicted long ago would appear resident, which shows as load stalls that no table explains.
// Therefore only a higher epoch, or a higher sequence within the epoch, counts.
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

// Whole returns the change that creates s from the empty state.
func (s ServerState) Whole() ServerChange {
	return ServerChange{Name: s.Name, Epoch: s.Epoch, Sequence: s.Sequence, Load: s.Load, Loaded: s.Resident}
}

// ChangeFrom returns the change that turns previous into s.
func (s ServerState) ChangeFrom(previous ServerState) ServerChange {
	if previous.Epoch != s.Epoch || previous.Sequence == 0 {
		return s.Whole()
	}
	c := ServerChange{Name: s.Name, Epoch: s.Epoch, Sequence: s.Sequence, Base: previous.Sequence, Load: s.Load}
	for _, v := range s.Resident {
		if _, ok := slices.BinarySearch(previous.Resident, v); !ok {
			c.Loaded = append(c.Loaded, v)
		}
	}
	for _, v := range previous.Resident {
		if _, ok := slices.BinarySearch(s.Resident, v); !ok {
			c.Evicted = append(c.Evicted, v)
		}
	}
	return c
}

// Equivalent reports whether s and previous differ by nothing that subscribers need to know: they
// have the same residency and the same load level.
func (s ServerState) Equivalent(previous ServerState) bool {
	return s.sameResidency(previous) && s.Load.Level() == previous.Load.Level()
}

func (s ServerState) sameResidency(previous ServerState) bool {
	return s.Epoch == previous.Epoch && slices.Equal(s.Resident, previous.Resident)
}

func sortedSet(versions []string) []string {
	set := slices.Clone(versions)
	slices.Sort(set)
	return slices.Compact(set)
}
