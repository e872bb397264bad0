// Package regulator keeps requests within the rate that a backend server names.
//
// A backend server in need names in its answers how many requests a second it takes from
// all senders together. Limit is what a process knows about the limit of one incarnation
// of a backend server.
package regulator
