package replicator

import "sync"

// waiter waits for the entry of a proposal.
type waiter struct {
	term uint64
	done chan outcome
}

// appliedWaiter waits until an entry is applied.
type appliedWaiter struct {
	index uint64
	done  chan struct{}
}

// ledger connects the loop, the applier and the callers.
type ledger struct {
	lock sync.Mutex
	// proposals are those in the log of this leader and not yet applied, by
	// index. Guarded by lock.
	proposals map[uint64]waiter
	// readers wait for entries to be applied. Guarded by lock.
	readers []appliedWaiter
	// applied is the last entry applied; it never falls. Guarded by lock.
	applied uint64
}

func newLedger() *ledger { return &ledger{proposals: make(map[uint64]waiter)} }

// add registers a proposal before its entry can be applied.
func (l *ledger) add(index uint64, w waiter) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.proposals[index] = w
}

// applyDone notes that entry e is applied, and tells its proposer. A proposal
// in whose place another entry was committed is certainly lost.
func (l *ledger) applyDone(e Entry, result any) {
	l.lock.Lock()
	defer l.lock.Unlock()
	w, ok := l.proposals[e.Index]
	if !ok {
		return
	}
	delete(l.proposals, e.Index)
	if w.term != e.Term {
		w.done <- outcome{err: ErrNotLeader{}}
		return
	}
	w.done <- outcome{index: e.Index, result: result}
}

// reached notes that all entries up to index are applied.
func (l *ledger) reached(index uint64) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.applied = max(l.applied, index)
	waiting := l.readers[:0]
	for _, r := range l.readers {
		if r.index <= l.applied {
			close(r.done)
		} else {
			waiting = append(waiting, r)
		}
	}
	l.readers = waiting
}

// when returns a channel that is closed once entry index is applied.
func (l *ledger) when(index uint64) <-chan struct{} {
	l.lock.Lock()
	defer l.lock.Unlock()
	done := make(chan struct{})
	if index <= l.applied {
		close(done)
		return done
	}
	l.readers = append(l.readers, appliedWaiter{index: index, done: done})
	return done
}

// failAfter tells the proposers of all entries after index commit that the
// outcome can't be known here. Their entries stay in the log and may be
// committed by another leader; the others will be applied here.
func (l *ledger) failAfter(commit uint64, reason string) {
	l.lock.Lock()
	defer l.lock.Unlock()
	for i, w := range l.proposals {
		if i <= commit {
			continue
		}
		delete(l.proposals, i)
		w.done <- outcome{err: ErrOutcomeUnknown{Reason: reason}}
	}
}
