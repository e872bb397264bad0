package explainer

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"slices"

	"github.com/juju/errors"
)

// maxLineBytes limits the length of a line; a longer line is broken.
const maxLineBytes = 1 << 20

// Broken is a line that could not be parsed.
type Broken struct {
	File   string
	Number int
	Cause  string
}

// String returns the file, the line number and the cause.
func (b Broken) String() string { return fmt.Sprintf("%s:%d: %s", b.File, b.Number, b.Cause) }

// Log contains the log lines of a deployment.
type Log struct {
	// Lines are sorted by time after a call of Sort.
	Lines []Line
	// Others is the number of lines without a JSON object.
	Others int
	// Skipped is the number of lines that could not be parsed, and Broken contains the
	// first maxBrokenLines of them.
	Skipped int
	Broken  []Broken
}

// maxBrokenLines is the number of broken lines that a Log describes.
const maxBrokenLines = 10

// Read adds the lines of one file. Lines that can't be parsed are counted and skipped. It
// returns an error if the file can't be read.
func (l *Log) Read(name string, from io.Reader) error {
	reader := bufio.NewReaderSize(from, maxLineBytes)
	for number := 1; ; number++ {
		text, err := reader.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			l.addBroken(Broken{File: name, Number: number, Cause: "the line is too long"})
			for errors.Is(err, bufio.ErrBufferFull) {
				_, err = reader.ReadSlice('\n')
			}
			text = nil
		}
		if len(text) > 0 {
			l.addLine(name, number, text)
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return errors.Annotatef(err, "%s:%d", name, number)
		}
	}
}

func (l *Log) addLine(name string, number int, text []byte) {
	line, ok, err := parseLine(text)
	switch {
	case err != nil:
		l.addBroken(Broken{File: name, Number: number, Cause: err.Error()})
	case !ok:
		l.Others++
	default:
		line.Text = slices.Clone(line.Text)
		l.Lines = append(l.Lines, line)
	}
}

func (l *Log) addBroken(b Broken) {
	l.Skipped++
	if len(l.Broken) < maxBrokenLines {
		l.Broken = append(l.Broken, b)
	}
}

// Sort sorts the lines of all files by time.
func (l *Log) Sort() {
	slices.SortStableFunc(l.Lines, func(a, b Line) int { return cmp.Compare(a.At, b.At) })
}

// Request returns the lines of one request, in the order of Lines.
func (l *Log) Request(id string) []Line {
	var lines []Line
	for _, line := range l.Lines {
		if line.Request == id {
			lines = append(lines, line)
		}
	}
	return lines
}
