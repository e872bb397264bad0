// Package distributor decides how accepted configuration reaches every node,
// and what a node may believe of it.
//
// Each node subscribes at one control host. Feed is the host's cursor for one
// subscriber: it gives out deltas by revision, or the whole state in pages where
// the history no longer reaches back, and never more than a window of batches
// that are not acknowledged. Assembler is the node's end: it puts the pages
// together again. Revisions only rise at a node; a subscription at a host that
// is behind waits until the host has caught up.
//
// Lease tells a node whether it may trust its rules: whether some control host
// that has heard from a leader lately has also heard from the node. Tally counts
// at a control host which nodes hold which revision; InForce merges the answers
// of all hosts.
//
// Everything here is a plain decision: time is passed in, and nothing starts a
// goroutine or opens a socket. No type may be used by several goroutines at
// once.
package distributor
