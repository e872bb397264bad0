// Package bucketer enforces the quotas of workspaces across all entries.
//
// A quota is a token bucket. The leader's Ledger has one bucket for each workspace in use. An
// entry's Accounts admit calls by an estimate of that bucket: its level in the leader's last
// report, plus the units added since, less what the entry itself has admitted and what the other
// entries have probably admitted. Entries report what they admitted several times a second. If they
// together admit more than the bucket holds, its level becomes negative, and the deficit is repaid
// before anything else is admitted.
//
// None of this state is replicated. A new leader's ledger starts from the levels that entries
// report. A bucket whose level no entry knows starts empty, so that no burst is granted twice.
//
// The package makes decisions only: the caller passes the time, and nothing starts a goroutine or
// opens a socket.
package bucketer
