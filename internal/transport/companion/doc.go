// Package companion stands beside one backend server and is the only giver of
// its orders.
//
// A Companion takes the requests that entries dispatch, decides by the
// scheduler and the loader when each runs and which adapter versions the engine
// holds, and keeps every answer in the streamer's buffer until an entry has it
// whole. It holds the backend server's membership.
//
// # Ownership
//
// One mutex, Companion.mu, guards the decisions: the slot table, the queue and
// the requests in progress. It is never held over input or output: actions of
// the table that talk to the engine or to a control host run in goroutines of
// their own, which Close waits for.
//
// # Outcomes
//
// A request is told NotRun only where it was refused before the engine was
// asked, or where the engine's client is certain that it did not begin. All
// else that does not end whole is Unknown.
package companion
