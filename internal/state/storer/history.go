package storer

import (
	"context"
	"slices"
	"sort"
	"sync"

	"github.com/juju/errors"
)

// history keeps the latest changes for watchers.
type history struct {
	mu sync.RWMutex
	// changes are sorted by revision; guarded by mu.
	changes []Change
	// floor is the highest revision of which changes were dropped; guarded by mu.
	// A watcher at a lower revision must read the whole state.
	floor uint64
	// changed is closed and replaced at each new revision; guarded by mu.
	changed chan struct{}
}

// init initializes h without its lock, as h is not shared yet.
func (h *history) init() { h.changed = make(chan struct{}) }

// append adds the changes of one revision and drops the oldest changes beyond limit.
func (h *history) append(limit int, changes []Change) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changes = append(h.changes, changes...)
	h.dropOldest(limit)
}

func (h *history) trim(limit int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropOldest(limit)
}

// dropOldest drops the oldest changes until at most limit are left. Remaining
// changes of the revision at the floor are not returned to watchers any more. The
// caller holds mu.
func (h *history) dropOldest(limit int) {
	n := len(h.changes) - limit
	if n <= 0 {
		return
	}
	h.floor = h.changes[n-1].Revision
	clear(h.changes[:n])
	h.changes = h.changes[n:]
}

// notify wakes the goroutines that wait for a new revision.
func (h *history) notify() {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.changed)
	h.changed = make(chan struct{})
}

// replace sets the changes and the floor to those of a restored state.
func (h *history) replace(changes []Change, floor uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changes, h.floor = changes, floor
}

func (h *history) content() (changes []Change, floor uint64) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return slices.Clone(h.changes), h.floor
}

func (h *history) changedChannel() <-chan struct{} {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.changed
}

// since implements Store.Since. It returns copies of the changes.
func (h *history) since(after uint64, limit int) (changes []Change, upTo uint64, ok bool) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if after < h.floor {
		return nil, 0, false
	}
	from := sort.Search(len(h.changes), func(i int) bool { return h.changes[i].Revision > after })
	to := len(h.changes)
	if limit > 0 && to-from > limit {
		to = from + limit
		for to < len(h.changes) && h.changes[to].Revision == h.changes[to-1].Revision {
			to++
		}
	}
	if from == to {
		return nil, after, true
	}
	return slices.Clone(h.changes[from:to]), h.changes[to-1].Revision, true
}

// Since returns the changes after a revision in order. It returns at most limit
// changes (0 means all), except that the changes of one revision are never split.
// upTo is the revision of a reader after it has applied them. ok is false if the
// history no longer contains all changes after the revision; the reader must then
// read the whole state with All.
func (s *Store) Since(after uint64, limit int) (changes []Change, upTo uint64, ok bool) {
	return s.history.since(after, limit)
}

// Wait blocks until the store's revision is higher than after. It returns the
// context's error if ctx ends first.
func (s *Store) Wait(ctx context.Context, after uint64) error {
	for {
		changed := s.history.changedChannel()
		if s.Revision() > after {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		}
	}
}
