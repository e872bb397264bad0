package storer

import (
	"bytes"
	"encoding/json"

	"github.com/juju/errors"
)

// jsonResource is a Resource whose spec is not yet typed.
type jsonResource struct {
	Kind     Kind
	Metadata Metadata
	Spec     json.RawMessage
}

// UnmarshalJSON decodes {"Kind": ..., "Metadata": ..., "Spec": ...}, with the
// spec's type taken from Kind. Unknown fields are refused: a mistyped one would
// otherwise be dropped in silence, and the operator would believe it in force.
func (r *Resource) UnmarshalJSON(data []byte) error {
	var j jsonResource
	if err := strictUnmarshal(data, &j); err != nil {
		return errors.Annotate(err, "decode resource")
	}
	if len(j.Spec) == 0 {
		j.Spec = json.RawMessage("{}")
	}
	spec, err := decodeSpec(j.Kind, func(v any) error { return strictUnmarshal(j.Spec, v) })
	if err != nil {
		return errors.Annotate(err, "decode spec")
	}
	*r = Resource{Kind: j.Kind, Metadata: j.Metadata, Spec: spec}
	return nil
}

// UnmarshalSpec decodes the JSON of a spec of the given kind. Unknown fields
// are refused.
func UnmarshalSpec(kind Kind, data []byte) (Spec, error) {
	return decodeSpec(kind, func(v any) error { return strictUnmarshal(data, v) })
}

func strictUnmarshal(data []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	return d.Decode(v)
}
