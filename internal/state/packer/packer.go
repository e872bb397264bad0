// Package packer compresses documents for the replicated log and for their distribution to
// all nodes.
//
// A routing configuration of 1,200 routes is 300 KB of JSON, and is sent to every entry and
// companion at each change. Uncompressed, it occupies a link of 10 Mbit/s to an entry for a
// quarter of a second, during which answers are delayed.
package packer

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/juju/errors"
)

// MaxBytes is the maximum size of an unpacked document. Without a limit, a few packed bytes
// could require any amount of memory.
const MaxBytes = 64 << 20

// packedMarker is the first byte of a packed document. No text starts with it, so that it
// distinguishes packed documents from those stored uncompressed.
const packedMarker = 0x01

// Pack returns the compressed form of a document, or the document itself if that is not
// larger. A document that starts with the marker byte is always compressed.
func Pack(document []byte) ([]byte, error) {
	var out bytes.Buffer
	out.WriteByte(packedMarker)
	w, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if _, err := w.Write(document); err != nil {
		return nil, errors.Trace(err)
	}
	if err := w.Close(); err != nil {
		return nil, errors.Trace(err)
	}
	if out.Len() >= len(document) && !isPacked(document) {
		return document, nil
	}
	return out.Bytes(), nil
}

func isPacked(b []byte) bool { return len(b) > 0 && b[0] == packedMarker }

// Unpack is the inverse of Pack. It returns an error if the packed document is truncated or
// invalid, or if the document is larger than MaxBytes.
func Unpack(b []byte) ([]byte, error) {
	if !isPacked(b) {
		return b, nil
	}
	document, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b[1:])), MaxBytes+1))
	if err != nil {
		return nil, errors.Annotate(err, "packed document")
	}
	if len(document) > MaxBytes {
		return nil, errors.NotValidf("packed document of more than %d bytes", MaxBytes)
	}
	return document, nil
}
