// Package router chooses the backend server for each call at an entry.
//
// A choice weighs two things in seconds: the stall that the caller is expected
// to see (loading the adapter, waiting in the queue) times StallWeight, and the
// engine time that a badly filled batch wastes times BatchWeight. Only a
// bounded set of candidates is weighed, whatever the number of backend servers:
// those on which the version is believed resident, its rendezvous homes, the
// one which may have the prompt's prefix cached, and two drawn at random.
//
// Knowledge about backend servers is of three kinds. Certain knowledge comes
// from the entry's own calls: what is in flight, which version an answer was
// made with, which connection was refused. Hints come from digests and may be
// late. Load reports lag; they are discounted by age towards the average of
// the pool, and the entry's own calls are always counted on top, so that a
// lagging report draws no herd.
//
// The package opens no socket and starts no goroutine. Time is passed in.
// Versions are kept in shards, each under its own lock; each backend server's
// state has its own lock too. A shard's lock is taken before a backend
// server's, and never two of one sort at once.
package router
