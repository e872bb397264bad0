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

// decoder puts the tree of a settings file into a struct. It differs from
// encoding/json by what it refuses (unknown and doubled fields, names in another
// case, nulls) and by going on after a fault, with the place of each.
type decoder struct {
	data     []byte
	problems []Problem

	// places holds the offset in data of each value by its field path.
	places map[string]int
}

// object puts the members of o into the struct s.
func (d *decoder) object(path string, o *hujson.Object, s reflect.Value) {
	seen := make(map[string]bool, len(o.Members))
	for _, m := range o.Members {
		name := m.Name.Value.(hujson.Literal).String()
		field := join(path, name)
		f, ok := s.Type().FieldByName(name)
		switch {
		case seen[name]:
			d.fault(field, m.Name.StartOffset, "field given twice")
		case !ok || !f.IsExported():
			d.fault(field, m.Name.StartOffset, "unknown field")
		default:
			d.value(field, m.Value, s.FieldByIndex(f.Index))
		}
		seen[name] = true
	}
}

// value puts v into the settable value into, by the kind of the latter.
func (d *decoder) value(path string, v hujson.Value, into reflect.Value) {
	d.places[path] = v.StartOffset
	if want := wanted(into); want != given(v.Value.Kind()) {
		d.fault(path, v.StartOffset, "%s where %s%s is wanted", given(v.Value.Kind()), want, unit(into))
		return
	}
	switch n := v.Value.(type) {
	case *hujson.Object:
		d.object(path, n, into)
	case *hujson.Array:
		into.Set(reflect.MakeSlice(into.Type(), len(n.Elements), len(n.Elements)))
		for i, e := range n.Elements {
			d.value(path+"["+strconv.Itoa(i)+"]", e, into.Index(i))
		}
	case hujson.Literal:
		d.literal(path, v.StartOffset, n, into)
	}
}

// literal puts l, which has the kind that into wants, into it.
func (d *decoder) literal(path string, offset int, l hujson.Literal, into reflect.Value) {
	if t, ok := into.Addr().Interface().(encoding.TextUnmarshaler); ok {
		if err := t.UnmarshalText([]byte(l.String())); err != nil {
			d.fault(path, offset, "%v", err)
		}
		return
	}
	if json.Unmarshal(l, into.Addr().Interface()) != nil {
		d.fault(path, offset, "%s is out of range or no whole number", l)
	}
}

// fault adds a problem at offset.
func (d *decoder) fault(path string, offset int, format string, args ...any) {
	p := Problem{Path: path, Message: fmt.Sprintf(format, args...)}
	p.Line, p.Column = lineColumn(d.data, offset)
	d.problems = append(d.problems, p)
}

// locate sets the place of p: that of its field, or of the nearest value around
// it where the file doesn't give the field.
func (d *decoder) locate(p Problem) Problem {
	path := p.Path
	for {
		if offset, ok := d.places[path]; ok {
			p.Line, p.Column = lineColumn(d.data, offset)
			return p
		}
		path = parent(path)
	}
}

// The kinds of values, as the messages name them.
const (
	kindObject = "an object"
	kindArray  = "an array"
	kindString = "a string"
	kindNumber = "a number"
	kindBool   = "true or false"
	kindNull   = "null"
)

// given names the kind of a value in the file.
func given(k hujson.Kind) string {
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

// wanted names the kind of value that belongs into v. It panics on a type that
// no settings field has.
func wanted(v reflect.Value) string {
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

// unit tells, after kindString, how a value of the type of v is written.
func unit(v reflect.Value) string {
	switch v.Interface().(type) {
	case Duration:
		return ` with its unit, such as "250ms",`
	case Size:
		return ` with its unit, such as "64MiB",`
	default:
		return ""
	}
}

// syntaxProblem returns the problem for an error of hujson.Parse, which carries
// the place only in its text.
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

// lineColumn returns the line and the column of offset in data, both from 1.
func lineColumn(data []byte, offset int) (line, column int) {
	before := data[:offset]
	return 1 + bytes.Count(before, []byte{'\n'}), offset - bytes.LastIndexByte(before, '\n')
}

// join returns the path of the field name within path.
func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// parent returns the path of the value that holds the one at path; empty for
// the file as a whole.
func parent(path string) string {
	for i := len(path) - 1; i >= 0; i-- {
		if path[i] == '.' || path[i] == '[' {
			return path[:i]
		}
	}
	return ""
}
