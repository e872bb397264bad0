package storer

import (
	"bytes"

	"github.com/juju/errors"
)

// claimCall reserves the one run of a call.
func (s *Store) claimCall(index uint64, c ClaimCall) Result {
	if err := validateClaim(c.Workspace, c.Key, c.Holder); err != nil {
		return invalid(err)
	}
	h := s.shard(c.Workspace)
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.space(c.Workspace)
	defer h.sweep(c.Workspace)
	old, exists := p.claims[c.Key]
	switch {
	case exists && !bytes.Equal(old.Digest, c.Digest):
		return claimResult(VerdictKeyReused, "the key belongs to another call", old)
	case exists && old.State != ClaimStateReleased && old.Holder != c.Holder:
		return claimResult(VerdictHeld, "another holder has the claim", old)
	case exists && old.Holder == c.Holder && old.State == ClaimStateClaimed:
		return claimResult(VerdictAccepted, "", old)
	case exists && old.State == ClaimStateReleased && old.Holder == c.Holder:
		// A proposal that was late, or sent twice, arrives after its holder has
		// given up and released. The holder is gone: were the claim its again,
		// nobody would settle it, and the key would stay blocked until it expires.
		return claimResult(VerdictHeld, "the holder has given the claim back", old)
	case exists && old.State != ClaimStateReleased:
		// The holder itself asks again after the end: it must not run the call
		// a second time.
		return claimResult(VerdictHeld, "the call has ended", old)
	case !exists && s.claims.live >= s.retention.MaxRecords:
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

// settleClaim records how the claimed call ended.
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
	case !old.State.leadsTo(c.State):
		return claimResult(VerdictConflict, "the call has ended otherwise", old)
	}
	old.State, old.Backend, old.Request = c.State, c.Backend, c.Request
	old.Index, old.Time = index, s.now
	return claimResult(VerdictAccepted, "", s.writeClaim(p, old))
}

// leadsTo reports whether a claim may pass from c to next. An unknown outcome
// may still become known as done, when the answer turns up; it never becomes
// known as not run, because the call may have begun.
func (c ClaimState) leadsTo(next ClaimState) bool {
	switch c {
	case ClaimStateClaimed:
		return true
	case ClaimStateUnknown:
		return next == ClaimStateDone
	default:
		return false
	}
}

// writeClaim stores c. The caller holds the lock of p's shard.
func (s *Store) writeClaim(p *space, c Claim) Claim {
	if _, ok := p.claims[c.Key]; !ok {
		s.claims.live++
	}
	p.claims[c.Key] = c
	s.claims.push(aged{workspace: c.Workspace, key: c.Key, index: c.Index, time: c.Time})
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
