// Package linker is a stand-in of a host's network link. The connections that are opened through a
// link share its rate in each direction in the order in which they send, and each segment is
// delayed. A peer that sends faster than the link carries is blocked once the queue of its
// connection is full.
//
// The opening of a connection takes a segment in each direction, and a connection that its target
// refuses is reset before anything that was sent on it has used the link.
package linker
