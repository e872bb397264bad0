package storer

import (
	"bytes"

	"github.com/juju/errors"
)

// claimCall reserves the single execution of a call for its holder.
func (s *Store) claimCall(index uint64, c ClaimCall) Result {
	if err := validateClaim(c.Workspace, c.Key, c.Holder); err != nil {
		return invalid(err)
	}
	h := s.shard(c.Workspace)
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.space(c.Workspace)
	defer h.removeIfEmpty(c.Workspace)
	old, exists := p.claims[c.Key]
	switch {
	case exists && !bytes.Equal(old.Digest, c.Digest):
		return claimResult(VerdictKeyReused, "the key belongs to another call", old)
	case exists && old.State != ClaimStateReleased && old.Holder != c.Holder:
		return claimResult(VerdictHeld, "another holder has the claim", old)
	case exists && old.Holder == c.Holder && old.State == ClaimStateClaimed:
		return claimResult(VerdictAccepted, "", old)
	case exists && old.State == ClaimStateReleased && old.Holder == c.Holder:
		// A delayed or duplicate proposal arrived after its holder had released the
		// claim. The holder no longer exists: if it acquired the claim again, nobody
		// would settle it, and the key would be blocked until the claim expires.
		return claimResult(VerdictHeld, "the holder has given the claim back", old)
	case exists && old.State != ClaimStateReleased:
		// The holder claims again after the call has ended: it must not run the call
		// a second time.
		return claimResult(VerdictHeld, "the call has ended", old)
	case !exists && s.claims.count >= s.retention.MaxRecords:
		return Result{Verdict: VerdictFull, Reason: "too many claims"}
	}
	return claimResult(VerdictAccepted, "", s.writeClaim(p, Claim{
		Workspace: c.Workspace,
		Key:       c.Key,
		Digest:    c.Digest,
		Holder:    c.Holder,
		State:     ClaimStateClaimed,
		Index:     index,
		Time:      s.now,
	}))
}

// settleClaim records the outcome of a claimed call.
func (s *Store) settleClaim(index uint64, c SettleClaim) Result {
	if c.State <= ClaimStateClaimed || c.State > ClaimStateUnknown {
		return invalid(errors.Errorf("a claim does not end as %d", int(c.State)))
	}
	h := s.shard(c.Workspace)
	h.mu.Lock()
	defer h.mu.Unlock()
	p, ok := h.spaces[c.Workspace]
	if !ok {
		return Result{Verdict: VerdictNotFound, Reason: "no such claim"}
	}
	old, ok := p.claims[c.Key]
	switch {
	case !ok:
		return Result{Verdict: VerdictNotFound, Reason: "no such claim"}
	case old.Holder != c.Holder:
		return claimResult(VerdictHeld, "another holder has the claim", old)
	case old.State == c.State:
		return claimResult(VerdictAccepted, "", old)
	case !old.State.canBecome(c.State):
		return claimResult(VerdictConflict, "the call has ended otherwise", old)
	}
	old.State, old.Backend, old.Request = c.State, c.Backend, c.Request
	old.Index, old.Time = index, s.now
	return claimResult(VerdictAccepted, "", s.writeClaim(p, old))
}

// canBecome reports whether a claim may change from the state c to next. Unknown may
// become done, if the answer arrives later, but never released, because the call may
// have started.
func (c ClaimState) canBecome(next ClaimState) bool {
	switch c {
	case ClaimStateClaimed:
		return true
	case ClaimStateUnknown:
		return next == ClaimStateDone
	default:
		return false
	}
}

// writeClaim stores and returns c. The caller holds the lock of p's shard.
func (s *Store) writeClaim(p *space, c Claim) Claim {
	if _, ok := p.claims[c.Key]; !ok {
		s.claims.count++
	}
	p.claims[c.Key] = c
	s.claims.push(expiryEntry{workspace: c.Workspace, key: c.Key, index: c.Index, time: c.Time})
	return c
}

func validateClaim(workspace, key, holder string) error {
	if err := validateName(workspace); err != nil {
		return errors.Annotate(err, "workspace")
	}
	if key == "" || len(key) > MaxIdempotencyKey {
		return errors.Errorf("key of %d bytes; 1 to %d are allowed", len(key), MaxIdempotencyKey)
	}
	if holder == "" || len(holder) > MaxIdempotencyKey {
		return errors.Errorf("holder of %d bytes; 1 to %d are allowed", len(holder), MaxIdempotencyKey)
	}
	return nil
}

func claimResult(v Verdict, reason string, c Claim) Result {
	return Result{Verdict: v, Reason: reason, Claim: &c}
}
