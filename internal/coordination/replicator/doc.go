// Package replicator replicates a log of commands over several hosts with the consensus algorithm
// Raft (Ongaro, "Consensus: Bridging Theory and Practice", 2014), and applies it to a state
// machine.
//
// # Structure
//
// Core is the algorithm as a state machine without goroutine, socket, file or clock. The
// unexported replica connects it with a journal and a snapshot store, synchronously: whatever a
// message promises is on the disk before the message is sent. Replicator runs a replica in
// goroutines and offers blocking calls.
//
// # Guarantees
//
// A command for which Propose has returned is on the disks of a majority, and is never lost or
// reverted while a majority of the voters' disks survives. Errors are exact:
// CertainlyNotAccepted distinguishes errors that prove that the command has no effect from
// ErrOutcomeUnknown.
//
// In addition to the basic algorithm there are pre-votes, so that a host that returns from behind
// a partition does not depose the leader; check-quorum, so that a leader that is cut off stops
// accepting within its lease and then steps down; a leader lease for reads, with LeaseDrift as the
// bound on clock drift, and reads confirmed by a round of heartbeats where the lease does not
// hold; leadership transfer; learners; and changes of the membership by one member at a time.
//
// # Identity
//
// A member is a host number together with the incarnation of its disk, drawn when the identity
// file was written. Votes and acknowledgements count only from the disk that the configuration
// names. A host that lost its disk draws a new incarnation and is therefore a new host: it has to
// be removed and added again, in two committed steps. The data folder of a host must never be
// replaced by an older copy. This is detected while the same leader leads (ErrStaleDisk), but can't
// be detected after an election.
//
// # Conventions
//
// Times are time.Duration since the start of the Replicator, on its host's monotonic clock.
// Indices and terms start at 1. A slice of entries is never written to once it has been passed on.
package replicator
