// Package subscriber connects a node to the control hosts.
//
// A Client keeps one connection to one control host: of the node's own failure domain if
// possible, else of its region, else any. It applies the deltas to the node's replica of
// the configuration, maintains the configuration lease, renews the memberships of a
// companion, and sends calls. When the connection ends or becomes silent, or when its
// control host has lost the leader while others may not have, it changes to another host
// and resumes after the revision of its replica.
//
// Errors state the outcome of a change: ErrNotAccepted is returned only if the change
// certainly has no effect, now or later.
package subscriber
