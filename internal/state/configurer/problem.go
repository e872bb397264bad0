package configurer

import (
	"strconv"
	"strings"
)

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
}

// Error returns one line for each problem, each beginning with the file's name.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = e.File + ":" + p.String()
		if p.Line == 0 {
			lines[i] = e.File + ": " + p.String()
		}
	}
	return strings.Join(lines, "\n")
}
