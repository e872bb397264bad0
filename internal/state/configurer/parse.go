package configurer

import (
	"io"
	"os"
	"reflect"
	"strings"

	"github.com/juju/errors"
	"github.com/tailscale/hujson"
)

// MaxFileBytes is the maximum size of a settings file. It also limits the nesting depth,
// which matters because the parser is recursive.
const MaxFileBytes = 256 * KiB

// Load reads the settings file at path and parses it as Parse does. The error is an
// *Error, also if the file can't be read.
func Load(path string) (Settings, error) {
	data, err := readFile(path)
	if err != nil {
		return Settings{}, newError(path, []Problem{{Message: "can't be read: " + reasonWithoutPath(err)}})
	}
	return Parse(path, data)
}

// Parse parses the settings in data, checks them and fills in the defaults. The name is
// the file name used in messages. The error is an *Error with the line and column of
// each problem in data.
func Parse(name string, data []byte) (Settings, error) {
	if Size(len(data)) > MaxFileBytes {
		return Settings{}, newError(name, []Problem{{Message: "larger than " + MaxFileBytes.String()}})
	}
	root, err := hujson.Parse(data)
	if err != nil {
		return Settings{}, newError(name, []Problem{syntaxProblem(err)})
	}
	var s Settings
	d := &decoder{data: data, offsets: make(map[string]int)}
	d.value("", root, reflect.ValueOf(&s).Elem())
	decodeProblems := d.problems
	checkProblems := s.Check()
	if !overlapsAny(decodeProblems, "Roles") {
		checkProblems = append(checkProblems, d.unusedSections(s)...)
	}
	for _, p := range checkProblems {
		if !overlapsAny(decodeProblems, p.Path) {
			d.problems = append(d.problems, d.withLocation(p))
		}
	}
	if err := newError(name, d.problems); err != nil {
		return Settings{}, err
	}
	return s.WithDefaults(), nil
}

// unusedSections returns a problem for each section of the file that belongs to a role
// the process does not have. Such a section has no effect, which its author would
// otherwise discover only in production.
func (d *decoder) unusedSections(s Settings) []Problem {
	var found []Problem
	for r := RoleEntry; r <= RoleControl; r++ {
		if _, ok := d.offsets[r.String()]; ok && !s.HasRole(r) {
			found = append(found, Problem{Path: r.String(), Message: "has no effect, since Roles doesn't name " + r.String()})
		}
	}
	return found
}

// overlapsAny reports whether the path of one of the problems is equal to path, contains
// it, or is contained in it. It avoids reporting a field that could not be decoded as
// missing as well.
func overlapsAny(problems []Problem, path string) bool {
	for _, p := range problems {
		if containsPath(p.Path, path) || containsPath(path, p.Path) {
			return true
		}
	}
	return false
}

// containsPath reports whether path is equal to outer or is contained in it.
func containsPath(outer, path string) bool {
	rest, ok := strings.CutPrefix(path, outer)
	return ok && (outer == "" || rest == "" || rest[0] == '.' || rest[0] == '[')
}

// readFile returns the contents of the file at path. It reads at most MaxFileBytes and
// one more byte, by which Parse recognizes a file that is too large.
func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, int64(MaxFileBytes)+1))
	return data, errors.Trace(err)
}

// reasonWithoutPath returns the text of err without the path, which the message already
// contains.
func reasonWithoutPath(err error) string {
	var p *os.PathError
	if errors.As(err, &p) {
		return p.Err.Error()
	}
	return err.Error()
}
