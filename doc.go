// Package marigoldpoint is a library of coordination parts for serving very many
// LoRA adapters from a shared pool of model engines.
//
// The parts are the decisions of the daemon, which package cmd/marigoldpoint
// makes from the same code. Most are plain structs without goroutine, socket or
// clock: their owner passes in the time and a random source, and does what they
// return. Those whose documentation does not say otherwise must not be used by
// several goroutines at once.
//
//   - Router chooses a backend server for a call.
//   - SlotTable decides on the adapter slots of one engine.
//   - FairQueue orders the requests that wait for one engine.
//   - Limiter and Retrier bound what one entry takes on and sends again.
//   - ClaimMachine runs a non-idempotent call at most once.
//   - PermitTable shares out a slow weight store.
//   - LeaseTable decides which backend servers are members.
//   - Drain orders the phases of a planned stop.
//   - Replicator agrees on a log, Store is the state that the log makes, and Index
//     is its compact replica.
//   - Process runs the roles of a settings file.
//
// The names here are aliases, so that the parts' own packages can stay internal
// while their surface is public. A release may add to it; what is here stays.
package marigoldpoint
