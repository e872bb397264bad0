// Package registrar decides which backend servers are members, and condenses the state that they
// report.
//
// Table holds the leases at the leader. A membership is identified by the name of the backend server
// and its epoch, which is the log index of the command that started it. The companion of the backend
// server renews its lease by heartbeats through the control host that it is connected to. That host
// forwards all renewals of one tick in one RenewBatch, so that the leader's work grows with the number
// of control hosts and not with that of heartbeats. Leases exist only in the leader's memory: only
// their end changes the replicated state.
//
// Board holds the residency and load of each backend server, and returns the changes since its last
// call.
//
// The package makes decisions only: the caller passes the time, and nothing starts a goroutine or
// opens a socket. No type is safe for concurrent use.
package registrar
