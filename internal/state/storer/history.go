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
	// changes rise by revision; guarded by mu.
	changes []Change
	// floor is the highest revision whose changes were dropped; guarded by mu.
	// A watcher which has seen less must take the whole state.
	floor uint64
	// woken is closed and replaced at each new revision; guarded by mu.
	woken chan struct{}
}

// init has no lock of its own. Nobody else has it yet: it is not shared.
func (h *history) init() { h.woken = make(chan struct{}) }

// append adds the changes of one revision and keeps at most limit changes.
func (h *history) append(limit int, changes []Change) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changes = append(h.changes, changes...)
	h.cut(limit)
}

func (h *history) trim(limit int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cut(limit)
}

// cut drops the oldest changes until limit or fewer are left. What may be left
// of the revision at the floor is given to nobody. The caller holds mu.
func (h *history) cut(limit int) {
	n := len(h.changes) - limit
	if n <= 0 {
		return
	}
	h.floor = h.changes[n-1].Revision
	clear(h.changes[:n])
	h.changes = h.changes[n:]
}

// wake ends the waits for a new revision.
func (h *history) wake() {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.woken)
	h.woken = make(chan struct{})
}

// replace takes over the changes and the floor of a restored state.
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

func (h *history) waker() <-chan struct{} {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.woken
}

// since returns copies of the changes after a revision, whole revisions only.
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

// Since returns the changes after a revision in their order, at most limit of
// them (0 means all), except that the changes of one revision always come
// together. upTo is the revision which a reader holds who applies them. It
// reports !ok when the history no longer reaches back to after; the reader then
// takes All.
func (s *Store) Since(after uint64, limit int) (changes []Change, upTo uint64, ok bool) {
	return s.history.since(after, limit)
}

// Wait returns when the store's revision is above after, or with the context's
// error.
func (s *Store) Wait(ctx context.Context, after uint64) error {
	for {
		woken := s.history.waker()
		if s.Revision() > after {
			return nil
		}
		select {
		case <-woken:
		case <-ctx.Done():
			return errors.Trace(ctx.Err())
		}
	}
}
