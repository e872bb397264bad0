// Package disker simulates a disk: an in-memory journaler.FileSystem that loses
// unsynced data in a crash. It can be set to crash or to become full at the n-th
// operation, or to fail a sync.
//
// After a crash, a file contains the synced data and a random prefix of the data
// written since, possibly with one corrupted byte. A folder contains the synced
// names with a random prefix of the changes of names made since.
package disker
