// Package scheduler orders the requests that wait for a place in a backend server's
// batch, fairly between workspaces.
//
// A Queue implements start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996) over
// workspaces, weighted by their shares and charged by tokens: first by the estimate,
// which is corrected to the actual count at completion. Within a workspace, priorities
// with ageing determine the order. Only requests whose adapter version can be pinned
// are taken; requests that are skipped keep their position.
//
// # Bounds
//
// The time that a workspace which always has a runnable request waits for others,
// between two of its own requests, is at most the time to serve
//
//	sum over the others of (their share / its share * its last charge + their largest charge + lag)
//
// tokens, plus the charges from corrections. The lag, one 64th of Settings.MaxTokens,
// is what a workspace may catch up if its versions were not resident while others were
// served. Within a workspace, a request of priority p can be overtaken by later ones of
// priority q for at most (q-p) * AgeStep. How long a request can be skipped because its
// version is not resident is bounded by loader.Settings.SlotWaitTimeout.
//
// A Queue has no goroutine, clock or socket of its own, and is not safe for concurrent
// use. The times passed in must not decrease.
package scheduler
