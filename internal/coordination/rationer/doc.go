// Package rationer decides which waiting requests are served first while the adapter slots,
// adapter loads or turns of a backend server are short, and which are refused because they
// would wait until after their deadline.
//
// Requests that can still be in time go before those that can't, then by priority rank, then
// by slack. Every fourth grant goes to the request that arrived first, so that a request
// among n waits for at most 4n grants, whatever arrives later.
//
// Expected waits follow from a request's position in that order and from the observed times
// of a load and of the use of a slot. They are kept low where little is known: a request
// that is refused has lost its chance, while one that waits in vain can still be refused.
//
// The package makes decisions only: the caller passes the time, and nothing starts a
// goroutine or opens a socket. No type is safe for concurrent use.
package rationer
