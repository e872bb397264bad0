// Package replicator keeps a log of commands on several hosts, by the consensus
// algorithm Raft (Ongaro, "Consensus: Bridging Theory and Practice", 2014), and
// applies it to a state machine.
//
// # Parts
//
// Core is the algorithm as a state machine without goroutine, socket, file or
// clock. The unexported replica joins it with a journal and a snapshot store,
// synchronously: what a message promises is on the disk before the message
// leaves. Replicator drives a replica by goroutines and offers calls that wait.
//
// # What is kept
//
// A command that Propose returned for is on the disks of a majority, and is
// never lost or reverted while a majority of the voters' disks survives. Errors
// say the truth: CertainlyNotAccepted tells those that prove that the command
// has no effect from ErrOutcomeUnknown.
//
// Besides the basic algorithm there are pre-votes, so that a host that comes
// back from behind a partition deposes nobody; check-quorum, so that a leader
// that is cut off steps down within its lease; a leader lease for reads, with
// LeaseDrift as the bound on the drift of clocks, and reads confirmed by a
// round of heartbeats where it doesn't hold; leadership transfer; learners; and
// changes of the membership by one member at a time.
//
// # Identity
//
// A member is a host number together with the incarnation of its disk, drawn
// when the identity file was written. Votes and acknowledgements count only
// from the disk that the configuration names. A host that lost its disk draws
// a new incarnation and is therefore a new host: it has to be removed and added
// again, which are two committed steps. The folder of a host must never be
// replaced by an older copy of it; where the leader still leads that is found
// out (ErrStaleDisk), after an election it can't be.
//
// # Conventions
//
// Times are time.Duration since the start of the Replicator, on its host's
// monotonic clock. Indices and terms start at 1. A slice of entries is never
// written to once handed out.
package replicator
