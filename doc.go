// Package marigoldpoint is a library of coordination components for serving very
// many LoRA adapters from a shared pool of model engines.
//
// The components make the decisions of the daemon, which package
// cmd/marigoldpoint builds from the same code. Most are plain structs without
// goroutines, sockets or clocks: the owner passes in the time and a random source,
// and carries out the returned actions. Unless documented otherwise, they are not
// safe for concurrent use.
//
//   - Router chooses a backend server for a call.
//   - SlotTable assigns the adapter slots of one engine.
//   - FairQueue orders the requests waiting for one engine.
//   - Limiter and Retrier limit the calls that an entry admits and retries.
//   - ClaimMachine runs a non-idempotent call at most once.
//   - PermitTable limits the loads from a slow weight store.
//   - LeaseTable decides which backend servers are members.
//   - Drain sequences the phases of a graceful stop.
//   - Replicator replicates a log, Store is the state machine of the log, and Index
//     is a compact replica of its state.
//   - Process runs the roles of a settings file.
//
// The types are aliases, so that the packages of the components can remain internal
// while their API is public. Releases may add to this API but do not remove from it.
package marigoldpoint
