package suspecter

import (
	"cmp"
	"slices"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// Reviewer tells a leader of the control group when the time of a suspect is over. It goes
// by the leader's steady clock alone: a time of day that was stepped would end quarantines
// early. A new leader's times begin anew, so that a quarantine may last longer, never
// shorter. It is not safe for concurrent use.
type Reviewer struct {
	settings Settings
	suspects map[string]reviewed
}

// reviewed is a suspect as it was last changed.
type reviewed struct {
	revision uint64
	until    time.Time
}

// NewReviewer returns a reviewer that knows no suspects.
func NewReviewer(s Settings) *Reviewer {
	return &Reviewer{settings: s.withDefaults(), suspects: make(map[string]reviewed)}
}

// Observe takes a suspect's change in.
func (r *Reviewer) Observe(now time.Time, of storer.Resource, deleted bool) {
	spec, ok := of.Spec.(storer.SuspectSpec)
	if !ok || deleted {
		delete(r.suspects, of.Metadata.Name)
		return
	}
	d := r.settings.Memory
	if spec.Quarantined {
		d = r.settings.QuarantineTime(spec.Times)
	}
	r.suspects[of.Metadata.Name] = reviewed{revision: of.Metadata.Revision, until: now.Add(d)}
}

// Due returns the suspects whose time is over, sorted by name. They are returned again
// until a change of theirs is observed.
func (r *Reviewer) Due(now time.Time) []storer.SuspectRevision {
	var due []storer.SuspectRevision
	for name, s := range r.suspects {
		if !now.Before(s.until) {
			due = append(due, storer.SuspectRevision{Name: name, Revision: s.revision})
		}
	}
	slices.SortFunc(due, func(a, b storer.SuspectRevision) int { return cmp.Compare(a.Name, b.Name) })
	return due
}
