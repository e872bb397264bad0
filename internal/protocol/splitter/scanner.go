package splitter

import "bytes"

const (
	// byteOrderMark may precede the first event.
	byteOrderMark = "\xef\xbb\xbf"
	// idField begins a line that sets the id of the last event, and dataField one without which
	// an event is not dispatched.
	idField   = "id:"
	dataField = "data:"
	// maxIDLine is the maximum length of a line that sets an id; longer ones are ignored.
	maxIDLine = 4 << 10
)

// Scanner finds the ends of events in a stream. The zero value is ready for use.
type Scanner struct {
	// read is the number of bytes read, and complete the offset of the end of the last
	// complete event.
	read, complete int
	// count is the number of complete events with data, and hasData means that the current
	// event has some.
	count   int
	hasData bool
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

// Scan reads a piece of the stream.
func (s *Scanner) Scan(piece []byte) {
	for _, b := range piece {
		s.scan(b)
		s.read++
	}
}

// Unfinished returns the number of bytes after the last complete event.
func (s *Scanner) Unfinished() int { return s.read - s.complete }

// Count returns the number of complete events that have data.
func (s *Scanner) Count() int { return s.count }

// ID returns the last id that complete events have set; empty means none.
func (s *Scanner) ID() string { return s.id }

// scan reads the byte at the offset read.
func (s *Scanner) scan(b byte) {
	if s.awaitingLF {
		s.awaitingLF, s.afterReturn = false, false
		if b == '\n' {
			s.endEvent(s.read + 1)
			return
		}
		s.endEvent(s.read)
	}
	if !s.markChecked && s.scanByteOrderMark(b) {
		return
	}
	switch {
	case b == '\n' && s.afterReturn:
		s.afterReturn, s.usesCRLF = false, true
	case b != '\n' && b != '\r':
		s.afterReturn, s.lineNonblank = false, true
		if len(s.line) < len(dataField) || len(s.line) < maxIDLine && bytes.HasPrefix(s.line, []byte(idField)) {
			s.line = append(s.line, b)
		}
	case s.lineNonblank:
		s.endLine()
		s.afterReturn = b == '\r'
	case b == '\r' && s.usesCRLF:
		s.awaitingLF = true
	default:
		s.afterReturn = false
		s.endEvent(s.read + 1)
	}
}

// scanByteOrderMark reads a byte at the start of the stream, and reports whether it may belong
// to a byte order mark.
func (s *Scanner) scanByteOrderMark(b byte) bool {
	if b != byteOrderMark[s.markLength] {
		s.markChecked, s.lineNonblank = true, s.markLength > 0
		s.line = append(s.line, byteOrderMark[:s.markLength]...)
		return false
	}
	s.markLength++
	s.markChecked = s.markLength == len(byteOrderMark)
	return true
}

// endLine ends a line that is not blank.
func (s *Scanner) endLine() {
	name, value, _ := bytes.Cut(s.line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "data":
		s.hasData = true
	case "id":
		if bytes.IndexByte(value, 0) < 0 && len(s.line) < maxIDLine {
			s.nextID = string(value)
		}
	}
	s.lineNonblank, s.line = false, s.line[:0]
}

// endEvent completes the event that ends before the given offset.
func (s *Scanner) endEvent(end int) {
	s.complete, s.id = end, s.nextID
	if s.hasData {
		s.count++
	}
	s.hasData = false
}
