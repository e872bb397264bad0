package splitter

// maxIdleBuffer is the size of a buffer that is kept after all of its events are complete.
const maxIdleBuffer = 16 << 10

// Events splits a stream into complete events. The zero value is ready for use.
type Events struct {
	scanner Scanner
	// buffer holds the bytes that the last Push returned, followed by those of an incomplete
	// event. complete is the number of the former.
	buffer   []byte
	complete int
}

// Push adds a piece of the stream and returns the events that are complete by now. The
// result is valid until the next call.
func (e *Events) Push(piece []byte) []byte {
	if cap(e.buffer) > maxIdleBuffer && e.complete == len(e.buffer) {
		e.buffer, e.complete = nil, 0
	}
	pending := copy(e.buffer, e.buffer[e.complete:])
	e.buffer = append(e.buffer[:pending], piece...)
	e.scanner.Scan(piece)
	e.complete = len(e.buffer) - e.scanner.Unfinished()
	return e.buffer[:e.complete]
}

// Unfinished returns the number of bytes after the last complete event.
func (e *Events) Unfinished() int { return e.scanner.Unfinished() }

// Count returns the number of complete events that have data.
func (e *Events) Count() int { return e.scanner.Count() }

// ID returns the last id that complete events have set; empty means none.
func (e *Events) ID() string { return e.scanner.ID() }
