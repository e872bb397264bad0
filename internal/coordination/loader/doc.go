// Package loader decides which adapter versions occupy the slots of one
// engine.
//
// A Table is owned by the companion beside the engine, which is the only giver
// of orders to it. Callers tell the table what happened by its methods; each
// returns the actions that the caller must carry out, in order. The table
// itself has no goroutine, clock or socket, and is not safe for concurrent
// use.
//
// # Slots
//
// A slot is empty, or its version is loading, resident or evicting. A request
// first waits for its version, then pins it for as long as the engine may be
// working on it. Only a resident version can be pinned, and only a version
// without a pin is evicted: evicting is entered before the order to unload is
// given, so that an eviction and a new pin can't cross. A pin that comes too
// late waits for the reload.
//
// # Bounds
//
// A version without a slot whose request has waited for Settings.Patience makes
// one resident version close: it takes no new pin and is evicted at its last
// unpin, though requests wait for it. So the wait for a slot is bounded by
// Patience, the longest request in progress, and the loads before it.
//
// Durations are measured by the times passed in, which must not go back.
package loader
