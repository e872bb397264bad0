// Package limiter decides at an entry whether a call is taken or refused.
//
// The entry's total of calls in flight has a limit that adapts to the queue
// wait which answers report. Workspaces share it by weight: one under its fair
// share is refused only when the total is at its limit; one over it may borrow
// what the others leave, up to a margin kept for workspaces that come back.
// The fair share counts one share more than those active, so that the next
// workspace finds room.
//
// A refusal is an answer, given at once: it carries the time after which to
// come back, drawn from a window that widens with the number of refusals
// lately, so that the callers don't come back together.
//
// The package opens no socket and starts no goroutine; time and random numbers
// are passed in.
package limiter
