// Package bucketer holds workspaces to their quotas, over all entries together.
//
// A quota is a token bucket. The leader's Ledger has one bucket for each workspace that
// is in use. An entry's Accounts admit calls by an estimate of that bucket: its level as
// the leader last reported it, what has flowed in since, what the entry itself has admitted,
// and what the other entries are likely to have. Entries report what they admitted a few
// times a second. What all admit beyond the bucket meanwhile makes its level negative,
// so that it is paid back before anything else is admitted.
//
// Nothing of this is replicated. A new leader's ledger begins with the levels that
// entries report; where none knows a level the bucket begins empty, so that no burst is
// given twice.
//
// Everything here is a plain decision: time is passed in, and nothing starts a
// goroutine or opens a socket.
package bucketer
