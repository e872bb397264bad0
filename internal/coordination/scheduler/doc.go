// Package scheduler orders the requests that wait for a place in a backend
// server's batch, fairly between workspaces.
//
// A Queue is start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996) over
// workspaces, weighted by their shares and charged by tokens: first by the
// estimate, then corrected by the real count at completion. Inside a workspace
// priorities decide, with ageing. Only requests whose adapter version can be
// pinned are taken; those passed over keep their place.
//
// # Bounds
//
// A workspace that always has a request which can run gets, between two of its
// own requests, to wait for others no longer than the time for
//
//	sum over the others of (their share / its share * its last charge + their largest charge + lag)
//
// tokens, plus what corrections charge to it. The lag, a 64th of
// Settings.MaxTokens, is what a workspace may catch up whose versions were not
// resident while others were served. A request of priority p is passed
// by later ones of priority q inside its workspace for at most (q-p) * AgeStep.
// How long a request can be passed over because its version is not resident is
// bounded by the loader's patience.
//
// A Queue has no goroutine, clock or socket, and is not safe for concurrent
// use. Times passed in must not go back.
package scheduler
