package operator

import (
	"bytes"
	"encoding/json"
	"testing"

	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// FuzzParseBody checks that every accepted resource is valid, has the key of the path,
// and contains no secret.
func FuzzParseBody(f *testing.F) {
	for _, body := range []string{
		titleBody,
		`{"Kind":"Key","Metadata":{"Name":"title"},"Spec":{"Secret":"sixteen bytes or more"}}`,
		`{"Spec":{"Source":"s","SizeBytes":-1}}`,
		`{"Spec":{"Priority":1e3}}`,
		`{"Spec":null}`,
		`[`,
	} {
		for kind := storer.KindWorkspace; kind <= storer.KindKey; kind++ {
			f.Add(int(kind), []byte(body))
		}
	}
	f.Fuzz(func(t *testing.T, kind int, data []byte) {
		key := storer.Key{Kind: storer.Kind(kind), Workspace: "title", Name: "title"}
		r, err := parseBody(key, data)
		if err != nil {
			return
		}
		if err := storer.Validate(r); err != nil || r.Key() != key {
			t.Fatalf("accepted %+v at %+v: %v", r, key, err)
		}
		var sent struct{ Spec struct{ Secret string } }
		text, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		if json.Unmarshal(data, &sent) == nil && sent.Spec.Secret != "" && bytes.Contains(text, []byte(sent.Spec.Secret)) {
			t.Fatalf("%s contains the secret", text)
		}
	})
}
