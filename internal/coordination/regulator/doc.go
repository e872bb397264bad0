// Package regulator keeps requests within the rate that a backend server names.
//
// A backend server in need names in its answers how many requests a second it takes from
// all senders together. Limit is what a process knows about the limit of one incarnation
// of a backend server, and Regulator spaces its requests. For each backend server one
// process counts the requests of all senders: the companion of an engine, and the leader
// of the control group, with a Schedule, for backend servers without a companion.
//
// Requests are spaced by the generic cell rate algorithm (ITU-T I.371): a token bucket
// whose only state is the time at which the next request is expected.
//
// The package makes decisions only: the caller passes the time, and nothing starts a
// goroutine or opens a socket. No type is safe for concurrent use.
package regulator
