package streamer

import (
	"slices"
	"time"
)

// Reclaim frees bytes until no more than target are held. First go answers that
// nobody will take: they have ended, and no entry came back within the limit.
// Then go bytes which are only kept for entries to come, of calls that may run
// only once. Of each kind the oldest ended go first. Endings stay.
//
// Bytes that an entry still reads, or may come back for, are never freed.
func (b *Buffer) Reclaim(now time.Time, limit time.Duration, target int64) {
	if b.room.used.Load() <= target {
		return
	}
	all := b.answers()
	slices.SortFunc(all, func(x, y *Answer) int { return x.ended().Compare(y.ended()) })
	for _, kept := range []bool{false, true} {
		for _, a := range all {
			if b.room.used.Load() <= target {
				return
			}
			if a.keep == kept {
				a.reclaim(now, limit)
			}
		}
	}
}

// answers returns all answers, without a lock on any.
func (b *Buffer) answers() []*Answer {
	var all []*Answer
	for i := range b.shards {
		s := &b.shards[i]
		s.mu.Lock()
		for _, answers := range s.requests {
			all = append(all, answers...)
		}
		s.mu.Unlock()
	}
	return all
}

// reclaim frees what nobody is known to need.
func (a *Answer) reclaim(now time.Time, limit time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.end != nil && !a.awaitedLocked(now, limit) {
		a.discard()
		return
	}
	if a.drop() > 0 {
		a.wake()
	}
}

func (a *Answer) ended() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.endedAt
}
