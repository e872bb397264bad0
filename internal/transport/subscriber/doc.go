// Package subscriber is a node's end towards the control hosts.
//
// A Client keeps one connection to one control host: of the node's own failure
// domain where it can, else of its region, else any. It applies the deltas to
// the node's replica of the configuration, keeps the configuration lease, renews
// the memberships of a companion, and hands calls on. When the connection ends
// or falls silent, or when its control host has lost the leader while others may
// not have, it goes to another one and resumes after the revision it holds.
//
// Calls keep the truth: ErrNotAccepted is returned only where the change
// certainly has no effect, now or later.
package subscriber
