package configurer

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"unicode"
)

// MaxProblems is the number of problems that one Error names at most.
const MaxProblems = 10

// maxMessage bounds the length in bytes of a message, which may quote the file.
const maxMessage = 200

// Problem is one fault of the settings.
type Problem struct {
	// Path names the field, such as "Control.ElectionTimeout" or
	// "ControlHosts[1].Address"; empty for the file as a whole.
	Path string

	// Line is the line in the file, counted from 1; 0 where there is no file.
	Line int

	// Column is the column in the file, counted in bytes from 1; 0 where there
	// is no file.
	Column int

	// Message says what is wrong.
	Message string
}

// String returns the problem as "line:column: path: message", without what is
// not known.
func (p Problem) String() string {
	var b strings.Builder
	if p.Line > 0 {
		b.WriteString(strconv.Itoa(p.Line) + ":" + strconv.Itoa(p.Column) + ": ")
	}
	if p.Path != "" {
		b.WriteString(p.Path + ": ")
	}
	b.WriteString(p.Message)
	return b.String()
}

// Error is returned for settings with problems.
type Error struct {
	// File is the name of the settings file.
	File string

	// Problems are the faults by their place in the file; never empty, and at
	// most MaxProblems.
	Problems []Problem

	// Omitted is the number of faults beyond MaxProblems.
	Omitted int
}

// Error returns one line for each problem, each beginning with the file's name,
// and one more where problems were left out.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	for _, p := range e.Problems {
		sep := ":"
		if p.Line == 0 {
			sep = ": "
		}
		lines = append(lines, e.File+sep+p.String())
	}
	if e.Omitted > 0 {
		lines = append(lines, e.File+": and "+strconv.Itoa(e.Omitted)+" more")
	}
	return strings.Join(lines, "\n")
}

// newError returns the Error for the problems of file, sorted by place and cut
// to MaxProblems; nil without problems.
func newError(file string, problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	for i := range problems {
		problems[i].Message = oneLine(problems[i].Message)
		problems[i].Path = oneLine(problems[i].Path)
	}
	slices.SortStableFunc(problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	kept := problems[:min(len(problems), MaxProblems)]
	return &Error{File: file, Problems: kept, Omitted: len(problems) - len(kept)}
}

// oneLine returns s cut to maxMessage bytes, with a question mark in place of
// each character that isn't printable. A message may quote the file; without
// this, a line break or a terminal sequence in the file would forge lines of
// the log.
func oneLine(s string) string {
	if len(s) > maxMessage {
		s = strings.ToValidUTF8(s[:maxMessage], "") + "..."
	}
	return strings.Map(func(r rune) rune {
		if !unicode.IsPrint(r) {
			return '?'
		}
		return r
	}, s)
}
