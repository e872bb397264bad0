package prober

import (
	"sort"
	"sync"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/state/indexer"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// TimedIndex is a node's replica that records the time of each new revision. It is safe for
// concurrent use.
type TimedIndex struct {
	*indexer.Index

	mu sync.Mutex
	// reached holds the revisions and the times at which they were reached, in order;
	// guarded by mu.
	reached []revisionTime
}

type revisionTime struct {
	revision uint64
	at       time.Time
}

func (w *TimedIndex) recordRevision(revision uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reached = append(w.reached, revisionTime{revision: revision, at: time.Now()})
}

// Apply applies changes and records the time.
func (w *TimedIndex) Apply(changes []storer.Change, upTo uint64) error {
	if err := w.Index.Apply(changes, upTo); err != nil {
		return err
	}
	w.recordRevision(upTo)
	return nil
}

// Reset replaces the complete state and records the time.
func (w *TimedIndex) Reset(rs []storer.Resource, revision uint64) error {
	if err := w.Index.Reset(rs, revision); err != nil {
		return err
	}
	w.recordRevision(revision)
	return nil
}

// ReachedAt returns the time at which the replica first reached the revision, and false if
// it has not reached it yet.
func (w *TimedIndex) ReachedAt(revision uint64) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := sort.Search(len(w.reached), func(i int) bool { return w.reached[i].revision >= revision })
	if i == len(w.reached) {
		return time.Time{}, false
	}
	return w.reached[i].at, true
}
