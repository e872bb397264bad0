package replicator

import "sync"

// proposalWaiter is a caller that waits for the entry of its proposal.
type proposalWaiter struct {
	term uint64
	done chan outcome
}

// appliedWaiter is a caller that waits for an entry to be applied.
type appliedWaiter struct {
	index uint64
	done  chan struct{}
}

// pendingCalls holds the callers that wait for proposals and reads. The loop, the applier and the
// callers share it.
type pendingCalls struct {
	lock sync.Mutex
	// proposals are the proposals of this leader that are not yet applied, by index. Guarded by
	// lock.
	proposals map[uint64]proposalWaiter
	// readers wait for entries to be applied. Guarded by lock.
	readers []appliedWaiter
	// applied is the index of the last applied entry; it never decreases. Guarded by lock.
	applied uint64
}

func newPendingCalls() *pendingCalls {
	return &pendingCalls{proposals: make(map[uint64]proposalWaiter)}
}

// add registers a proposal. It must be called before the entry can be applied.
func (p *pendingCalls) add(index uint64, w proposalWaiter) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.proposals[index] = w
}

// complete reports the result of entry e to its proposer. If another entry was committed at the
// proposal's index, the proposal is lost.
func (p *pendingCalls) complete(e Entry, result any) {
	p.lock.Lock()
	defer p.lock.Unlock()
	w, ok := p.proposals[e.Index]
	if !ok {
		return
	}
	delete(p.proposals, e.Index)
	if w.term != e.Term {
		w.done <- outcome{err: ErrNotLeader{}}
		return
	}
	w.done <- outcome{index: e.Index, result: result}
}

// advanceApplied records that all entries up to index are applied, and releases their readers.
func (p *pendingCalls) advanceApplied(index uint64) {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.applied = max(p.applied, index)
	waiting := p.readers[:0]
	for _, r := range p.readers {
		if r.index <= p.applied {
			close(r.done)
		} else {
			waiting = append(waiting, r)
		}
	}
	p.readers = waiting
}

// whenApplied returns a channel that is closed once the entry at index is applied.
func (p *pendingCalls) whenApplied(index uint64) <-chan struct{} {
	p.lock.Lock()
	defer p.lock.Unlock()
	done := make(chan struct{})
	if index <= p.applied {
		close(done)
		return done
	}
	p.readers = append(p.readers, appliedWaiter{index: index, done: done})
	return done
}

// failAfter fails all proposals after index commit with ErrOutcomeUnknown. Their entries stay in
// the log and may be committed by another leader. Entries up to commit are still applied here, and
// their proposers get the result.
func (p *pendingCalls) failAfter(commit uint64, reason string) {
	p.lock.Lock()
	defer p.lock.Unlock()
	for i, w := range p.proposals {
		if i <= commit {
			continue
		}
		delete(p.proposals, i)
		w.done <- outcome{err: ErrOutcomeUnknown{Reason: reason}}
	}
}
