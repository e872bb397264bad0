// Package orderer is the client of a backend server: of a model engine, to which
// a companion gives its orders and its generation calls, and of a plain service,
// to which it forwards requests.
//
// # Outcomes
//
// What a caller may do after a failure depends on one question only: can the
// backend server have begun the work? Every error of this package that answers
// it is an *Error and matches one of the sentinel errors by errors.Is:
//
//   - ErrNotRun: the work can't have begun. No byte of the request was handed to
//     a connection, or the engine refused it before running it.
//   - ErrNotResident and ErrFenced: two refusals, which match ErrNotRun too.
//   - ErrUnknown: at least one byte was handed to a connection and no refusal
//     came back, so that the work may have begun.
//
// The line between the two is drawn at the connection itself: see recorder. A
// call that may not be repeated goes out on a connection made for it alone,
// because net/http silently sends a request again when a reused connection dies
// under it.
//
// # Streams
//
// Generate delivers the answer of an engine piece by piece, in order and each
// piece once. It finds a connection that has gone silent by the heartbeats it
// misses, and asks the engine by request id on a new connection for the events
// that followed the last one it got. It never sends the request itself again.
//
// # Formats
//
// Shapes published by OpenAI and vLLM keep their snake_case names through JSON
// tags. All other messages use the names of their Go fields. The wire protocol is
// described in docs/design/030-engine-protocol.md.
//
// All types are safe for concurrent use unless their comment says otherwise.
package orderer
