package distributor

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// Packed is the encoded form of a Delta sent to a node. A delta goes to every entry, so
// the cost of encoding and decoding is multiplied by the number of entries. CBOR within
// the JSON message is cheaper in both than JSON throughout; for the measurement see
// docs/design/050-distribution.md.
type Packed struct{ Data []byte }

// wireDelta is the encoding of a Delta. The meaning of the keys must never change.
type wireDelta struct {
	Reset     bool              `cbor:"1,keyasint,omitempty"`
	Last      bool              `cbor:"2,keyasint,omitempty"`
	From      uint64            `cbor:"3,keyasint,omitempty"`
	UpTo      uint64            `cbor:"4,keyasint"`
	Changes   []wireChange      `cbor:"5,keyasint,omitempty"`
	Resources []storer.Resource `cbor:"6,keyasint,omitempty"`
}

// wireChange is the encoding of a storer.Change. Its revision is that of the resource
// unless the resource was deleted.
type wireChange struct {
	_        struct{} `cbor:",toarray"`
	Revision uint64
	Resource storer.Resource
	Deleted  bool
}

// Pack encodes d for sending to a node.
func Pack(d Delta) (Packed, error) {
	w := wireDelta{Reset: d.Reset, Last: d.Last, From: d.From, UpTo: d.UpTo, Resources: d.Resources}
	for _, c := range d.Changes {
		w.Changes = append(w.Changes, wireChange{Revision: c.Revision, Resource: c.Resource, Deleted: c.Deleted})
	}
	data, err := cbor.Marshal(w)
	return Packed{Data: data}, errors.Annotatef(err, "pack delta from %d to %d", d.From, d.UpTo)
}

// Unpack decodes a Delta encoded by Pack.
func (p Packed) Unpack() (Delta, error) {
	var w wireDelta
	if err := cbor.Unmarshal(p.Data, &w); err != nil {
		return Delta{}, errors.Annotate(err, "unpack delta")
	}
	d := Delta{Reset: w.Reset, Last: w.Last, From: w.From, UpTo: w.UpTo, Resources: w.Resources}
	for _, c := range w.Changes {
		d.Changes = append(d.Changes, storer.Change{Revision: c.Revision, Resource: c.Resource, Deleted: c.Deleted})
	}
	return d, nil
}
