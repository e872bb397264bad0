// Package disker is a stand-in for a disk: a journaler.FileSystem in memory
// that forgets in a crash what was not synced, and that can be told to crash
// after some number of operations or to fail a sync.
//
// A crash keeps of each file what was synced and a random part of what was
// written since, possibly with its end garbled, and of each folder the synced
// names and a random number of the changes since, in their order.
package disker
