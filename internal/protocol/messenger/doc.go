// Package messenger transfers typed messages between the processes of the system as
// JSON-RPC 2.0 over long-lived TCP connections. The few kinds of notifications that make
// up most of the traffic while answers stream are sent on the same connections as
// notices, encoded in CBOR.
//
// Either end of a connection may send calls and notifications. Notifications are handled
// one at a time in the order of their arrival. Each call is handled in its own goroutine.
// Both ends send heartbeats, and a connection on which nothing was received for the
// silence limit is closed: a middlebox between two hosts can lose its connection state
// and then drop everything sent on the connection, while new connections work. Every
// message carries a reading of the sender's hybrid logical clock, JSON-RPC messages in
// their Meta member.
package messenger
