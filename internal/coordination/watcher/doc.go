// Package watcher tells which hosts have fallen silent.
//
// A host that stands still or is cut off refuses nothing and resets nothing: its
// connections stay open, and what is asked of it gets no answer. Only the absence of
// its heartbeats tells. A process that has itself stood still has heard nobody either,
// and must not take all others for silent; it listens for a while first.
package watcher
