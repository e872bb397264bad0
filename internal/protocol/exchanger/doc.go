// Package exchanger sends one HTTP/1.1 request at a time over a connection selected by
// the caller, and reports how the exchange ended.
//
// An HTTP client that manages its connections internally resends a request when a reused
// connection breaks, even one that may run only once. This package writes each request
// at most once. Whether the caller may retry after a failure depends on whether any byte
// of the request was written to the network, which the error of Exchange states.
//
// A connection is reused only after an answer that ended cleanly and was not followed by
// further bytes. Answers are matched by an id that the peer repeats, since a late second
// answer to an earlier request may arrive where the next answer is expected.
package exchanger
