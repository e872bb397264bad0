package distributor

import (
	"cmp"

	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// Defaults of FeedSettings.
const (
	DefaultWindow     = 8
	DefaultBatchLimit = 512
)

// Source is the replicated state read by a feed; storer.Store implements it.
type Source interface {
	// Revision returns the newest revision held.
	Revision() uint64
	// Since returns at most limit changes after a revision, in order, and the revision
	// up to which they are complete. It returns false if the history no longer covers
	// the revision.
	Since(after uint64, limit int) (changes []storer.Change, upTo uint64, ok bool)
	// All returns the whole state and its revision. The slice may be shared by the
	// feeds of several subscribers and must not be modified.
	All() ([]storer.Resource, uint64)
}

// FeedSettings are the options of a Feed.
type FeedSettings struct {
	Scope Scope
	// Backend is the name of a companion's own backend server.
	Backend string
	// After is the revision held by the subscriber.
	After uint64
	// Window is the maximum number of unacknowledged deltas; DefaultWindow by default.
	Window int
	// BatchLimit is the maximum number of changes or resources per delta;
	// DefaultBatchLimit by default.
	BatchLimit int
}

// Feed is a control host's cursor for one subscriber.
type Feed struct {
	settings FeedSettings
	// cursor is the revision up to which everything has been emitted. It is never below
	// the revision held by the subscriber.
	cursor uint64
	// subscriberRevision is the revision held by the subscriber once it has applied all
	// emitted deltas. It is behind cursor after changes that the subscriber does not
	// need. If a delta started from cursor, a companion would treat it as a gap and
	// leave its control host whenever a change of a workspace follows one of an
	// adapter.
	subscriberRevision uint64
	// sentBatches and acknowledgedBatches are the numbers of deltas emitted and
	// acknowledged.
	sentBatches, acknowledgedBatches uint64
	// acknowledged is the revision that the subscriber is known to hold.
	acknowledged uint64

	// remaining is the part of the whole state not emitted yet; nil if no reset is in
	// progress.
	remaining []storer.Resource
	// resetTo is the revision of the whole state being emitted.
	resetTo uint64
}

// NewFeed returns the feed for a new subscription.
func NewFeed(s FeedSettings) *Feed {
	s.Window = cmp.Or(s.Window, DefaultWindow)
	s.BatchLimit = cmp.Or(s.BatchLimit, DefaultBatchLimit)
	return &Feed{settings: s, cursor: s.After, subscriberRevision: s.After, acknowledged: s.After}
}

// Next returns the next delta to send. It returns false if there is none: nothing is
// new, the window is full, or the host is behind its subscriber.
//
// Nothing is emitted until the host's revision has passed the subscriber's. Otherwise a
// node that failed over to a host that is behind would return to rules that the
// operators have replaced.
func (f *Feed) Next(src Source) (Delta, bool) {
	if f.Full() {
		return Delta{}, false
	}
	if f.remaining != nil {
		return f.nextPage(), true
	}
	if f.cursor == 0 && src.Revision() > 0 {
		// A node without configuration gets the state instead of the history, which can
		// be many times as long.
		return f.startReset(src)
	}
	for src.Revision() > f.cursor {
		changes, upTo, ok := src.Since(f.cursor, f.settings.BatchLimit)
		if !ok {
			return f.startReset(src)
		}
		if upTo <= f.cursor {
			break
		}
		f.cursor = upTo
		kept := f.inScope(changes)
		if len(kept) == 0 && f.settings.Scope != ScopeEntry {
			// The subscriber needs none of these changes and therefore holds the
			// revision without receiving it.
			f.settleAcknowledged()
			continue
		}
		from := f.subscriberRevision
		f.subscriberRevision = upTo
		f.sentBatches++
		return Delta{Last: true, From: from, UpTo: upTo, Changes: kept}, true
	}
	return Delta{}, false
}

func (f *Feed) inScope(changes []storer.Change) []storer.Change {
	if f.settings.Scope == ScopeEntry {
		return changes
	}
	var kept []storer.Change
	for _, c := range changes {
		if f.settings.Scope.Includes(c.Resource, f.settings.Backend) {
			kept = append(kept, c)
		}
	}
	return kept
}

// startReset starts to emit the whole state.
func (f *Feed) startReset(src Source) (Delta, bool) {
	all, revision := src.All()
	if revision <= f.cursor {
		return Delta{}, false
	}
	f.resetTo = revision
	if f.settings.Scope == ScopeEntry {
		f.remaining = all
	} else {
		f.remaining = nil
		for _, r := range all {
			if f.settings.Scope.Includes(r, f.settings.Backend) {
				f.remaining = append(f.remaining, r)
			}
		}
	}
	return f.nextPage(), true
}

// nextPage emits the next page of the whole state. A node applies all pages together,
// since part of a state is not valid.
func (f *Feed) nextPage() Delta {
	n := min(len(f.remaining), f.settings.BatchLimit)
	d := Delta{Reset: true, UpTo: f.resetTo, Resources: f.remaining[:n:n], Last: n == len(f.remaining)}
	f.remaining = f.remaining[n:]
	if d.Last {
		f.cursor, f.subscriberRevision = f.resetTo, f.resetTo
		f.remaining = nil
	}
	f.sentBatches++
	return d
}

// Acknowledge records a subscriber's acknowledgement. An outdated one has no effect.
func (f *Feed) Acknowledge(a AcknowledgeRevision) {
	f.acknowledgedBatches = max(f.acknowledgedBatches, min(a.Batches, f.sentBatches))
	f.acknowledged = max(f.acknowledged, min(a.Revision, f.cursor))
	f.settleAcknowledged()
}

// settleAcknowledged records that a subscriber without deltas in flight holds
// everything up to the cursor.
func (f *Feed) settleAcknowledged() {
	if f.sentBatches == f.acknowledgedBatches && f.remaining == nil && f.settings.Scope != ScopeEntry {
		f.acknowledged = f.cursor
	}
}

// Acknowledged returns the revision that the subscriber is known to hold.
func (f *Feed) Acknowledged() uint64 { return f.acknowledged }

// Full reports whether the window is full, so that Next emits nothing until the next
// acknowledgement.
func (f *Feed) Full() bool { return f.sentBatches-f.acknowledgedBatches >= uint64(f.settings.Window) }

// Unacknowledged returns the number of deltas in flight.
func (f *Feed) Unacknowledged() int { return int(f.sentBatches - f.acknowledgedBatches) }
