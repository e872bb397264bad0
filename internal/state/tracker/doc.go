// Package tracker keeps a node's replica of what is agreed on for opaque calls:
// the routing configuration, the backend servers, and the newest versions of
// adapters that no workspace owns.
//
// A Tracker takes changes in their order and publishes a View, which never
// changes once made. Readers take no lock.
package tracker
