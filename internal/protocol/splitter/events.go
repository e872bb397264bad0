package splitter

import "bytes"

const (
	// byteOrderMark may precede the first event.
	byteOrderMark = "\xef\xbb\xbf"
	// idField begins a line that sets the id of the last event.
	idField = "id:"
)

// Events splits a stream into complete events. The zero value is ready for use.
type Events struct {
	// buffer holds the bytes that the last Push returned, followed by those of an incomplete
	// event. complete is the number of the former.
	buffer   []byte
	complete int
	// count is the number of complete events.
	count int
	// markChecked means that a byte order mark was read or can no longer follow. markLength is
	// the number of its bytes that were read.
	markChecked bool
	markLength  int
	// lineNonblank means that the current line is not blank. line holds the whole line if it
	// may set an id, and a prefix of it otherwise.
	lineNonblank bool
	line         []byte
	// afterReturn means that the last byte was a CR that ended a line, so that a following LF
	// belongs to the same line end.
	afterReturn bool
	// usesCRLF means that a line of the stream ended with CRLF. awaitingLF means that a CR
	// ended a blank line of such a stream and its LF is expected next.
	usesCRLF, awaitingLF bool
	// id is the last id set by complete events, and nextID includes the current event.
	id, nextID string
}

// Push adds a piece of the stream and returns the events that are complete by now. The
// result is valid until the next call.
func (e *Events) Push(piece []byte) []byte {
	pending := copy(e.buffer, e.buffer[e.complete:])
	e.buffer = append(e.buffer[:pending], piece...)
	e.complete = 0
	for i, b := range piece {
		e.read(b, pending+i)
	}
	return e.buffer[:e.complete]
}

// Unfinished returns the number of bytes after the last complete event.
func (e *Events) Unfinished() int { return len(e.buffer) - e.complete }

// Count returns the number of complete events, including empty ones.
func (e *Events) Count() int { return e.count }

// ID returns the last id that complete events have set; empty means none.
func (e *Events) ID() string { return e.id }

// read reads the byte at the given offset of the buffer.
func (e *Events) read(b byte, at int) {
	if e.awaitingLF {
		e.awaitingLF = false
		if b == '\n' {
			e.endEvent(at + 1)
			return
		}
		e.endEvent(at)
	}
	if !e.markChecked && e.readByteOrderMark(b, at) {
		return
	}
	switch {
	case b == '\n' && e.afterReturn:
		e.afterReturn, e.usesCRLF = false, true
	case b != '\n' && b != '\r':
		e.afterReturn, e.lineNonblank = false, true
		if len(e.line) < len(idField) || bytes.HasPrefix(e.line, []byte(idField)) {
			e.line = append(e.line, b)
		}
	case e.lineNonblank:
		e.endLine()
		e.afterReturn = b == '\r'
	case b == '\r' && e.usesCRLF:
		e.awaitingLF = true
	default:
		e.afterReturn = false
		e.endEvent(at + 1)
	}
}

// readByteOrderMark reads a byte at the start of the stream, and reports whether it may belong
// to a byte order mark.
func (e *Events) readByteOrderMark(b byte, at int) bool {
	if b != byteOrderMark[e.markLength] {
		e.markChecked, e.lineNonblank = true, e.markLength > 0
		e.line = append(e.line, byteOrderMark[:e.markLength]...)
		return false
	}
	if e.markLength++; e.markLength == len(byteOrderMark) {
		e.markChecked, e.complete = true, at+1
	}
	return true
}

// endLine ends a line that is not blank.
func (e *Events) endLine() {
	value, ok := bytes.CutPrefix(e.line, []byte(idField))
	if value = bytes.TrimPrefix(value, []byte(" ")); ok && bytes.IndexByte(value, 0) < 0 {
		e.nextID = string(value)
	}
	e.lineNonblank, e.line = false, e.line[:0]
}

// endEvent completes the event that ends before the given offset of the buffer.
func (e *Events) endEvent(end int) {
	e.complete, e.id = end, e.nextID
	e.count++
}
