// Package exchanger carries one HTTP/1.1 request at a time over a connection that
// the caller chose, and tells how it ended.
//
// A client that hides its connections sends a request again by itself when a
// reused connection breaks, also one that may run only once. Here each request is
// written once. What the caller may do after a failure follows from one question,
// which Exchange answers: was any byte of the request handed to the network?
//
// A connection is used again only after an answer that ended cleanly, with nothing
// behind it. Answers are known by an id that the other end repeats: a late second
// answer to an earlier request may stand where the next one is expected.
package exchanger
