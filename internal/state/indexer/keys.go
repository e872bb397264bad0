package indexer

import (
	"crypto/subtle"
	"encoding/binary"
	"strings"
	"sync"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// KeyHolder tells whose a bearer key is.
type KeyHolder struct {
	Workspace string
	Name      string
	Disabled  bool
}

// keyName names a key's resource.
type keyName struct{ workspace, name string }

// heldKey is a caller's key.
type heldKey struct {
	hash   [32]byte
	holder KeyHolder
}

// keys holds the callers' keys.
type keys struct {
	mu sync.RWMutex
	// data is guarded by mu.
	data keyData
}

type keyData struct {
	// byPrefix holds the keys by the first eight bytes of their hash.
	byPrefix map[uint64][]heldKey
	// hashes holds each resource's hash, to find what a change replaces.
	hashes map[keyName][32]byte
}

func newKeyData() keyData {
	return keyData{byPrefix: map[uint64][]heldKey{}, hashes: map[keyName][32]byte{}}
}

func prefixOf(hash [32]byte) uint64 { return binary.BigEndian.Uint64(hash[:8]) }

// find compares whole hashes in constant time. What the table's lookup gives
// away concerns the hash of the bearer key, of which a caller can't choose the
// bytes one by one.
func (d *keyData) find(hash [32]byte) (KeyHolder, bool) {
	for _, k := range d.byPrefix[prefixOf(hash)] {
		if subtle.ConstantTimeCompare(k.hash[:], hash[:]) == 1 {
			return k.holder, true
		}
	}
	return KeyHolder{}, false
}

func (d *keyData) put(m storer.Metadata, s storer.KeySpec) error {
	hash, err := storer.ParseHash(s.Hash)
	if err != nil {
		return errors.Annotatef(err, "key %s/%s", m.Workspace, m.Name)
	}
	d.remove(m)
	n := keyName{workspace: strings.Clone(m.Workspace), name: strings.Clone(m.Name)}
	d.hashes[n] = hash
	d.byPrefix[prefixOf(hash)] = append(d.byPrefix[prefixOf(hash)], heldKey{
		hash:   hash,
		holder: KeyHolder{Workspace: n.workspace, Name: n.name, Disabled: s.Disabled},
	})
	return nil
}

func (d *keyData) remove(m storer.Metadata) {
	n := keyName{workspace: m.Workspace, name: m.Name}
	hash, ok := d.hashes[n]
	if !ok {
		return
	}
	delete(d.hashes, n)
	var rest []heldKey
	for _, k := range d.byPrefix[prefixOf(hash)] {
		if k.hash != hash {
			rest = append(rest, k)
		}
	}
	if len(rest) == 0 {
		delete(d.byPrefix, prefixOf(hash))
		return
	}
	d.byPrefix[prefixOf(hash)] = rest
}
