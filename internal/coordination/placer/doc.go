// Package placer chooses the backend server for a call. Model engines are chosen by
// adapter residency, cached prompt prefix, and backlog; plain services by load and by
// recent failures.
//
// Candidates are compared by expected time to the first byte. For an engine this is the
// sum of the backlog of prompts, the reading of the call's uncached tokens, the load of
// its adapter, and the wait for a free slot. Companion reports are some 100 ms old when
// they are used, so calls that this entry has placed since the last report are added to
// it.
//
// Each service is a shard with its own lock. The current time is passed in by the
// caller.
package placer
