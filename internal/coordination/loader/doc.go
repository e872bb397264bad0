// Package loader decides which adapter versions occupy the slots of one engine.
//
// A Table is owned by the companion of the engine, which is the only source of orders
// to it. Callers report events by calling the table's methods; each returns the actions
// that the caller must carry out, in order. The table has no goroutine, clock or socket
// of its own, and is not safe for concurrent use.
//
// # Slots
//
// A slot is empty, or its version is loading, resident or evicting. A request first
// waits for its version, then pins it for as long as the engine may be working on the
// request. Only a resident version can be pinned, and only an unpinned version can be
// evicted. A version enters the evicting phase before the unload order is issued, so
// that an eviction and a new pin cannot cross; a request that arrives too late to pin
// waits for the reload.
//
// # Bounds
//
// When a request for a version without a slot has waited for Settings.SlotWaitTimeout,
// one resident version is closed: it takes no new pins and is evicted at its last unpin,
// even if requests wait for it. The wait for a slot is therefore bounded by
// SlotWaitTimeout, the longest request in progress, and the preceding loads.
//
// Durations are measured by the times passed in, which must not decrease.
package loader
