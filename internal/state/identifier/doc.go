// Package identifier computes identities of requests, so that repetitions of a request are
// recognized at any host and regardless of the request ids that the caller chooses.
package identifier
