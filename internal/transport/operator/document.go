package operator

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// Bounds of a caller's bearer key given in clear, in bytes.
const (
	minSecret = 16
	maxSecret = 512
)

// Document is a resource as operators read it.
type Document struct {
	Kind     storer.Kind
	Metadata storer.Metadata
	Spec     storer.Spec
	// Status tells how far the revision is in force.
	Status *Status `json:",omitempty"`
}

// Status tells how far a resource's revision is in force.
type Status struct {
	// InForce means that every node known, and at least one, holds the revision.
	InForce bool
	// Holding and Lacking count the nodes that hold the revision and those known
	// that don't.
	Holding int
	Lacking int
	// Missing lists nodes that don't, longest behind first, up to a limit.
	Missing []Node `json:",omitempty"`
	// Unreachable names the control hosts which did not answer; the nodes behind
	// them are in neither count.
	Unreachable []string `json:",omitempty"`
	// Problem tells why the status is not known.
	Problem string `json:",omitempty"`
}

// Node is a node that lacks a revision.
type Node struct {
	Name          string
	FailureDomain string
	// Revision is what the node holds.
	Revision  uint64
	Connected bool
	// Since is when the node was last known to hold all there was.
	Since time.Time
}

// List is a list of resources.
type List struct {
	Kind      storer.Kind
	Workspace string `json:",omitempty"`
	// Revision is the one from which a watch may go on.
	Revision uint64
	Items    []Document
	// Continue is the query parameter for the rest of the list; empty at its
	// end.
	Continue string `json:",omitempty"`
}

// Deletion is the answer to a DELETE.
type Deletion struct {
	// Revision is that of the deletion.
	Revision uint64
	// Last is the resource as it was.
	Last *storer.Resource
}

func documentOf(r storer.Resource) Document {
	return Document{Kind: r.Kind, Metadata: r.Metadata, Spec: r.Spec}
}

// UnmarshalJSON decodes a document, with the spec's type taken from Kind.
func (d *Document) UnmarshalJSON(data []byte) error {
	var j struct {
		Kind     storer.Kind
		Metadata storer.Metadata
		Spec     json.RawMessage
		Status   *Status
	}
	if err := json.Unmarshal(data, &j); err != nil {
		return errors.Trace(err)
	}
	spec, err := storer.UnmarshalSpec(j.Kind, j.Spec)
	if err != nil {
		return errors.Annotate(err, "Spec")
	}
	*d = Document{Kind: j.Kind, Metadata: j.Metadata, Spec: spec, Status: j.Status}
	return nil
}

// body is a PUT's body. What repeats the path may be left out, and is checked
// where it is given, so that a document can be read, edited and put back.
type body struct {
	Kind     *storer.Kind
	Metadata storer.Metadata
	Spec     json.RawMessage
	// Status is what was read; it is not written.
	Status json.RawMessage
}

// keyBody is the spec of a key as operators send it.
type keyBody struct {
	// Secret is the bearer key in clear. Only its hash is kept.
	Secret   string
	Hash     string
	Disabled bool
}

// parseBody returns the resource which data declares at key, with the revision
// that the body names, or 0.
func parseBody(key storer.Key, data []byte) (storer.Resource, error) {
	var b body
	if err := storer.UnmarshalStrict(data, &b); err != nil {
		return storer.Resource{}, errors.Annotate(err, "body")
	}
	switch {
	case b.Kind != nil && *b.Kind != key.Kind:
		return storer.Resource{}, errors.Errorf("Kind is %v, the path that of a %v", *b.Kind, key.Kind)
	case b.Metadata.Workspace != "" && b.Metadata.Workspace != key.Workspace:
		return storer.Resource{}, errors.Errorf("Metadata.Workspace is %q, that of the path %q", b.Metadata.Workspace, key.Workspace)
	case b.Metadata.Name != "" && b.Metadata.Name != key.Name:
		return storer.Resource{}, errors.Errorf("Metadata.Name is %q, that of the path %q", b.Metadata.Name, key.Name)
	case len(b.Spec) == 0:
		return storer.Resource{}, errors.New("the body has no Spec")
	}
	spec, err := parseSpec(key.Kind, b.Spec)
	if err != nil {
		return storer.Resource{}, errors.Annotate(err, "Spec")
	}
	r := storer.Resource{Kind: key.Kind, Metadata: storer.Metadata{Workspace: key.Workspace, Name: key.Name}, Spec: spec}
	if err := storer.Validate(r); err != nil {
		return storer.Resource{}, errors.Trace(err)
	}
	r.Metadata.Revision = b.Metadata.Revision
	return r, nil
}

func parseSpec(kind storer.Kind, data []byte) (storer.Spec, error) {
	if kind != storer.KindKey {
		return storer.UnmarshalSpec(kind, data)
	}
	var k keyBody
	if err := storer.UnmarshalStrict(data, &k); err != nil {
		// The error may quote the body: a secret must not get into an answer.
		return nil, errors.New("the fields are Secret or Hash, and Disabled")
	}
	if k.Secret == "" {
		return storer.KeySpec{Hash: k.Hash, Disabled: k.Disabled}, nil
	}
	if len(k.Secret) < minSecret || len(k.Secret) > maxSecret {
		return nil, errors.Errorf("Secret of %d bytes; %d to %d are allowed", len(k.Secret), minSecret, maxSecret)
	}
	sum := sha256.Sum256([]byte(k.Secret))
	hash := hex.EncodeToString(sum[:])
	if k.Hash != "" && k.Hash != hash {
		return nil, errors.New("Hash is not that of Secret")
	}
	return storer.KeySpec{Hash: hash, Disabled: k.Disabled}, nil
}

// statusOf returns what operators see of a tally.
func statusOf(now time.Time, f distributor.InForce) *Status {
	s := &Status{
		InForce:     f.Holding > 0 && f.Lacking == 0 && len(f.Unreachable) == 0,
		Holding:     f.Holding,
		Lacking:     f.Lacking,
		Unreachable: f.Unreachable,
	}
	for _, m := range f.Missing {
		s.Missing = append(s.Missing, Node{
			Name:          m.Node,
			FailureDomain: m.FailureDomain,
			Revision:      m.Revision,
			Connected:     m.Connected,
			Since:         now.Add(-time.Duration(m.BehindMillis) * time.Millisecond).UTC(),
		})
	}
	return s
}
