// Package splitter splits a stream of server-sent events into complete events according to the
// grammar in the HTML standard, section 9.2.5: an event ends with a blank line, and a line
// ends with LF, CR or CRLF. A comment is part of the event that follows it. A leading byte
// order mark is not part of an event, but returned with the first one.
//
// A stream that is delimited by the close of its connection has no explicit end, so that one
// that ends inside an event is truncated.
package splitter
