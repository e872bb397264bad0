// Package indexer holds the compact replica of the configuration which every
// node keeps: what is needed to resolve a call, and nothing else.
//
// Texts lie in arenas and are handed out as parts of them, so a lookup
// allocates nothing and what it returned stays valid for as long as it is held.
// The replica is monotone: it never goes back to an earlier revision, not by a
// delta and not by a snapshot.
//
// Adapters are spread over shards by workspace and name; rules, services and
// limits over shards by workspace. Each shard has its own lock. A delta is
// applied change by change in the order of the log, so every reader sees each
// resource move forward only; a reader of two resources may see the later one's
// change first.
package indexer
