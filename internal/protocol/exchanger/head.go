package exchanger

import (
	"bufio"
	"bytes"
	"io"
	"net/http"

	"github.com/juju/errors"
	"golang.org/x/net/http/httpguts"
)

const (
	// maxHeadBytes and maxHeadLines bound the head of an answer. A parsed field takes many times the bytes
	// of a short line.
	maxHeadBytes = 16 << 10
	maxHeadLines = 128
	// maxQuoted is the number of characters that an error quotes of a malformed head.
	maxQuoted = 64
)

// minStatus is the lowest status (RFC 9110, section 15).
const minStatus = http.StatusContinue

// readResponse reads the head of an answer. DefectOf returns why a head is refused.
func (c *Conn) readResponse(request *http.Request) (*http.Response, error) {
	if err := c.checkLines(); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		return nil, errors.Annotatef(errSyntax, "%.*s", maxQuoted, err.Error())
	}
	return response, CheckHead(response.StatusCode, response.Header)
}

// CheckHead returns an error, whose defect DefectOf returns, for the head of an answer that net/http accepts
// although it is malformed: net/http reads any three digits as a status, and keeps names with blanks, so that such
// fields are not found by their names.
func CheckHead(status int, header http.Header) error {
	if status < minStatus {
		return errors.Annotatef(errStatus, "status %03d", status)
	}
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Annotatef(errFieldName, "%.*q", maxQuoted, name)
		}
	}
	return nil
}

// checkLines waits for the head of an answer, and checks its lines before it is parsed.
func (c *Conn) checkLines() error {
	if _, err := c.reader.Peek(1); err != nil {
		return errors.Trace(err)
	}
	// Almost all heads arrive at once.
	arrived, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return errors.Trace(err)
	}
	var checker lineChecker
	for {
		n := bytes.IndexByte(arrived, '\n')
		if n < 0 {
			return c.bufferHead()
		}
		if ended, err := checker.add(arrived[:n+1]); ended || err != nil {
			return err
		}
		arrived = arrived[n+1:]
	}
}

// bufferHead reads and checks a head up to its end, and pushes it back.
func (c *Conn) bufferHead() error {
	var head []byte
	var checker lineChecker
	for line := 0; ; {
		piece, err := c.reader.ReadSlice('\n')
		head = append(head, piece...)
		switch {
		case len(head) > maxHeadBytes:
			return errors.Trace(errTooLong)
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err != nil:
			return errors.Trace(err)
		}
		ended, err := checker.add(head[line:])
		if err != nil {
			return err
		}
		if ended {
			c.pushBack(head)
			return nil
		}
		line = len(head)
	}
}

// lineChecker checks the lines of a head.
type lineChecker struct {
	// lines is the number of lines checked.
	lines int
}

// add checks the next line, including its end, and reports whether the head ends with it. It returns errTooLong
// after maxHeadLines, and errFieldName for a line that begins with a blank. A gateway may refuse such a line, which
// continues the field before it (RFC 9112, section 5.2).
func (l *lineChecker) add(line []byte) (ended bool, err error) {
	l.lines++
	switch {
	case l.lines > maxHeadLines:
		return false, errors.Trace(errTooLong)
	case line[0] == ' ' || line[0] == '\t':
		return false, errors.Annotatef(errFieldName, "%.*q", maxQuoted, line)
	}
	return string(line) == "\n" || string(line) == "\r\n", nil
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
