// Package distributor decides how accepted configuration is distributed to the nodes,
// and how far a node may trust the configuration it holds.
//
// Each node subscribes to one control host. Feed is the host's cursor for one
// subscriber: it emits deltas by revision, or the whole state in pages if the history
// no longer covers the subscriber's revision, and never has more than a window of
// unacknowledged batches in flight. Assembler is the counterpart at the node: it
// applies deltas and assembles the pages. Revisions only increase at a node; a
// subscription to a host that is behind waits until the host has caught up.
//
// Lease determines whether a node may trust its rules: whether a control host that has
// been in recent contact with a leader has also been in contact with the node. Tally
// records at a control host which nodes hold which revision; Merge combines the answers
// of all hosts into an InForce.
//
// The package contains decisions only: time is passed in, and nothing starts a
// goroutine or opens a socket. No type is safe for concurrent use.
package distributor
