// Package relayer implements an entry for opaque calls: it receives callers' requests,
// chooses a backend server for each, forwards them unchanged, and returns the answers
// as they arrive.
//
// The package contains no name of the protocol between callers and backend servers: a
// Translator reads the required fields from a request, and writes the header for the
// backend server.
//
// # Retries
//
// A call that may run only once is sent to another backend server only if the previous
// one reported that it did not run the call, or if no byte of the call was sent. In
// every other case the entry answers at once that the outcome is unknown. A call that
// may be repeated is retried while attempts, time and the retry budget last.
//
// # Ends of answers
//
// An answer to a caller is complete only if the backend server's is, which exchanger.Body
// decides. Any other answer of which a part was sent is aborted, so that its caller sees a
// broken connection.
//
// # Resumed streams
//
// A stream is continued only at the service and the software version that sent its first
// event, whether the entry continues it within one answer or its caller resumes it. The
// origins of streams are recorded at companions, see package continuer. A stream whose
// origin is unknown is refused, unless its service has had only one software version.
package relayer
