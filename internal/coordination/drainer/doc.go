// Package drainer orders the phases of a planned stop.
//
// A Drain is the stop of one role: first it becomes unready, so that the balancer and the entries
// send work elsewhere; then it accepts no new work; then it finishes the work in progress; and then
// it hands over what other processes depend on. It has no goroutine, clock or socket and is not safe
// for concurrent use. Its owner passes it the facts and carries out the phase that it returns.
package drainer
