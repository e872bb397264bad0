// Package companion manages one backend server and is the only sender of orders to its
// engine.
//
// A Companion accepts the requests that entries dispatch, decides by the scheduler and the
// loader when each one runs and which adapter versions the engine holds, and keeps every
// answer in the streamer's buffer until an entry has received all of it. It holds the
// backend server's membership.
//
// # Ownership
//
// One mutex, Companion.mu, guards the decisions: the slot table, the queue and the requests
// in progress. It is never held during input or output: actions of the table that call the
// engine or a control host run in goroutines of their own, which Close waits for.
//
// # Outcomes
//
// The outcome of a request is NotRun only if it was refused before the engine was asked, or
// if the engine's client is certain that it did not begin. Any other request that does not
// complete has the outcome Unknown.
package companion
