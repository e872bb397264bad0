package configurer

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"unicode"
)

// MaxProblems is the maximum number of problems in one Error.
const MaxProblems = 10

// maxMessageBytes is the maximum length of a message, which may quote the file.
const maxMessageBytes = 200

// Problem is one error in the settings.
type Problem struct {
	// Path names the field, such as "Control.ElectionTimeout" or
	// "ControlHosts[1].Address"; it is empty for the file as a whole.
	Path string

	// Line is the line in the file, counted from 1, or 0 if it is not known.
	Line int

	// Column is the column in the file, counted in bytes from 1, or 0 if it is not
	// known.
	Column int

	// Message describes the problem.
	Message string
}

// String returns the problem as "line:column: path: message", without the parts that are
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

	// Problems are the problems, sorted by line and column. There is at least one,
	// and at most MaxProblems.
	Problems []Problem

	// Omitted is the number of problems beyond MaxProblems.
	Omitted int
}

// Error returns one line per problem, which starts with the file name, and one more line
// if problems were omitted.
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

// newError returns an *Error for the problems of file, sorted and limited to MaxProblems.
// It returns nil if there are no problems.
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
	shown := problems[:min(len(problems), MaxProblems)]
	return &Error{File: file, Problems: shown, Omitted: len(problems) - len(shown)}
}

// oneLine returns s truncated to maxMessageBytes bytes, with a question mark in place of
// each character that is not printable. A message may quote the file: otherwise a line
// break or a terminal escape sequence in the file could forge log lines.
func oneLine(s string) string {
	if len(s) > maxMessageBytes {
		s = strings.ToValidUTF8(s[:maxMessageBytes], "") + "..."
	}
	return strings.Map(func(r rune) rune {
		if !unicode.IsPrint(r) {
			return '?'
		}
		return r
	}, s)
}
