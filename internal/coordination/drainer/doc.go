// Package drainer orders the phases of a planned stop.
//
// A Drain is the plan of one process: unready first, so that the balancer and
// the entries turn away, then no new work, then the work in progress to its
// end, then what others rely on is handed over. It has no goroutine, clock or
// socket and is not safe for concurrent use; its owner tells it what happened
// and does what the phase it returns asks for.
package drainer
