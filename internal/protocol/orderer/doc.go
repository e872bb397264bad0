// Package orderer implements the clients of backend servers: of a model engine, which
// receives orders and generation calls from its companion, and of a plain service, to
// which a companion forwards requests.
//
// # Outcomes
//
// Whether a caller may retry after a failure depends only on whether the backend server
// can have begun the work. Errors of this package that state this are *Error values and
// match one of the sentinel errors by errors.Is:
//
//   - ErrNotRun: the work can't have begun. No byte of the request was written to a
//     connection, or the engine refused the request before running it.
//   - ErrNotResident and ErrFenced: two kinds of refusal that match ErrNotRun too.
//   - ErrUnknown: at least one byte was written to a connection and no refusal was
//     received, so the work may have begun.
//
// The connection itself records whether a byte was written, see sealableConn. A call that
// must not be repeated is sent on a new connection, because net/http silently resends a
// request if a reused connection breaks.
//
// # Streams
//
// Generate delivers the answer of an engine in pieces, in order and each piece once. It
// detects a silent connection by missing heartbeats, and then requests the events after
// the last received one from the engine, by request id and on a new connection. It never
// resends the request itself.
//
// # Formats
//
// Formats published by OpenAI and vLLM keep their snake_case names by JSON tags. All
// other messages use the names of their Go fields. The wire protocol is described in
// docs/design/030-engine-protocol.md.
//
// All types are safe for concurrent use unless their comment states otherwise.
package orderer
