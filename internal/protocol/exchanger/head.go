package exchanger

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"github.com/juju/errors"
)

const (
	// maxHeadBytes and maxHeadLines bound the head of an answer. A parsed field takes many times the bytes
	// of a short line.
	maxHeadBytes = 16 << 10
	maxHeadLines = 128
)

// minStatus is the lowest status (RFC 9110, section 15).
const minStatus = http.StatusContinue

// errStatus means that an answer has a status below minStatus.
const errStatus = errors.ConstError("the answer has no valid status")

// readResponse reads the head of an answer. It returns errTooLong for one that exceeds the limits, and
// errStatus for one without a valid status.
func (c *Conn) readResponse(request *http.Request) (*http.Response, error) {
	if err := c.checkHead(); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		return nil, errors.Trace(err)
	}
	// http.ReadResponse accepts any three digits.
	if response.StatusCode < minStatus {
		return nil, errors.Annotatef(errStatus, "status %03d", response.StatusCode)
	}
	return response, nil
}

// checkHead waits for the head of an answer, and checks its length before it is parsed.
func (c *Conn) checkHead() error {
	if _, err := c.reader.Peek(1); err != nil {
		return errors.Trace(err)
	}
	// Almost all heads arrive at once.
	arrived, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return errors.Trace(err)
	}
	switch lines, ended := headLines(arrived); {
	case lines > maxHeadLines:
		return errors.Trace(errTooLong)
	case ended:
		return nil
	}
	return c.bufferHead()
}

// headLines returns the number of lines of the head at the beginning of b, and whether the head ends there.
func headLines(b []byte) (lines int, ended bool) {
	for {
		n := bytes.IndexByte(b, '\n')
		if n < 0 {
			return lines, false
		}
		lines++
		if isBlank(b[:n+1]) {
			return lines, true
		}
		b = b[n+1:]
	}
}

// isBlank reports whether a line with its end ends a head.
func isBlank(line []byte) bool { return string(line) == "\n" || string(line) == "\r\n" }

// bufferHead reads a head up to its end, and pushes it back.
func (c *Conn) bufferHead() error {
	var head []byte
	continued := false
	for lines := 0; ; {
		piece, err := c.reader.ReadSlice('\n')
		head = append(head, piece...)
		whole := err == nil
		if whole {
			lines++
		}
		switch {
		case len(head) > maxHeadBytes || lines > maxHeadLines:
			return errors.Trace(errTooLong)
		case !whole && !errors.Is(err, bufio.ErrBufferFull):
			return errors.Trace(err)
		case whole && !continued && isBlank(piece):
			c.pushBack(head)
			return nil
		}
		continued = !whole
	}
}

// pushBack makes the reader read b again, before what has arrived after it.
func (c *Conn) pushBack(b []byte) {
	// What is buffered can be read without the network.
	rest, _ := c.reader.Peek(c.reader.Buffered())
	c.pushedBack = bytes.NewReader(append(b, rest...))
	c.reader.Reset(io.MultiReader(c.pushedBack, c))
}

// unread returns the number of bytes that have been received and not read.
func (c *Conn) unread() int {
	if c.pushedBack == nil {
		return c.reader.Buffered()
	}
	return c.reader.Buffered() + c.pushedBack.Len()
}
