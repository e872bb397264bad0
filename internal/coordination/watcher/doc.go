// Package watcher determines which hosts have fallen silent.
//
// A host that has stalled or is partitioned neither refuses nor resets anything: its
// connections stay open, and requests to it get no answer. The only sign is the absence
// of its heartbeats. A process that has itself stalled has not received heartbeats from
// any host, so it must not consider all others silent; it waits for a while before it
// relies on silence again.
package watcher
