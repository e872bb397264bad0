package storer

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"

	"github.com/juju/errors"
)

// jsonResource is a Resource whose spec is not decoded yet.
type jsonResource struct {
	Kind     Kind
	Metadata Metadata
	Spec     json.RawMessage
}

// UnmarshalJSON decodes {"Kind": ..., "Metadata": ..., "Spec": ...}. Kind
// determines the type of the spec. Unknown fields are an error: otherwise a
// misspelled field would be ignored silently, and the operator would assume that
// it is in force.
func (r *Resource) UnmarshalJSON(data []byte) error {
	var j jsonResource
	if err := UnmarshalStrict(data, &j); err != nil {
		return errors.Annotate(err, "decode resource")
	}
	if len(j.Spec) == 0 {
		j.Spec = json.RawMessage("{}")
	}
	spec, err := decodeSpec(j.Kind, func(v any) error { return UnmarshalStrict(j.Spec, v) })
	if err != nil {
		return errors.Annotate(err, "decode spec")
	}
	*r = Resource{Kind: j.Kind, Metadata: j.Metadata, Spec: spec}
	return nil
}

// UnmarshalSpec decodes the JSON of a spec of the given kind. Unknown fields
// are an error.
func UnmarshalSpec(kind Kind, data []byte) (Spec, error) {
	return decodeSpec(kind, func(v any) error { return UnmarshalStrict(data, v) })
}

// UnmarshalStrict decodes one JSON value. Unknown fields, duplicate fields and text
// after the value are errors. The standard library uses the last of duplicate
// fields, but an operator may mean the first.
func UnmarshalStrict(data []byte, v any) error {
	if err := checkFields(json.NewDecoder(bytes.NewReader(data))); err != nil {
		return errors.Trace(err)
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	return errors.Trace(d.Decode(v))
}

// checkFields reads one value and checks that no object in it has duplicate fields
// and that no text follows it.
func checkFields(d *json.Decoder) error {
	if err := checkValue(d, 0); err != nil {
		return errors.Trace(err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("text after the JSON value")
	}
	return nil
}

func checkValue(d *json.Decoder, depth int) error {
	token, err := d.Token()
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return errors.Annotate(err, "JSON")
	}
	opening, ok := token.(json.Delim)
	if !ok {
		return nil
	}
	if depth == maxNesting {
		return errors.Errorf("JSON is more than %d levels deep", maxNesting)
	}
	names := map[string]struct{}{}
	for d.More() {
		if opening == '{' {
			if err := checkName(d, names); err != nil {
				return errors.Trace(err)
			}
		}
		if err := checkValue(d, depth+1); err != nil {
			return errors.Trace(err)
		}
	}
	_, err = d.Token()
	return errors.Annotate(err, "JSON")
}

// checkName reads a field's name and checks that it is not in names yet. The
// standard library treats names that differ only in case as the same field.
func checkName(d *json.Decoder, names map[string]struct{}) error {
	token, err := d.Token()
	if err != nil {
		return errors.Annotate(err, "JSON")
	}
	name, _ := token.(string)
	// Converting to upper case first makes letters with two lower-case forms equal.
	folded := strings.ToLower(strings.ToUpper(name))
	if _, ok := names[folded]; ok {
		return errors.Errorf("field %.40q is given twice", name)
	}
	names[folded] = struct{}{}
	return nil
}
