// Package placer chooses the backend server for an opaque call: a model engine by
// where its adapter is, what of its prompt was read there, and what waits there; a
// plain service by its load and by how its answers went lately.
//
// A choice is by expected time. For an engine it adds up what the call would wait
// for: the prompts before it, the tokens of its own that are not cached there, its
// adapter, a free slot. What companions report is late by some 100 ms; calls that
// this entry has placed since are added to it.
//
// Each service is a shard with its own lock. Time is passed in.
package placer
