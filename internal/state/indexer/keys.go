package indexer

import (
	"crypto/subtle"
	"encoding/binary"
	"strings"
	"sync"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// KeyHolder identifies the holder of a bearer key.
type KeyHolder struct {
	Workspace string
	Name      string
	Disabled  bool
}

// keyName identifies the resource of a key.
type keyName struct{ workspace, name string }

// keyRecord is a caller's key.
type keyRecord struct {
	hash   [32]byte
	holder KeyHolder
}

// keys contains the callers' keys.
type keys struct {
	mu sync.RWMutex
	// data is guarded by mu.
	data keyData
}

type keyData struct {
	// byPrefix contains the keys by the first eight bytes of their hash.
	byPrefix map[uint64][]keyRecord
	// hashes contains the hash of each resource, to find the key that a change
	// replaces.
	hashes map[keyName][32]byte
}

func newKeyData() keyData {
	return keyData{byPrefix: map[uint64][]keyRecord{}, hashes: map[keyName][32]byte{}}
}

func hashPrefix(hash [32]byte) uint64 { return binary.BigEndian.Uint64(hash[:8]) }

// find returns the holder of the key with the hash. It compares whole hashes in constant
// time. The timing of the map lookup only reveals information about the hash of the
// bearer key, whose bytes a caller can't choose individually.
func (d *keyData) find(hash [32]byte) (KeyHolder, bool) {
	for _, k := range d.byPrefix[hashPrefix(hash)] {
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
	d.byPrefix[hashPrefix(hash)] = append(d.byPrefix[hashPrefix(hash)], keyRecord{
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
	var remaining []keyRecord
	for _, k := range d.byPrefix[hashPrefix(hash)] {
		if k.hash != hash {
			remaining = append(remaining, k)
		}
	}
	if len(remaining) == 0 {
		delete(d.byPrefix, hashPrefix(hash))
		return
	}
	d.byPrefix[hashPrefix(hash)] = remaining
}
