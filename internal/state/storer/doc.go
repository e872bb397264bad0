// Package storer implements the replicated state of the system: resources,
// idempotency records, claims and memberships, and the commands that change
// them.
//
// The state is a deterministic function of the committed commands. Every
// control host applies them in log order. A revision is the log index of the
// command that wrote a resource, so revisions increase and are never reused.
// Time is taken only from the command's envelope, never from the host's own
// clock.
package storer
