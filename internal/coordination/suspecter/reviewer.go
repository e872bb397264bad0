package suspecter

import (
	"cmp"
	"slices"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// Reviewer determines for the leader of the control group when the time of a suspect is
// over. It uses only the leader's monotonic clock, because a step of the wall clock
// could end quarantines early. Times restart with a new leader, so a quarantine may
// last longer, but never shorter. A Reviewer is not safe for concurrent use.
type Reviewer struct {
	settings Settings
	suspects map[string]reviewTime
}

// reviewTime is the time at which the last change of a suspect expires.
type reviewTime struct {
	revision uint64
	until    time.Time
}

// NewReviewer returns a reviewer without suspects.
func NewReviewer(s Settings) *Reviewer {
	return &Reviewer{settings: s.withDefaults(), suspects: make(map[string]reviewTime)}
}

// Observe records a change of a suspect.
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
	r.suspects[of.Metadata.Name] = reviewTime{revision: of.Metadata.Revision, until: now.Add(d)}
}

// Due returns the suspects whose time is over, sorted by name. A suspect is returned
// again until a change of it is observed.
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
