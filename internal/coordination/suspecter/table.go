package suspecter

import (
	"maps"
	"slices"
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
	// synced is the latest revision of Sync; guarded by mu.
	synced uint64
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
	// reported holds, by Life, the revisions by which the replicated state reflects the ends
	// that were reported. The map is never modified.
	reported map[uint64]uint64
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

// Reported records that control has processed a report, whether or not it counted the end,
// and that the replicated state reflects it from the given revision on. A revision of 0 means
// unknown and is ignored: control hosts of an earlier version don't tell it for an end that
// they didn't count.
func (t *Table) Reported(c storer.CountEnds, revision uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, request := range c.Requests {
		id, err := identifier.ParseIdentity(request.Name)
		o, ok := t.observed[id]
		if err != nil || !ok || revision == 0 {
			continue
		}
		reported := map[uint64]uint64{c.Life: revision}
		maps.Copy(reported, o.reported)
		o.reported = reported
		t.replace(id, o)
	}
}

// replace updates the record of a request without the ends that the replicated state reflects,
// and removes it if there are no others. The caller holds mu.
func (t *Table) replace(id identifier.Identity, o observed) {
	o.spec.Lives = slices.DeleteFunc(slices.Clone(o.spec.Lives), func(l storer.IncarnationEnd) bool {
		at, ok := o.reported[l.Life]
		return ok && at <= t.synced
	})
	if len(o.spec.Lives) == 0 {
		t.remove(id)
		return
	}
	t.observed[id] = o
}

// Sync updates the table from the replicated state at the given revision. Ends that it
// reflects are removed here: it may have released the request since and counted a further end,
// which a view that skips revisions doesn't show. Requests that were removed there, because
// they were answered or an operator lifted the quarantine, are removed here, too.
func (t *Table) Sync(k SuspectList, revision uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.synced = revision
	for id, o := range t.observed {
		_, known := k.Suspect(id)
		if o.replicated && !known {
			t.remove(id)
			continue
		}
		o.replicated = known
		t.replace(id, o)
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
