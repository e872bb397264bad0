package configurer

import (
	"bytes"
	"encoding"
	"encoding/json"
	stderrors "errors"
	"fmt"
	"reflect"
	"strconv"

	"github.com/tailscale/hujson"
)

// decoder decodes the syntax tree of a settings file into a struct. Unlike encoding/json
// it refuses unknown and duplicate fields, names in a different case, and nulls. It
// continues after an error and records the location of each.
type decoder struct {
	data     []byte
	problems []Problem

	// offsets contains the offset in data of each value by its field path.
	offsets map[string]int
}

// object decodes the members of o into the struct target.
func (d *decoder) object(path string, o *hujson.Object, target reflect.Value) {
	seen := make(map[string]bool, len(o.Members))
	for _, m := range o.Members {
		name := m.Name.Value.(hujson.Literal).String()
		field := joinPath(path, name)
		f, ok := target.Type().FieldByName(name)
		switch {
		case seen[name]:
			d.addProblem(field, m.Name.StartOffset, "field given twice")
		case !ok || !f.IsExported():
			d.addProblem(field, m.Name.StartOffset, "unknown field")
		default:
			d.value(field, m.Value, target.FieldByIndex(f.Index))
		}
		seen[name] = true
	}
}

// value decodes v into the settable value target, according to the kind of target.
func (d *decoder) value(path string, v hujson.Value, target reflect.Value) {
	d.offsets[path] = v.StartOffset
	if want := expectedKind(target); want != actualKind(v.Value.Kind()) {
		d.addProblem(path, v.StartOffset, "%s where %s%s is wanted", actualKind(v.Value.Kind()), want, unitHint(target))
		return
	}
	switch n := v.Value.(type) {
	case *hujson.Object:
		d.object(path, n, target)
	case *hujson.Array:
		target.Set(reflect.MakeSlice(target.Type(), len(n.Elements), len(n.Elements)))
		for i, e := range n.Elements {
			d.value(path+"["+strconv.Itoa(i)+"]", e, target.Index(i))
		}
	case hujson.Literal:
		d.literal(path, v.StartOffset, n, target)
	}
}

// literal decodes l, whose kind has been checked, into target.
func (d *decoder) literal(path string, offset int, l hujson.Literal, target reflect.Value) {
	if t, ok := target.Addr().Interface().(encoding.TextUnmarshaler); ok {
		if err := t.UnmarshalText([]byte(l.String())); err != nil {
			d.addProblem(path, offset, "%v", err)
		}
		return
	}
	if json.Unmarshal(l, target.Addr().Interface()) != nil {
		d.addProblem(path, offset, "%s is out of range or no whole number", l)
	}
}

// addProblem adds a problem of the field at path, located at offset in the file.
func (d *decoder) addProblem(path string, offset int, format string, args ...any) {
	p := Problem{Path: path, Message: fmt.Sprintf(format, args...)}
	p.Line, p.Column = lineColumn(d.data, offset)
	d.problems = append(d.problems, p)
}

// withLocation returns p with the line and column of its field, or of the innermost
// enclosing value if the file does not contain the field.
func (d *decoder) withLocation(p Problem) Problem {
	path := p.Path
	for {
		if offset, ok := d.offsets[path]; ok {
			p.Line, p.Column = lineColumn(d.data, offset)
			return p
		}
		path = parentPath(path)
	}
}

// Kinds of values, as named in messages.
const (
	kindObject = "an object"
	kindArray  = "an array"
	kindString = "a string"
	kindNumber = "a number"
	kindBool   = "true or false"
	kindNull   = "null"
)

// actualKind returns the name of the kind of a value in the file.
func actualKind(k hujson.Kind) string {
	switch k {
	case '{':
		return kindObject
	case '[':
		return kindArray
	case '"':
		return kindString
	case '0':
		return kindNumber
	case 't', 'f':
		return kindBool
	default:
		return kindNull
	}
}

// expectedKind returns the name of the kind of value that v can be decoded from. It
// panics on a type that no settings field has.
func expectedKind(v reflect.Value) string {
	if _, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		return kindString
	}
	switch v.Kind() {
	case reflect.Struct:
		return kindObject
	case reflect.Slice:
		return kindArray
	case reflect.String:
		return kindString
	case reflect.Bool:
		return kindBool
	case reflect.Int, reflect.Int64, reflect.Uint64, reflect.Float64:
		return kindNumber
	default:
		panic("configurer: field of a type without a form in the file")
	}
}

// unitHint returns the part of a message, after kindString, that describes the form of a
// value of the type of v.
func unitHint(v reflect.Value) string {
	switch v.Interface().(type) {
	case Duration:
		return ` with its unit, such as "250ms",`
	case Size:
		return ` with its unit, such as "64MiB",`
	default:
		return ""
	}
}

// syntaxProblem returns the problem for an error of hujson.Parse, which contains the line
// and column only in its text.
func syntaxProblem(err error) Problem {
	p := Problem{Message: err.Error()}
	if _, e := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &p.Line, &p.Column); e != nil {
		return p
	}
	if cause := stderrors.Unwrap(err); cause != nil {
		p.Message = cause.Error()
	}
	return p
}

// lineColumn returns the line and the column, in bytes, of offset in data, both counted
// from 1.
func lineColumn(data []byte, offset int) (line, column int) {
	before := data[:offset]
	return 1 + bytes.Count(before, []byte{'\n'}), offset - bytes.LastIndexByte(before, '\n')
}

// joinPath returns the path of the field name in the object at path.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// parentPath returns the path of the value that contains the one at path; it is empty for
// the file as a whole.
func parentPath(path string) string {
	for i := len(path) - 1; i >= 0; i-- {
		if path[i] == '.' || path[i] == '[' {
			return path[:i]
		}
	}
	return ""
}
