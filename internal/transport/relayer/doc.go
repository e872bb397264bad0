// Package relayer is an entry for opaque calls: it takes callers' requests,
// chooses a backend server for each, hands them over unchanged, and gives the
// answers back as they come.
//
// It knows no name of the protocol that callers and backend servers speak: a
// Translator reads what it needs from a request, and writes what a backend server
// must be told.
//
// # What may be repeated
//
// A call that may run once goes to another backend server only where the one
// before has said that it did not run, or where no byte of it was sent. After
// anything else its caller is told at once that the outcome is unknown. A call that
// may be repeated is tried again while attempts, time and the retry budget last.
package relayer
