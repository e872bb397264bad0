package configurer

import (
	"io"
	"os"
	"reflect"
	"strings"

	"github.com/juju/errors"
	"github.com/tailscale/hujson"
)

// MaxFileBytes is the size of the largest settings file that is read. It bounds
// the depth to which a file can nest, too, since the parser recurses.
const MaxFileBytes = 256 * KiB

// Load reads the settings file at path as Parse does. A file that can't be read
// gives an *Error too.
func Load(path string) (Settings, error) {
	data, err := readFile(path)
	if err != nil {
		return Settings{}, newError(path, []Problem{{Message: "can't be read: " + reason(err)}})
	}
	return Parse(path, data)
}

// Parse reads the settings in data, checks them and puts the defaults in. The
// name is that of the file in messages. The error is an *Error with the place
// of each fault in data.
func Parse(name string, data []byte) (Settings, error) {
	if Size(len(data)) > MaxFileBytes {
		return Settings{}, newError(name, []Problem{{Message: "larger than " + MaxFileBytes.String()}})
	}
	root, err := hujson.Parse(data)
	if err != nil {
		return Settings{}, newError(name, []Problem{syntaxProblem(err)})
	}
	var s Settings
	d := &decoder{data: data, places: make(map[string]int)}
	d.value("", root, reflect.ValueOf(&s).Elem())
	found := d.problems
	checked := s.Check()
	if !touches(found, "Roles") {
		checked = append(checked, d.unread(s)...)
	}
	for _, p := range checked {
		if !touches(found, p.Path) {
			d.problems = append(d.problems, d.locate(p))
		}
	}
	if err := newError(name, d.problems); err != nil {
		return Settings{}, err
	}
	return s.WithDefaults(), nil
}

// unread returns a problem for each section of the file that belongs to a role
// that the process doesn't run. Such a section has no effect, which the operator
// who wrote it would otherwise find out only in production.
func (d *decoder) unread(s Settings) []Problem {
	var found []Problem
	for r := RoleEntry; r <= RoleControl; r++ {
		if _, ok := d.places[r.String()]; ok && !s.HasRole(r) {
			found = append(found, Problem{Path: r.String(), Message: "has no effect, since Roles doesn't name " + r.String()})
		}
	}
	return found
}

// touches reports whether one of the problems lies at path, or around or within
// it: a field that couldn't be read isn't called missing besides.
func touches(problems []Problem, path string) bool {
	for _, p := range problems {
		if within(p.Path, path) || within(path, p.Path) {
			return true
		}
	}
	return false
}

// within reports whether path is outer or lies within it.
func within(outer, path string) bool {
	rest, ok := strings.CutPrefix(path, outer)
	return ok && (outer == "" || rest == "" || rest[0] == '.' || rest[0] == '[')
}

// readFile returns the content of the file at path, of which it reads no more
// than one byte beyond MaxFileBytes.
func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, int64(MaxFileBytes)+1))
	return data, errors.Trace(err)
}

// reason returns the text of err without the path, which stands in the message
// already.
func reason(err error) string {
	var p *os.PathError
	if errors.As(err, &p) {
		return p.Err.Error()
	}
	return err.Error()
}
