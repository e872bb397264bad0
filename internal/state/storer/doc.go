// Package storer holds the replicated state of the system: resources,
// idempotency records, claims and memberships, and the commands which change
// them.
//
// The state is a deterministic function of the committed commands. A command
// is applied in log order on every control host; a revision is the log index
// of the command which wrote a resource, so revisions rise without ever being
// reused. Time enters only through the proposer's clock carried in the
// command's envelope, never through the host's own clock.
package storer
