package controller

import (
	"encoding/json"
	"sync"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// maxCachedDeltas bounds the cached steps of the history, and the cached encoded deltas.
const maxCachedDeltas = 16

// sharedSource reads the store for all sessions and caches the answers: sessions that are
// up to date all request the same step of the history, and send the same bytes. Its
// methods are safe for concurrent use.
type sharedSource struct {
	store *storer.Store

	mu sync.Mutex
	// steps holds the most recent answers of Since; guarded by mu.
	steps []step
	// encoded holds the most recent deltas encoded for entries; guarded by mu.
	encoded []encodedDelta
	// snapshot is the last answer of All, and snapshotRevision its revision; guarded by
	// mu.
	snapshot         []storer.Resource
	snapshotRevision uint64
	// pages holds the pages of snapshot encoded for entries, by their first resource;
	// guarded by mu.
	pages map[*storer.Resource]json.RawMessage
}

type step struct {
	after   uint64
	limit   int
	changes []storer.Change
	upTo    uint64
}

type encodedDelta struct {
	from, upTo uint64
	data       json.RawMessage
}

func newSharedSource(s *storer.Store) *sharedSource { return &sharedSource{store: s} }

// Revision returns the newest revision in the store.
func (s *sharedSource) Revision() uint64 { return s.store.Revision() }

// Since returns changes as storer.Store does. A cached answer may lack the most recent
// changes; the next step contains them. The caller must not modify the changes.
func (s *sharedSource) Since(after uint64, limit int) ([]storer.Change, uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, st := range s.steps {
		if st.after == after && st.limit == limit {
			return st.changes, st.upTo, true
		}
	}
	changes, upTo, ok := s.store.Since(after, limit)
	if !ok || upTo == after {
		return nil, upTo, ok
	}
	s.steps = append(s.steps, step{after: after, limit: limit, changes: changes, upTo: upTo})
	if len(s.steps) > maxCachedDeltas {
		s.steps = s.steps[1:]
	}
	return changes, upTo, true
}

// All returns the whole state, shared with the other sessions. After a failure domain
// restarts, hundreds of nodes request it at once. A slightly older snapshot is
// sufficient, since the history continues from it.
func (s *sharedSource) All() ([]storer.Resource, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.snapshot != nil {
		if _, _, ok := s.store.Since(s.snapshotRevision, 1); ok && s.store.Revision() >= s.snapshotRevision && s.store.Revision()-s.snapshotRevision < maxSnapshotLag {
			return s.snapshot, s.snapshotRevision
		}
	}
	s.snapshot, s.snapshotRevision = s.store.All()
	s.pages = make(map[*storer.Resource]json.RawMessage)
	return s.snapshot, s.snapshotRevision
}

// maxSnapshotLag is the number of log positions for which a snapshot of the whole state
// is reused.
const maxSnapshotLag = 1000

// dropSnapshot frees the snapshot of the whole state. It is called when no node needs it.
func (s *sharedSource) dropSnapshot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot, s.pages = nil, nil
}

// encode returns the delta as sent to an entry.
func (s *sharedSource) encode(d distributor.Delta) (json.RawMessage, error) {
	if d.Reset {
		return s.encodePage(d)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.encoded {
		if e.from == d.From && e.upTo == d.UpTo {
			return e.data, nil
		}
	}
	data, err := encodeDelta(d)
	if err != nil {
		return nil, err
	}
	s.encoded = append(s.encoded, encodedDelta{from: d.From, upTo: d.UpTo, data: data})
	if len(s.encoded) > maxCachedDeltas {
		s.encoded = s.encoded[1:]
	}
	return data, nil
}

// encodePage returns a page of the whole state as sent to an entry. The pages of the
// shared snapshot are the same for all entries.
func (s *sharedSource) encodePage(d distributor.Delta) (json.RawMessage, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(d.Resources) == 0 || s.snapshot == nil || s.snapshotRevision != d.UpTo {
		return encodeDelta(d)
	}
	first := &d.Resources[0]
	if data, ok := s.pages[first]; ok {
		return data, nil
	}
	data, err := encodeDelta(d)
	if err != nil {
		return nil, err
	}
	s.pages[first] = data
	return data, nil
}

func encodeDelta(d distributor.Delta) (json.RawMessage, error) {
	packed, err := distributor.Pack(d)
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(packed)
	return data, errors.Annotate(err, "encode delta")
}
