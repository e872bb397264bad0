package streamer

import (
	"slices"
	"time"
)

// Reclaim frees bytes until at most target bytes are held. Answers that nobody will
// fetch are freed first: they have ended, and no entry returned within the limit. Bytes
// that are only retained for later requests, of calls that may run only once, follow.
// Within each group the answers that ended first are freed first. Ends are kept.
//
// Bytes that an entry still reads, or may return for, are never freed.
func (b *Buffer) Reclaim(now time.Time, limit time.Duration, target int64) {
	if b.room.used.Load() <= target {
		return
	}
	all := b.answers()
	slices.SortFunc(all, func(x, y *Answer) int { return x.endTime().Compare(y.endTime()) })
	for _, kept := range []bool{false, true} {
		for _, a := range all {
			if b.room.used.Load() <= target {
				return
			}
			if a.retain == kept {
				a.reclaim(now, limit)
			}
		}
	}
}

// answers returns all answers. It locks the shards one by one, but no answer.
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

// reclaim frees the bytes that nobody is known to need.
func (a *Answer) reclaim(now time.Time, limit time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.end != nil && !a.fetchableLocked(now, limit) {
		a.discard()
		return
	}
	if a.dropAcknowledged() > 0 {
		a.wake()
	}
}

func (a *Answer) endTime() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.endedAt
}
