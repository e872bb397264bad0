package replicator

import "time"

// Observation is an event worth counting or noting.
type Observation interface{ observation() }

// Elected tells that this host has become the leader of a term.
type Elected struct{ Term uint64 }

// SteppedDown tells that this host no longer leads the given term.
type SteppedDown struct{ Term uint64 }

// LeaderChanged tells of the leader that this host follows, 0 for none.
type LeaderChanged struct {
	Term   uint64
	Leader HostID
}

// SnapshotTaken tells of a snapshot of this host's own state.
type SnapshotTaken struct {
	Index uint64
	Bytes int64
	Took  time.Duration
}

// SnapshotInstalled tells of a snapshot received from the leader.
type SnapshotInstalled struct {
	Index uint64
	Bytes int64
}

// Synced tells how long a sync of the journal took.
type Synced struct{ Took time.Duration }

// MembershipChanged tells of a configuration that is committed.
type MembershipChanged struct {
	Index         uint64
	Configuration Configuration
}

// MessageRefused tells of a message which isn't meant for this member: one of
// another group, or for or from another disk.
type MessageRefused struct {
	From   HostID
	Reason string
}

// BootstrapRefused tells that no group is formed, because another host belongs
// to one or has another list.
type BootstrapRefused struct{ By HostID }

// Stopped tells that the replicator has failed for good.
type Stopped struct{ Cause error }

func (Elected) observation()           {}
func (SteppedDown) observation()       {}
func (LeaderChanged) observation()     {}
func (SnapshotTaken) observation()     {}
func (SnapshotInstalled) observation() {}
func (Synced) observation()            {}
func (MembershipChanged) observation() {}
func (MessageRefused) observation()    {}
func (BootstrapRefused) observation()  {}
func (Stopped) observation()           {}
