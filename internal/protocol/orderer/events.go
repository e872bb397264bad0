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

// eventReader reads server-sent events as the engine protocol uses them: an id
// line, one data line, an empty line; lines that begin with a colon are
// heartbeats. It is not safe for concurrent use.
type eventReader struct {
	lines *bufio.Reader
	limit int
	// alive is called for each line, heartbeats included.
	alive func()
}

func newEventReader(r io.Reader, limit int, alive func()) *eventReader {
	return &eventReader{lines: bufio.NewReader(r), limit: limit, alive: alive}
}

// next returns the next event with data of its own. At the end of the stream it
// returns io.EOF; an event without its closing empty line is dropped, because it
// may be cut short.
func (r *eventReader) next() (event, error) {
	var e event
	for {
		line, err := r.line()
		if err != nil {
			return event{}, err
		}
		r.alive()
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

// line returns the next line without its end. It is valid until the next call.
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
