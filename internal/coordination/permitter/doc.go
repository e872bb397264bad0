// Package permitter grants the permits under which companions load adapters
// from the weight store.
//
// The weight store allows a few loads a second, and only one at a time runs at
// full speed. So the control leader grants permits one at a time, spaced by the
// store's rate. The order is decided twice: between workspaces by start-time
// fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996), so that a workspace
// rushing over hundreds of cold adapters gets its share and no more; inside a
// workspace by the number of waiting requests, and by age alone from
// Settings.MaxAge on, so that nothing starves.
//
// A permit has a number that rises over leaders too, the leader's term above a
// counter. It lives until its holder finishes it, or until nobody has reported
// it for Settings.Expiry. A new leader knows nothing of its predecessor's
// permits, so it grants none until each companion that may hold one has told
// what it holds, or until the longest life has passed.
//
// Everything here is a plain decision: time is passed in, and nothing starts a
// goroutine or opens a socket. No type may be used by several goroutines at
// once.
package permitter
