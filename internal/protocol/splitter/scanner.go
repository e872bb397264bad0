package splitter

import "bytes"

const (
	// byteOrderMark may precede the first event.
	byteOrderMark = "\xef\xbb\xbf"
	// idField begins a line that sets the last event id.
	idField = "id:"
	// dataField begins a line of data. An event without data is not dispatched.
	dataField = "data:"
	// maxIDLine is the maximum length of a line that sets an id; longer ones are ignored.
	maxIDLine = 4 << 10
)

// Scanner finds the ends of events in a stream of server-sent events. The zero value is ready
// for use.
type Scanner struct {
	// read is the number of bytes read, and complete the offset of the end of the last
	// complete event.
	read, complete int
	// count is the number of complete events that have data.
	count int
	// hasData means that the current event has data.
	hasData bool
	// bomChecked means that a byte order mark was read or can no longer follow. bomLength is
	// the number of its bytes that were read.
	bomChecked bool
	bomLength  int
	// lineNonblank means that the current line is not blank. line holds the whole line if it
	// may set an id, and a prefix of it otherwise.
	lineNonblank bool
	line         []byte
	// afterCR means that the last byte was a CR that ended a line, so that a following LF belongs
	// to the same line ending.
	afterCR bool
	// usesCRLF means that a line of the stream ended with CRLF. awaitingLF means that a CR
	// ended a blank line of such a stream and its LF is expected next.
	usesCRLF, awaitingLF bool
	// id is the last event id set by complete events, and nextID takes the current event into
	// account as well.
	id, nextID string
}

// Scan processes the next piece of the stream.
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

// ID returns the last event id set by complete events; empty means none.
func (s *Scanner) ID() string { return s.id }

// scan processes the byte at offset s.read.
func (s *Scanner) scan(b byte) {
	if s.awaitingLF {
		s.awaitingLF, s.afterCR = false, false
		if b == '\n' {
			s.endEvent(s.read + 1)
			return
		}
		s.endEvent(s.read)
	}
	if !s.bomChecked && s.scanByteOrderMark(b) {
		return
	}
	switch {
	case b == '\n' && s.afterCR:
		s.afterCR, s.usesCRLF = false, true
	case b != '\n' && b != '\r':
		s.afterCR, s.lineNonblank = false, true
		if len(s.line) < len(dataField) || len(s.line) < maxIDLine && bytes.HasPrefix(s.line, []byte(idField)) {
			s.line = append(s.line, b)
		}
	case s.lineNonblank:
		s.endLine()
		s.afterCR = b == '\r'
	case b == '\r' && s.usesCRLF:
		s.awaitingLF = true
	default:
		s.afterCR = false
		s.endEvent(s.read + 1)
	}
}

// scanByteOrderMark processes a byte at the start of the stream, and reports whether it may
// belong to a byte order mark.
func (s *Scanner) scanByteOrderMark(b byte) bool {
	if b != byteOrderMark[s.bomLength] {
		s.bomChecked, s.lineNonblank = true, s.bomLength > 0
		s.line = append(s.line, byteOrderMark[:s.bomLength]...)
		return false
	}
	s.bomLength++
	s.bomChecked = s.bomLength == len(byteOrderMark)
	return true
}

// endLine processes the field of a complete line that is not blank.
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

// endEvent completes the current event, which ends before the given offset.
func (s *Scanner) endEvent(end int) {
	s.complete, s.id = end, s.nextID
	if s.hasData {
		s.count++
	}
	s.hasData = false
}
