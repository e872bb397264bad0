// Package messenger carries typed messages between the system's own processes
// as JSON-RPC 2.0 over long-lived TCP connections. The few notifications that are
// most of the traffic while answers stream travel on the same connections in CBOR.
//
// Either end of a connection may call and notify. Notifications are handled
// one at a time in the order of their arrival; calls are handled each in a
// goroutine of its own. Both ends send heartbeats, and a connection which has
// been silent for the limit is closed: something between two hosts can lose
// track of a connection, which then swallows all that is written to it while
// new connections work. Every message carries the sender's hybrid logical
// clock in its Meta member.
package messenger
