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

// maxOwn bounds what a table remembers by itself: twenty ends with all that an entry has in
// progress at one server.
const maxOwn = 1024

// Life returns the hash by which a life of a backend server is counted.
func Life(name, incarnation string) uint64 {
	return xxhash.Sum64String(name + "/" + incarnation)
}

// SuspectList is what the replicated state knows, as far as this process has been told; a
// *blamer.List.
type SuspectList interface {
	Suspect(id identifier.Identity) (blamer.Suspect, bool)
	SuspectAt(place uint64) bool
	Suspects() int
}

// Table is what an entry knows of requests under which backend servers ended. Several
// goroutines may use it.
type Table struct {
	settings Settings

	mu sync.Mutex
	// own holds what this entry has seen by itself, and places counts it by Place; guarded
	// by mu.
	own    map[identifier.Identity]own
	places map[uint64]int
	// seen is the size of own.
	seen atomic.Int64
}

// own is what an entry has seen of a request by itself.
type own struct {
	spec storer.SuspectSpec
	// last is when the last life ended.
	last time.Time
	// told means that the replicated state has known of the request since.
	told bool
}

// NewTable returns an empty table.
func NewTable(s Settings) *Table {
	return &Table{settings: s.withDefaults(), own: make(map[identifier.Identity]own), places: make(map[uint64]int)}
}

// put and drop keep places in step with own. The caller holds mu.
func (t *Table) put(id identifier.Identity, o own) {
	t.drop(id)
	t.own[id] = o
	t.places[o.spec.Place]++
	t.seen.Store(int64(len(t.own)))
}

// drop has no lock of its own. The caller holds mu.
func (t *Table) drop(id identifier.Identity) {
	o, ok := t.own[id]
	if !ok {
		return
	}
	delete(t.own, id)
	t.seen.Store(int64(len(t.own)))
	if t.places[o.spec.Place]--; t.places[o.spec.Place] == 0 {
		delete(t.places, o.spec.Place)
	}
}

// Ended notes the end of a life that the entry has seen.
func (t *Table) Ended(now time.Time, c storer.CountEnds) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, o := range t.own {
		if now.Sub(o.last) > t.settings.Memory {
			t.drop(id)
		}
	}
	for _, request := range c.Requests {
		id, err := identifier.ParseIdentity(request.Name)
		o, known := t.own[id]
		if err != nil || !known && len(t.own) >= maxOwn {
			continue
		}
		o.spec.Service, o.spec.Place, o.last = c.Service, request.Place, now
		o.spec = o.spec.Ended(storer.IncarnationEnd{Life: c.Life, Progressed: request.Progressed})
		t.put(id, o)
	}
}

// Sync takes what is known anew. What the replicated state has forgotten, cleared by an
// answer or lifted by an operator, is forgotten here too.
func (t *Table) Sync(k SuspectList) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, o := range t.own {
		_, known := k.Suspect(id)
		switch {
		case known:
			o.told = true
			t.own[id] = o
		case o.told:
			t.drop(id)
		}
	}
}

// HasSuspects reports whether there are suspects at all.
func (t *Table) HasSuspects(k SuspectList) bool { return k.Suspects() > 0 || t.seen.Load() > 0 }

// SuspectAt reports whether a request with the place may be a suspect. It is quick, and the
// identity need not be found where it is false.
func (t *Table) SuspectAt(k SuspectList, place uint64) bool {
	if k.SuspectAt(place) {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.places[place] > 0
}

// Quarantine reports whether no backend server is to get a request, and the time that the
// quarantine takes.
func (t *Table) Quarantine(k SuspectList, now time.Time, id identifier.Identity) (time.Duration, bool) {
	suspect, _ := k.Suspect(id)
	spec := suspect.Spec
	t.mu.Lock()
	defer t.mu.Unlock()
	if o, ok := t.own[id]; ok && now.Sub(o.last) <= t.settings.Memory {
		for _, l := range o.spec.Lives {
			spec = spec.Ended(l)
		}
	}
	return t.settings.QuarantineTime(spec.Times), spec.Quarantined
}

// RecordAnswer notes that a run has answered a request, and reports whether that is news to the
// replicated state.
func (t *Table) RecordAnswer(k SuspectList, id identifier.Identity) bool {
	_, known := k.Suspect(id)
	t.mu.Lock()
	defer t.mu.Unlock()
	_, seen := t.own[id]
	t.drop(id)
	return seen || known
}
