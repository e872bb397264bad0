// Package permitter grants the permits under which companions load adapters from the
// weight store.
//
// The weight store allows a few loads per second, and only one at a time runs at full
// speed. The control leader therefore grants permits one at a time, spaced by the
// store's rate. The order has two levels: between workspaces by start-time fair
// queueing (Goyal, Vin and Cheng, SIGCOMM 1996), so that a workspace rushing over
// hundreds of cold adapters gets no more than its share; within a workspace by the
// number of waiting requests, and by age alone from Settings.MaxAge on, so that nothing
// starves.
//
// A permit has a number that increases across leaders as well: the leader's term above
// a counter. The permit is valid until its holder finishes it, or until it has not been
// reported for Settings.Expiry. A new leader does not know its predecessor's permits,
// so it grants none until each companion that may hold one has reported, or until all
// of them must have expired.
//
// The package contains decisions only: time is passed in, and nothing starts a
// goroutine or opens a socket. No type is safe for concurrent use.
package permitter
