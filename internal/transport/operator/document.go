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

// Length limits of a caller's bearer key in plain text, in bytes.
const (
	minSecretBytes = 16
	maxSecretBytes = 512
)

// Document is a resource as returned to operators.
type Document struct {
	Kind     storer.Kind
	Metadata storer.Metadata
	Spec     storer.Spec
	// Status describes how far the revision is in force.
	Status *Status `json:",omitempty"`
}

// Status describes how far a resource's revision is in force.
type Status struct {
	// InForce means that at least one node is known, and all known nodes hold the
	// revision.
	InForce bool
	// Holding and Lacking count the known nodes that hold the revision and those that do
	// not.
	Holding int
	Lacking int
	// Missing lists nodes that do not hold the revision, those longest behind first, up
	// to a limit.
	Missing []Node `json:",omitempty"`
	// Unreachable names the control hosts that did not answer; their nodes are in neither
	// count.
	Unreachable []string `json:",omitempty"`
	// Problem is the reason why the status is unknown.
	Problem string `json:",omitempty"`
}

// Node is a node that lacks a revision.
type Node struct {
	Name          string
	FailureDomain string
	// Revision is the revision that the node holds.
	Revision  uint64
	Connected bool
	// Since is the time at which the node was last known to be up to date.
	Since time.Time
}

// List is a list or a page of resources.
type List struct {
	Kind      storer.Kind
	Workspace string `json:",omitempty"`
	// Revision is the revision after which a watch can continue.
	Revision uint64
	Items    []Document
	// Continue is the value of the query parameter for the next page; empty at the end of
	// the list.
	Continue string `json:",omitempty"`
}

// Deletion is the response to a DELETE.
type Deletion struct {
	// Revision is the revision of the deletion.
	Revision uint64
	// Last is the resource before its deletion.
	Last *storer.Resource
}

func newDocument(r storer.Resource) Document {
	return Document{Kind: r.Kind, Metadata: r.Metadata, Spec: r.Spec}
}

// UnmarshalJSON decodes a document; Kind determines the type of Spec.
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

// putBody is the body of a PUT. Fields that repeat the path are optional, and validated
// if present, so that a document can be read, edited and put back.
type putBody struct {
	Kind     *storer.Kind
	Metadata storer.Metadata
	Spec     json.RawMessage
	// Status is ignored; it is present in documents that were read.
	Status json.RawMessage
}

// keyBody is the spec of a key as sent by operators.
type keyBody struct {
	// Secret is the bearer key in plain text. Only its hash is stored.
	Secret   string
	Hash     string
	Disabled bool
}

// parseBody returns the resource that data declares at key, with the revision in the
// body, or 0 if it has none.
func parseBody(key storer.Key, data []byte) (storer.Resource, error) {
	var b putBody
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
		// The error could quote the body, and a secret must not be returned.
		return nil, errors.New("the fields are Secret or Hash, and Disabled")
	}
	if k.Secret == "" {
		return storer.KeySpec{Hash: k.Hash, Disabled: k.Disabled}, nil
	}
	if len(k.Secret) < minSecretBytes || len(k.Secret) > maxSecretBytes {
		return nil, errors.Errorf("Secret of %d bytes; %d to %d are allowed", len(k.Secret), minSecretBytes, maxSecretBytes)
	}
	sum := sha256.Sum256([]byte(k.Secret))
	hash := hex.EncodeToString(sum[:])
	if k.Hash != "" && k.Hash != hash {
		return nil, errors.New("Hash is not that of Secret")
	}
	return storer.KeySpec{Hash: hash, Disabled: k.Disabled}, nil
}

// newStatus converts a tally to the status shown to operators.
func newStatus(now time.Time, f distributor.InForce) *Status {
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
