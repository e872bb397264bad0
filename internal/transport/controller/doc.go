// Package controller runs the Control role: one host of the control group.
//
// A Control connects the replicated log to the store, and serves nodes and the other
// control hosts over messenger connections. Any control host accepts any call. Calls that
// only the leader may decide are forwarded to it once. A forward whose connection broke
// after sending is reported as an unknown outcome, not as a refusal.
//
// Each node has a session at the control host that it is connected to. The session sends
// the configuration, the digests of the backend servers, and pulses with the age of the
// host's knowledge. The leader sends pulses to the other hosts in the same way, so that
// the ages add up along the path.
//
// A leader's duties (leases of backend servers, load permits) begin once it has applied
// all that was accepted before its term, and end with its leadership.
//
// Locks: each field names its lock. If several are taken, the order is the board's,
// Control.sessionsMu, a session's.
package controller
