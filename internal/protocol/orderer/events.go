package orderer

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/juju/errors"
)

// event is one server-sent event.
type event struct {
	number int64
	data   []byte
}

// eventReader reads server-sent events in the form used by the engine protocol: an id
// line, one data line and an empty line. Lines that begin with a colon are heartbeats. It
// is not safe for concurrent use.
type eventReader struct {
	lines *bufio.Reader
	limit int
	// onLine is called for each line, including heartbeats.
	onLine func()
}

func newEventReader(r io.Reader, limit int, onLine func()) *eventReader {
	return &eventReader{lines: bufio.NewReader(r), limit: limit, onLine: onLine}
}

// next returns the next event. The caller owns the data of the event. At the end of the
// stream next returns io.EOF. An event without its closing empty line is discarded,
// because it may be truncated.
func (r *eventReader) next() (event, error) {
	var e event
	for {
		line, err := r.line()
		if err != nil {
			return event{}, err
		}
		r.onLine()
		switch {
		case len(line) == 0:
			if e.data != nil {
				return e, nil
			}
		case line[0] == ':':
		case bytes.HasPrefix(line, []byte("id:")):
			e.number, err = strconv.ParseInt(string(bytes.TrimSpace(line[3:])), 10, 64)
			if err != nil {
				return event{}, errors.Annotate(err, "event number")
			}
		case bytes.HasPrefix(line, []byte("data:")):
			e.data = bytes.Clone(bytes.TrimPrefix(line[5:], []byte(" ")))
		}
	}
}

// line returns the next line without its line ending. The result is valid until the next
// call.
func (r *eventReader) line() ([]byte, error) {
	line, err := r.lines.ReadSlice('\n')
	if err == nil {
		return bytes.TrimRight(line, "\r\n"), nil
	}
	if !errors.Is(err, bufio.ErrBufferFull) {
		return nil, err
	}
	long := bytes.Clone(line)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(long) > r.limit {
			return nil, errors.Errorf("event longer than %d bytes", r.limit)
		}
		line, err = r.lines.ReadSlice('\n')
		long = append(long, line...)
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimRight(long, "\r\n"), nil
}
