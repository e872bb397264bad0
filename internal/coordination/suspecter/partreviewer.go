package suspecter

import (
	"cmp"
	"slices"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// DefaultConfirm is how long a part must be a culprit before it is blocked, or explained by
// others before it is released: the time in which the entries report the requests that were
// answered, which clear the parts that are common.
const DefaultConfirm = 300 * time.Millisecond

// PartReviewer decides for the leader of the control group which parts of prompts are blocked.
// It uses only the leader's monotonic clock; its times restart with a new leader, and its
// evidence is in the replicated state. It is not safe for concurrent use.
type PartReviewer struct {
	settings Settings
	parts    map[uint64]reviewedPart
	// specs are the specs of parts, and changed means that they have changed since culprits
	// was computed.
	specs    map[uint64]storer.PartSpec
	changed  bool
	culprits map[uint64]Culprit
}

// reviewedPart is a part with the times that the leader measures.
type reviewedPart struct {
	revision uint64
	// observed is when the part last changed.
	observed time.Time
	// decided is when a decision that differs from the part's state was first made; zero means
	// that there is none.
	decided time.Time
}

// PartVerdict is a decision on a part, with its evidence.
type PartVerdict struct {
	storer.PartReview
	Culprit
}

// NewPartReviewer returns a reviewer without parts.
func NewPartReviewer(s Settings) *PartReviewer {
	return &PartReviewer{settings: s.withDefaults(), parts: make(map[uint64]reviewedPart), specs: make(map[uint64]storer.PartSpec)}
}

// Observe records a change of a part. It ignores resources of other kinds.
func (r *PartReviewer) Observe(now time.Time, of storer.Resource, deleted bool) {
	spec, ok := of.Spec.(storer.PartSpec)
	id, err := storer.ParsePartName(of.Metadata.Name)
	if !ok || err != nil {
		return
	}
	r.changed = true
	if deleted {
		delete(r.parts, id)
		delete(r.specs, id)
		return
	}
	decided := r.parts[id].decided
	if spec.Blocked != r.specs[id].Blocked {
		decided = time.Time{}
	}
	r.specs[id] = spec
	r.parts[id] = reviewedPart{revision: of.Metadata.Revision, observed: now, decided: decided}
}

// Due returns the decisions that are due, sorted by part. A decision is returned again until a
// change of its part is observed.
func (r *PartReviewer) Due(now time.Time) []PartVerdict {
	if r.changed {
		r.changed, r.culprits = false, make(map[uint64]Culprit)
		for _, c := range Culprits(r.specs) {
			r.culprits[c.Part] = c
		}
	}
	var due []PartVerdict
	for id, part := range r.parts {
		action, wait := r.decide(r.specs[id], id)
		if now.Sub(r.pendingSince(now, id, action)) < wait {
			continue
		}
		review := storer.PartReview{Part: id, Action: action}
		if action != storer.PartActionBlock {
			review.Revision = part.revision
		}
		due = append(due, PartVerdict{PartReview: review, Culprit: r.culprits[id]})
	}
	slices.SortFunc(due, func(a, b PartVerdict) int { return cmp.Compare(a.PartReview.Part, b.PartReview.Part) })
	return due
}

// pendingSince returns since when the action on a part waits: for a decision by its evidence, the
// time at which it was first made, since further ends must not postpone it; for any other, the last
// change of the part.
func (r *PartReviewer) pendingSince(now time.Time, id uint64, action storer.PartAction) time.Time {
	part := r.parts[id]
	byEvidence := action == storer.PartActionBlock || action == storer.PartActionRelease
	switch {
	case !byEvidence:
		part.decided = time.Time{}
	case part.decided.IsZero():
		part.decided = now
	}
	r.parts[id] = part
	if byEvidence {
		return part.decided
	}
	return part.observed
}

// decide returns the next change of a part, and how long after the last one, or after the
// decision, it is due.
func (r *PartReviewer) decide(spec storer.PartSpec, id uint64) (storer.PartAction, time.Duration) {
	_, culprit := r.culprits[id]
	switch {
	case spec.Operator:
		return storer.PartActionOfferTrial, neverDue
	case !spec.Blocked && culprit:
		return storer.PartActionBlock, r.settings.Confirm
	case !spec.Blocked:
		return storer.PartActionForget, r.settings.Memory
	case !culprit:
		return storer.PartActionRelease, r.settings.Confirm
	case spec.Trial == storer.PartTrialOffered:
		// Nothing has been asked for with the part since its trial was offered.
		return storer.PartActionForget, r.settings.QuarantineTime(spec.Times)
	default:
		return storer.PartActionOfferTrial, r.settings.QuarantineTime(spec.Times)
	}
}

// neverDue exceeds the lifetime of a process.
const neverDue = 1<<63 - 1
