// Package recorder implements a ring buffer of typed events for each process.
// The events have timestamps of a hybrid logical clock, so that the events of
// all processes can be merged into one timeline.
//
// The clock follows Kulkarni, Demirbas, Madappa, Avva and Leone, "Logical
// Physical Clocks" (OPODIS 2014): every message between processes carries a
// timestamp, and the receiver advances its clock past it. An effect therefore
// never sorts before its cause, even if the wall clocks differ.
package recorder
