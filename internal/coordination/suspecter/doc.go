// Package suspecter determines which requests crash the backend servers that run them
// and must not be sent to any of them.
//
// When a backend server ends, everything in progress there is lost, and one of these
// requests may be the cause. An entry observes only its own attempts, and a caller that
// repeats a request may reach another entry. Entries therefore report each end, and
// each request that was answered although servers had ended under it, and the
// replicated state counts by the requests' identities (package storer, SuspectSpec). A
// Table belongs to an entry: it decides by the replicated state and by the ends that this
// entry has reported and the replicated state does not contain yet. A Reviewer belongs to
// the leader of the control group and decides when a quarantine ends.
package suspecter
