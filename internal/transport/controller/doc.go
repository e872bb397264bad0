// Package controller runs the Control role: one host of the control group.
//
// A Control joins the replicated log with the store, and serves nodes and the
// other control hosts over messenger connections. Any control host takes any
// call. What only the leader may decide is forwarded to it once, and the answer
// keeps the truth: a forward whose connection broke after sending is an unknown
// outcome, not a refusal.
//
// Each node has a session at the control host it is connected to: a feed of the
// configuration, the digest of the backend servers, and a pulse that tells how
// fresh the host's own knowledge is. The leader sends pulses to the other hosts
// in the same way, so that the ages add up along the path.
//
// The duties of a leader (leases of backend servers, load permits) begin once
// the leader has applied all that was accepted before its term, and end with its
// leadership.
//
// Locks: each field names its own. Where more than one is taken, the order is
// the board's, Control.sessionsMu, and a session's.
package controller
