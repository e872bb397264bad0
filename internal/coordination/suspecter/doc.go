// Package suspecter tells which requests end the backend servers that run them, and must be
// kept from all of them.
//
// A backend server that ends takes along all that was in progress there; one of these
// requests may be the cause. An entry sees only its own sendings, and a caller that sends a
// request again reaches another entry. So entries tell of each end, and of each request
// that a run has answered although servers ended under it, and the replicated state counts
// by the requests' identities (package storer, SuspectSpec). A Table is an entry's: it
// decides by that state and by what this entry has told and not seen there yet. A Reviewer
// is the control group's leader's: it decides when a quarantine ends.
package suspecter
