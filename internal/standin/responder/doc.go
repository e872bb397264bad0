// Package responder is a small stand-in for a plain service: one that the system
// routes to beside the model engines and of which some calls may not be repeated.
//
// It answers any path with an Answer that echoes the request id, and keeps a
// record of every call it ran, so that a test can tell whether a call that was
// refused as not run really did not run, and whether one ran twice. GET /_record
// gives the Record; POST /_faults replaces the Faults.
package responder
