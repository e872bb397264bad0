package suspecter

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"marigoldpoint.example/marigoldpoint/internal/state/blamer"
	"marigoldpoint.example/marigoldpoint/internal/state/identifier"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// maxObserved bounds the requests that a table remembers from its own observations. It
// corresponds to twenty ends with everything that an entry has in progress at one
// server.
const maxObserved = 1024

// Life returns the hash that identifies an incarnation of a backend server in the
// counts.
func Life(name, incarnation string) uint64 {
	return xxhash.Sum64String(name + "/" + incarnation)
}

// SuspectList provides the suspects of the replicated state, as known to this process;
// *blamer.List implements it.
type SuspectList interface {
	Suspect(id identifier.Identity) (blamer.Suspect, bool)
	SuspectAt(place uint64) bool
	Suspects() int
}

// Table is an entry's knowledge of the requests under which backend servers ended. It
// is safe for concurrent use.
type Table struct {
	settings Settings

	mu sync.Mutex
	// observed holds what this entry has observed itself, and places the number of
	// observed requests by Place; guarded by mu.
	observed map[identifier.Identity]observed
	places   map[uint64]int
	// observedCount is the size of observed.
	observedCount atomic.Int64
}

// observed is what an entry has observed of a request itself.
type observed struct {
	spec storer.SuspectSpec
	// last is the time of the last end.
	last time.Time
	// replicated reports that the replicated state has since included the request.
	replicated bool
}

// NewTable returns an empty table.
func NewTable(s Settings) *Table {
	return &Table{settings: s.withDefaults(), observed: make(map[identifier.Identity]observed), places: make(map[uint64]int)}
}

// add and remove keep places consistent with observed. The caller holds mu.
func (t *Table) add(id identifier.Identity, o observed) {
	t.remove(id)
	t.observed[id] = o
	t.places[o.spec.Place]++
	t.observedCount.Store(int64(len(t.observed)))
}

// remove deletes a request from observed. The caller holds mu.
func (t *Table) remove(id identifier.Identity) {
	o, ok := t.observed[id]
	if !ok {
		return
	}
	delete(t.observed, id)
	t.observedCount.Store(int64(len(t.observed)))
	if t.places[o.spec.Place]--; t.places[o.spec.Place] == 0 {
		delete(t.places, o.spec.Place)
	}
}

// Ended records the end of a backend server that the entry has observed.
func (t *Table) Ended(now time.Time, c storer.CountEnds) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, o := range t.observed {
		if now.Sub(o.last) > t.settings.Memory {
			t.remove(id)
		}
	}
	for _, request := range c.Requests {
		id, err := identifier.ParseIdentity(request.Name)
		o, known := t.observed[id]
		if err != nil || !known && len(t.observed) >= maxObserved {
			continue
		}
		o.spec.Service, o.spec.Place, o.last = c.Service, request.Place, now
		o.spec = o.spec.Ended(storer.IncarnationEnd{Life: c.Life, Progressed: request.Progressed})
		t.add(id, o)
	}
}

// Sync updates the table from the replicated state. Requests that were removed there,
// because they were answered or an operator lifted the quarantine, are removed here,
// too.
func (t *Table) Sync(k SuspectList) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, o := range t.observed {
		_, known := k.Suspect(id)
		switch {
		case known:
			o.replicated = true
			t.observed[id] = o
		case o.replicated:
			t.remove(id)
		}
	}
}

// HasSuspects reports whether there are any suspects.
func (t *Table) HasSuspects(k SuspectList) bool {
	return k.Suspects() > 0 || t.observedCount.Load() > 0
}

// SuspectAt reports whether a request with the given place may be a suspect. It is
// cheap; if it returns false, the request's identity need not be computed.
func (t *Table) SuspectAt(k SuspectList, place uint64) bool {
	if k.SuspectAt(place) {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.places[place] > 0
}

// Quarantine reports whether a request is quarantined and must not be sent to any
// backend server, and returns the duration of the quarantine.
func (t *Table) Quarantine(k SuspectList, now time.Time, id identifier.Identity) (time.Duration, bool) {
	suspect, _ := k.Suspect(id)
	spec := suspect.Spec
	t.mu.Lock()
	defer t.mu.Unlock()
	if o, ok := t.observed[id]; ok && now.Sub(o.last) <= t.settings.Memory {
		for _, l := range o.spec.Lives {
			spec = spec.Ended(l)
		}
	}
	return t.settings.QuarantineTime(spec.Times), spec.Quarantined
}

// RecordAnswer records that a request was answered, and reports whether the replicated
// state must be updated.
func (t *Table) RecordAnswer(k SuspectList, id identifier.Identity) bool {
	_, known := k.Suspect(id)
	t.mu.Lock()
	defer t.mu.Unlock()
	_, seen := t.observed[id]
	t.remove(id)
	return seen || known
}
