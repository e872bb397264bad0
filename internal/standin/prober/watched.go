package prober

import (
	"sort"
	"sync"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/state/indexer"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// TimedIndex is a node's replica that notes when it moved.
type TimedIndex struct {
	*indexer.Index

	mu sync.Mutex
	// moves hold the revisions reached and when, in order; guarded by mu.
	moves []move
}

type move struct {
	revision uint64
	at       time.Time
}

func (w *TimedIndex) note(revision uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.moves = append(w.moves, move{revision: revision, at: time.Now()})
}

// Apply applies changes and notes the time.
func (w *TimedIndex) Apply(changes []storer.Change, upTo uint64) error {
	if err := w.Index.Apply(changes, upTo); err != nil {
		return err
	}
	w.note(upTo)
	return nil
}

// Reset takes a whole state in and notes the time.
func (w *TimedIndex) Reset(rs []storer.Resource, revision uint64) error {
	if err := w.Index.Reset(rs, revision); err != nil {
		return err
	}
	w.note(revision)
	return nil
}

// ReachedAt returns when the replica first held a revision, and false where it does
// not yet.
func (w *TimedIndex) ReachedAt(revision uint64) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := sort.Search(len(w.moves), func(i int) bool { return w.moves[i].revision >= revision })
	if i == len(w.moves) {
		return time.Time{}, false
	}
	return w.moves[i].at, true
}
