// Package recorder keeps each process's ring of typed events, stamped with a
// hybrid logical clock, so that the events of all processes merge into one
// time line.
//
// The clock follows Kulkarni, Demirbas, Madappa, Avva and Leone, "Logical
// Physical Clocks" (OPODIS 2014): every message between processes carries a
// timestamp, and a receiver's clock moves past it. An effect therefore never
// sorts before its cause, also when wall clocks differ.
package recorder
