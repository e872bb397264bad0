// Package flooder plays clients that don't behave: they send bodies, chunks, heads and messages without
// their end, or more than is allowed, and keep their connections open. It also measures what a process uses
// beside them.
package flooder
