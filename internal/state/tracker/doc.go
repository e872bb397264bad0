// Package tracker implements a node's replica of the state that is needed for
// opaque calls: the routing configuration, the backend servers, the newest
// versions of adapters that no workspace owns, and the suspects.
//
// A Tracker applies changes in order and publishes an immutable View after each
// update. Readers need no lock.
package tracker
