// Package limiter decides at an entry whether a call is admitted or refused.
//
// The number of calls in flight at the entry has a limit that adapts to the queue wait
// reported with answers. Workspaces share the limit by weight: a workspace under its
// fair share is refused only when the total is at the limit; a workspace over it may
// borrow what the others leave unused, up to a margin kept for workspaces that return.
// The fair share is computed with one share more than those active, so that the next
// workspace finds room.
//
// A refusal is answered immediately. It carries a time after which to retry, drawn from
// a window that widens with the recent number of refusals, so that callers do not retry
// simultaneously.
//
// The package opens no sockets and starts no goroutines; the time and the random source
// are passed in.
package limiter
