// Package indexer implements the compact replica of the configuration that every node
// stores: the data that is needed to resolve a call, and nothing else.
//
// Strings are stored in arenas and returned as substrings of them, so that a lookup
// does not allocate, and its results stay valid for as long as they are referenced. The
// revision of the replica never decreases, neither by a delta nor by a snapshot.
//
// Adapters are divided into shards by workspace and name; rules, services and limits are
// divided into shards by workspace. Each shard has its own lock. The changes of a delta
// are applied one by one in the order of the log, so that every reader sees each
// resource only move forward. A reader of two resources may see the later change
// before the earlier one.
package indexer
