// Package registrar decides which backend servers are members, and condenses
// what they report of themselves.
//
// Table is the leader's list of leases. A membership is named by the backend
// server's name and its epoch, the log index of the command that began it. The
// companion beside the backend server renews its lease by heartbeat through the
// control host it is connected to; that host passes all renewals of one tick on
// in one RenewBatch, so that the leader's work grows with the number of control
// hosts and not of heartbeats. Leases live in the leader's memory alone: only
// their end is a change of the replicated state.
//
// Board holds what is known of each backend server's residency and load, and
// gives out what changed since it was last asked.
//
// Everything here is a plain decision: time is passed in, and nothing starts a
// goroutine or opens a socket. No type may be used by several goroutines at
// once.
package registrar
