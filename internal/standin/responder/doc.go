// Package responder is a minimal stand-in for a plain service: a service other than a
// model engine to which the system routes, and some of whose calls must not be repeated.
//
// It answers calls to any path with an Answer that echoes the request ID, and records
// every call that it runs. Tests can check by the record that a call refused as not run
// did not run, and that no call ran twice. GET /_record returns the Record; POST /_faults
// replaces the Faults.
package responder
