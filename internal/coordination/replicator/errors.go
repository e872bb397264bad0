package replicator

import (
	"fmt"
	"slices"
	"syscall"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/journaler"
)

// ErrNotLeader reports that this host is not the leader. The proposal was not accepted and never
// will be.
type ErrNotLeader struct {
	// Leader is the leader known to this host; its ID is 0 if none is known.
	Leader Member
}

// Error returns a message that names the leader.
func (e ErrNotLeader) Error() string {
	if e.Leader.ID == 0 {
		return "not the leader, and no leader is known"
	}
	return fmt.Sprintf("not the leader, which is host %d at %s", e.Leader.ID, e.Leader.Address)
}

// ErrOutcomeUnknown reports that the proposal was appended to the log, and may have been, or may
// still be, committed and applied.
type ErrOutcomeUnknown struct {
	// Reason says why the outcome could not be awaited.
	Reason string
}

// Error returns a message with the reason.
func (e ErrOutcomeUnknown) Error() string { return "outcome unknown: " + e.Reason }

// ErrNotAccepted reports that a proposal was refused before it was appended to the log, for a
// reason other than ErrNotLeader. It has no effect.
type ErrNotAccepted struct {
	// Reason says why the proposal was refused.
	Reason string
}

// Error returns a message with the reason.
func (e ErrNotAccepted) Error() string { return "not accepted: " + e.Reason }

// ErrChangeRefused reports that a change of the membership was refused. It has no effect.
type ErrChangeRefused struct {
	// Reason says why the change was refused, in most cases because another one is in progress.
	Reason string
}

// Error returns a message with the reason.
func (e ErrChangeRefused) Error() string { return "membership change refused: " + e.Reason }

// ErrStaleDisk reports that the host's log ends before an entry that it acknowledged to the leader
// in this term: its disk is an old copy, and the host must be replaced under a new identity.
type ErrStaleDisk struct {
	// Last is the index of the last entry in the host's log.
	Last uint64
	// Acknowledged is the index up to which the leader counts the host's disk.
	Acknowledged uint64
}

// Error returns a message with both indices.
func (e ErrStaleDisk) Error() string {
	return fmt.Sprintf("the log ends at %d but %d was acknowledged: the disk is an old copy; remove this host, empty its folder and add it again",
		e.Last, e.Acknowledged)
}

// ErrDiverged reports a state that is impossible as long as every host keeps its durable state: a
// disk was restored from an old copy, or two hosts share an identity. The host stops before it
// drops a committed entry.
type ErrDiverged struct {
	// Reason describes the contradiction.
	Reason string
}

// Error returns a message with the reason.
func (e ErrDiverged) Error() string { return "the group has diverged: " + e.Reason }

// isDiskError reports whether err is the failure of a file operation that may succeed later: the
// host can then open its files again and continue.
func isDiskError(err error) bool {
	var full journaler.ErrFull
	if errors.As(err, &full) {
		return true
	}
	return slices.ContainsFunc(diskErrors, func(number error) bool { return errors.Is(err, number) })
}

// diskErrors are the errors of a disk that is full or fails, and of a lack of descriptors.
var diskErrors = []error{syscall.ENOSPC, syscall.EDQUOT, syscall.EIO, syscall.EROFS, syscall.EMFILE, syscall.ENFILE}

// ErrStopped reports that the replicator has stopped permanently.
type ErrStopped struct {
	// Cause is the failure that stopped the replicator, nil after Close.
	Cause error
}

// Error returns a message with the cause.
func (e ErrStopped) Error() string {
	if e.Cause == nil {
		return "replicator is closed"
	}
	return "replicator has stopped: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e ErrStopped) Unwrap() error { return e.Cause }

// CertainlyNotAccepted reports whether an error of Propose proves that the proposal has no effect,
// now or later.
func CertainlyNotAccepted(err error) bool {
	var (
		notLeader   ErrNotLeader
		notAccepted ErrNotAccepted
		refused     ErrChangeRefused
		stopped     ErrStopped
	)
	return errors.As(err, &notLeader) || errors.As(err, &refused) || errors.As(err, &notAccepted) || errors.As(err, &stopped)
}
