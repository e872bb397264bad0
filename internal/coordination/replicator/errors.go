package replicator

import (
	"fmt"

	"github.com/juju/errors"
)

// ErrNotLeader reports that this host isn't the leader. What was proposed has
// certainly not been accepted and never will be.
type ErrNotLeader struct {
	// Leader is the leader that this host knows of; its ID is 0 for none.
	Leader Member
}

// Error returns a text that names the leader.
func (e ErrNotLeader) Error() string {
	if e.Leader.ID == 0 {
		return "not the leader, and no leader is known"
	}
	return fmt.Sprintf("not the leader, which is host %d at %s", e.Leader.ID, e.Leader.Address)
}

// ErrOutcomeUnknown reports that the proposal was put into the log and may have
// been, or may later be, committed and applied.
type ErrOutcomeUnknown struct {
	// Reason says why the outcome could not be waited for.
	Reason string
}

// Error returns a text with the reason.
func (e ErrOutcomeUnknown) Error() string { return "outcome unknown: " + e.Reason }

// ErrNotAccepted reports that a proposal was refused before it was put into the
// log, for another reason than ErrNotLeader. It certainly has no effect.
type ErrNotAccepted struct {
	// Reason says why.
	Reason string
}

// Error returns a text with the reason.
func (e ErrNotAccepted) Error() string { return "not accepted: " + e.Reason }

// ErrChangeRefused reports that a change of the membership was not begun.
type ErrChangeRefused struct {
	// Reason says why; another change in progress is the usual one.
	Reason string
}

// Error returns a text with the reason.
func (e ErrChangeRefused) Error() string { return "membership change refused: " + e.Reason }

// ErrStaleDisk reports that the host's log ends before what it acknowledged
// to the leader in this term: its disk is an old copy, and the host must be
// replaced under a new identity.
type ErrStaleDisk struct {
	// Last is the end of the host's log.
	Last uint64
	// Acknowledged is what the leader counts it for.
	Acknowledged uint64
}

// Error returns a text that names both indices.
func (e ErrStaleDisk) Error() string {
	return fmt.Sprintf("the log ends at %d but %d was acknowledged: the disk is an old copy; remove this host, empty its folder and add it again",
		e.Last, e.Acknowledged)
}

// ErrDiverged reports what can't be while every host keeps what it promised: a
// disk was restored from an old copy, or two hosts share an identity. The host
// stops before it drops anything that is committed.
type ErrDiverged struct {
	// Reason says what was seen.
	Reason string
}

// Error returns a text with the reason.
func (e ErrDiverged) Error() string { return "the group has diverged: " + e.Reason }

// ErrStopped reports that the replicator has stopped for good.
type ErrStopped struct {
	// Cause is the failure that stopped it, nil after Close.
	Cause error
}

// Error returns a text with the cause.
func (e ErrStopped) Error() string {
	if e.Cause == nil {
		return "replicator is closed"
	}
	return "replicator has stopped: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e ErrStopped) Unwrap() error { return e.Cause }

// CertainlyNotAccepted reports whether an error of Propose proves that the
// proposal has no effect, now or later.
func CertainlyNotAccepted(err error) bool {
	var (
		notLeader   ErrNotLeader
		notAccepted ErrNotAccepted
		refused     ErrChangeRefused
		stopped     ErrStopped
	)
	return errors.As(err, &notLeader) || errors.As(err, &refused) || errors.As(err, &notAccepted) || errors.As(err, &stopped)
}
