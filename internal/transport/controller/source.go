package controller

import (
	"encoding/json"
	"sync"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// remembered is the number of steps of the history, and of encoded deltas, that
// are kept for the other sessions.
const remembered = 16

// sharedSource reads the store for all sessions, and keeps what they are likely
// to ask for together: sessions that are up to date all ask for the same step of
// the history, and send the same bytes.
type sharedSource struct {
	store *storer.Store

	mu sync.Mutex
	// steps holds the latest answers of Since; guarded by mu.
	steps []step
	// encoded holds the latest deltas to entries as sent; guarded by mu.
	encoded []encodedDelta
	// all is the last answer of All, and allAt its revision; guarded by mu.
	all   []storer.Resource
	allAt uint64
	// pages holds the pages of all as sent to entries, by their first resource;
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

// Revision returns the newest revision held.
func (s *sharedSource) Revision() uint64 { return s.store.Revision() }

// Since returns changes as storer.Store does. An answer may lack changes that
// came just now; the next one has them. The changes are shared.
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
	if len(s.steps) > remembered {
		s.steps = s.steps[1:]
	}
	return changes, upTo, true
}

// All returns the whole state, shared with the other sessions. After a whole
// failure domain restarts, hundreds of nodes ask for it at once; the state of
// some changes ago serves them as well, since the history leads on from it.
func (s *sharedSource) All() ([]storer.Resource, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all != nil {
		if _, _, ok := s.store.Since(s.allAt, 1); ok && s.store.Revision() >= s.allAt && s.store.Revision()-s.allAt < reuseAll {
			return s.all, s.allAt
		}
	}
	s.all, s.allAt = s.store.All()
	s.pages = make(map[*storer.Resource]json.RawMessage)
	return s.all, s.allAt
}

// reuseAll is the number of log positions for which a copy of the whole state
// is given to further sessions.
const reuseAll = 1000

// forgetAll frees the copy of the whole state, once nobody resets.
func (s *sharedSource) forgetAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all, s.pages = nil, nil
}

// encode returns the delta as it is sent to an entry.
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
	if len(s.encoded) > remembered {
		s.encoded = s.encoded[1:]
	}
	return data, nil
}

// encodePage returns a page of the whole state as it is sent to an entry. Pages
// of the shared copy are the same for all entries.
func (s *sharedSource) encodePage(d distributor.Delta) (json.RawMessage, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(d.Resources) == 0 || s.all == nil || s.allAt != d.UpTo {
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
