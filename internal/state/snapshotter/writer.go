package snapshotter

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/journaler"
)

// Layout of a snapshot file: magic, length of the metadata, metadata, body,
// checksum of all before it.
const (
	snapshotMagic    = "MGPSNP01"
	snapshotHeadSize = len(snapshotMagic) + 4
)

// ErrOutdated reports that a snapshot was not written because a newer one is
// kept already, received meanwhile perhaps.
type ErrOutdated struct {
	// Index is that of the snapshot asked for, Latest that of the newest one.
	Index, Latest uint64
}

// Error returns a text that names both.
func (e ErrOutdated) Error() string {
	return fmt.Sprintf("snapshot at %d is not newer than the one at %d", e.Index, e.Latest)
}

// Create writes a snapshot whose body comes from write, and returns when it
// lasts. It returns ErrOutdated where it isn't newer than all others.
func (s *Store) Create(m Metadata, write func(io.Writer) error) (Metadata, error) {
	if latest, ok := s.Latest(); ok && latest.Index >= m.Index {
		return m, errors.Trace(ErrOutdated{Index: m.Index, Latest: latest.Index})
	}
	name := s.path(snapshotName(m))
	temporary := name + temporarySuffix
	file, err := s.settings.FileSystem.Create(temporary)
	if err != nil {
		return m, errors.Annotate(err, "create snapshot")
	}
	w := &summingWriter{to: file}
	if err := w.fill(m, write); err != nil {
		_ = file.Close()
		return m, errors.Annotate(err, "write snapshot")
	}
	if err := finish(s.settings.FileSystem, file, temporary, name); err != nil {
		return m, errors.Trace(err)
	}
	m.Size, m.Checksum = w.size, w.sealed
	return m, s.publish(m)
}

// summingWriter writes through a buffer and keeps size and checksum.
type summingWriter struct {
	to     io.Writer
	buffer []byte
	size   int64
	sum    uint32
	// sealed is the checksum that ends the file.
	sealed uint32
}

// writeBuffer is the size of the writes to the file.
const writeBuffer = 256 << 10

func (w *summingWriter) fill(m Metadata, write func(io.Writer) error) error {
	head, err := json.Marshal(m)
	if err != nil {
		return errors.Trace(err)
	}
	start := binary.LittleEndian.AppendUint32([]byte(snapshotMagic), uint32(len(head)))
	if _, err := w.Write(append(start, head...)); err != nil {
		return errors.Trace(err)
	}
	if err := write(w); err != nil {
		return errors.Trace(err)
	}
	w.sealed = w.sum
	if _, err := w.Write(binary.LittleEndian.AppendUint32(nil, w.sealed)); err != nil {
		return errors.Trace(err)
	}
	return w.flush()
}

// Write implements io.Writer.
func (w *summingWriter) Write(b []byte) (int, error) {
	w.sum = crc32.Update(w.sum, castagnoli, b)
	w.size += int64(len(b))
	w.buffer = append(w.buffer, b...)
	if len(w.buffer) < writeBuffer {
		return len(b), nil
	}
	return len(b), w.flush()
}

func (w *summingWriter) flush() error {
	_, err := w.to.Write(w.buffer)
	w.buffer = w.buffer[:0]
	return errors.Trace(err)
}

// Reader reads the body of a snapshot. Close it after use.
type Reader struct {
	// Metadata describes the snapshot.
	Metadata Metadata
	body     *io.SectionReader
	file     journaler.File
}

// Read implements io.Reader over the body.
func (r *Reader) Read(b []byte) (int, error) {
	return r.body.Read(b) //nolint:wrapcheck // io.EOF must stay bare.
}

// Close closes the file.
func (r *Reader) Close() error { return errors.Trace(r.file.Close()) }

// openReader opens a snapshot file and checks all of it.
func openReader(files journaler.FileSystem, path string) (*Reader, error) {
	file, err := files.Open(path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	r, err := parseSnapshot(file, path)
	if err != nil {
		_ = file.Close()
		return nil, err
	}
	return r, nil
}

func parseSnapshot(file journaler.File, path string) (*Reader, error) {
	size, err := file.Size()
	if err != nil {
		return nil, errors.Trace(err)
	}
	damaged := func(reason string) error {
		return errors.Trace(journaler.ErrDamaged{File: path, Reason: reason})
	}
	if size < int64(snapshotHeadSize+checksumSize) {
		return nil, damaged("shorter than a snapshot's head")
	}
	sum := crc32.New(castagnoli)
	if _, err := io.Copy(sum, io.NewSectionReader(file, 0, size-checksumSize)); err != nil {
		return nil, errors.Trace(err)
	}
	var tail [checksumSize]byte
	if _, err := file.ReadAt(tail[:], size-checksumSize); err != nil && !errors.Is(err, io.EOF) {
		return nil, errors.Trace(err)
	}
	sealed := binary.LittleEndian.Uint32(tail[:])
	if sum.Sum32() != sealed {
		return nil, damaged("checksum of the snapshot does not match")
	}
	head := make([]byte, snapshotHeadSize)
	if _, err := file.ReadAt(head, 0); err != nil {
		return nil, errors.Trace(err)
	}
	length := int64(binary.LittleEndian.Uint32(head[len(snapshotMagic):]))
	start := int64(snapshotHeadSize) + length
	if string(head[:len(snapshotMagic)]) != snapshotMagic || start > size-checksumSize {
		return nil, damaged("not a snapshot")
	}
	encoded := make([]byte, length)
	if _, err := file.ReadAt(encoded, int64(snapshotHeadSize)); err != nil {
		return nil, errors.Trace(err)
	}
	r := &Reader{file: file, body: io.NewSectionReader(file, start, size-checksumSize-start)}
	if err := json.Unmarshal(encoded, &r.Metadata); err != nil {
		return nil, damaged(err.Error())
	}
	r.Metadata.Size, r.Metadata.Checksum = size, sealed
	return r, nil
}
