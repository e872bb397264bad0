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

// Source is the replicated state as a feed reads it. storer.Store is one.
type Source interface {
	// Revision returns the newest revision held.
	Revision() uint64
	// Since returns changes after a revision in order, at most limit, and the
	// revision up to which they are complete. It returns false where the history
	// no longer reaches back.
	Since(after uint64, limit int) (changes []storer.Change, upTo uint64, ok bool)
	// All returns the whole state and its revision. Feeds of several
	// subscribers may share the slice.
	All() ([]storer.Resource, uint64)
}

// FeedSettings are the options of a Feed.
type FeedSettings struct {
	Scope Scope
	// Backend is the name of a companion's own backend server.
	Backend string
	// After is the revision that the subscriber holds.
	After uint64
	// Window is the number of deltas under way without acknowledgement;
	// DefaultWindow by default.
	Window int
	// BatchLimit is the number of changes or resources in one delta;
	// DefaultBatchLimit by default.
	BatchLimit int
}

// Feed is a control host's cursor for one subscriber.
type Feed struct {
	settings FeedSettings
	// cursor is the revision up to which everything has been given out. It
	// never falls below what the subscriber holds.
	cursor uint64
	// told is the revision that the subscriber holds once it has taken all that
	// was given out. It is behind cursor after changes that the subscriber does
	// not need. A delta that named cursor as its beginning would look like a gap
	// to a companion, which would leave its control host at every change of a
	// workspace that follows one of an adapter.
	subscriberRevision uint64
	// sent and taken count the deltas given out and acknowledged.
	sentBatches, acknowledgedBatches uint64
	// acknowledged is the revision that the subscriber holds for certain.
	acknowledged uint64

	// reset is what is left of the whole state under way; nil where none is.
	remaining []storer.Resource
	// resetTo is the revision of that state.
	resetTo uint64
}

// NewFeed returns the feed of a new subscription.
func NewFeed(s FeedSettings) *Feed {
	s.Window = cmp.Or(s.Window, DefaultWindow)
	s.BatchLimit = cmp.Or(s.BatchLimit, DefaultBatchLimit)
	return &Feed{settings: s, cursor: s.After, subscriberRevision: s.After, acknowledged: s.After}
}

// Next returns the next delta to send, and false where there is none now:
// nothing is new, the window is full, or the host is behind its subscriber.
//
// A node that failed over to a host that is behind would go back to rules that
// the operators replaced, if the host sent what it holds. So nothing is given
// out until the host's revision has passed the subscriber's.
func (f *Feed) Next(src Source) (Delta, bool) {
	if f.Full() {
		return Delta{}, false
	}
	if f.remaining != nil {
		return f.nextPage(), true
	}
	if f.cursor == 0 && src.Revision() > 0 {
		// A node with nothing takes the state and not its history, which can be
		// many times as long.
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
			// The subscriber needs nothing of this: it holds the revision
			// without hearing of it.
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

// startReset begins to give out the whole state.
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

// page gives out the next page of the whole state. A node applies the pages
// together: half a state is no state.
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

// Acknowledge takes a subscriber's acknowledgement in. An older one that
// arrives late changes nothing.
func (f *Feed) Acknowledge(a AcknowledgeRevision) {
	f.acknowledgedBatches = max(f.acknowledgedBatches, min(a.Batches, f.sentBatches))
	f.acknowledged = max(f.acknowledged, min(a.Revision, f.cursor))
	f.settleAcknowledged()
}

// settle notes that a subscriber with nothing under way holds all up to the
// cursor.
func (f *Feed) settleAcknowledged() {
	if f.sentBatches == f.acknowledgedBatches && f.remaining == nil && f.settings.Scope != ScopeEntry {
		f.acknowledged = f.cursor
	}
}

// Acknowledged returns the revision that the subscriber holds for certain.
func (f *Feed) Acknowledged() uint64 { return f.acknowledged }

// Full reports whether Next gives out nothing until an acknowledgement comes.
func (f *Feed) Full() bool { return f.sentBatches-f.acknowledgedBatches >= uint64(f.settings.Window) }

// Unacknowledged returns the number of deltas under way.
func (f *Feed) Unacknowledged() int { return int(f.sentBatches - f.acknowledgedBatches) }
