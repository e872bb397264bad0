package placer

import (
	"slices"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

//go:generate stringer -type=Exclusion -trimprefix=Exclusion

// Exclusion is the reason for which a backend server is no candidate for a call.
type Exclusion int

// The possible exclusions.
const (
	ExclusionNone Exclusion = iota
	// ExclusionLeaving means that the backend server leaves: by its membership, or by what it
	// has said to this entry.
	ExclusionLeaving
	// ExclusionAvoided means that the call avoids it, since it was tried before.
	ExclusionAvoided
	// ExclusionSoftware means that it lacks the required software version.
	ExclusionSoftware
	// ExclusionLimited means that it limits requests and has no turn for the call in time.
	ExclusionLimited
	// ExclusionResting means that it has asked this entry for a rest.
	ExclusionResting
	// ExclusionBusy means that it has no free place for a call of this entry.
	ExclusionBusy
	// ExclusionSuspect means that it is suspect, and that others are not.
	ExclusionSuspect
)

// MarshalText returns the name of the exclusion.
func (e Exclusion) MarshalText() ([]byte, error) { return []byte(e.String()), nil }

// exclusion returns the reason for which a backend server must not get the call, suspicion
// apart. The caller holds o.mu.
func (o *pool) exclusion(now time.Time, c *Call, b *backend, s *Settings) Exclusion {
	switch {
	case b.member.Spec.State != storer.MemberStateServing || o.leaves(b):
		return ExclusionLeaving
	case slices.Contains(c.Avoid, b.member.Name):
		return ExclusionAvoided
	case !b.hasSoftware(c):
		return ExclusionSoftware
	case !o.hasTurn(now, c, b, s):
		return ExclusionLimited
	case o.rests(now, b):
		return ExclusionResting
	case o.engine == nil && !b.accepts(now, c):
		return ExclusionBusy
	}
	return ExclusionNone
}
