// Package router chooses the backend server for each call at an entry.
//
// A choice weighs two costs in seconds: the stall that the caller is expected to see
// (loading the adapter, waiting in the queue) times StallWeight, and the engine time
// wasted by a badly filled batch times BatchWeight. The number of candidates is
// bounded, whatever the number of backend servers: those on which the version is
// believed resident, its rendezvous homes, the one that may have the prompt's prefix
// cached, and two chosen at random.
//
// Information about backend servers comes from three kinds of sources. The entry's own
// calls are certain: what is in flight, which version an answer was made with, which
// connection was refused. Digests are hints and may be late. Load reports lag; they are
// discounted by age towards the average of the pool, and the entry's own calls are
// always added, so that an outdated report does not attract a burst of calls to one
// backend server.
//
// The package opens no sockets and starts no goroutines. The current time is passed in
// by the caller. Versions are kept in shards, each with its own lock; the state of each
// backend server has its own lock as well. A shard's lock is acquired before a backend
// server's, and two locks of the same kind are never held at once.
package router
