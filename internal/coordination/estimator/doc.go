// Package estimator estimates how fast a backend server is now.
//
// A slowdown factor says how long work takes on a machine compared with its usual speed: 1 is
// usual, 2.5 two and a half times as long. Backend servers report theirs. Speed is what a process
// knows of one incarnation: the last factor reported, which loses its weight with age, and the
// usual one. PrefillRate is the rate at which the engines of a service prefill, learnt from
// observed times. Backlog is the end of work in order on a machine whose speed changes.
//
// No type is safe for concurrent use. The current time is passed in by the caller, and is
// monotonic.
package estimator
