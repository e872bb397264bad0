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

// Layout of a snapshot file: magic, length of the metadata (4 bytes, little-endian),
// metadata in JSON, body, CRC32C of all preceding bytes (4 bytes, little-endian).
const (
	snapshotMagic      = "MGPSNP01"
	snapshotHeaderSize = len(snapshotMagic) + 4
)

// ErrOutdated reports that a snapshot was not written because the store already has one
// that is as new or newer, for example one received in the meantime.
type ErrOutdated struct {
	// Index is the index of the refused snapshot, Latest that of the newest one.
	Index, Latest uint64
}

// Error implements error.
func (e ErrOutdated) Error() string {
	return fmt.Sprintf("snapshot at %d is not newer than the one at %d", e.Index, e.Latest)
}

// Create writes a snapshot, whose body write produces, and returns its metadata once it
// is durable. It returns ErrOutdated if the snapshot is not newer than the latest one.
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
	w := &checksumWriter{out: file}
	if err := w.writeSnapshot(m, write); err != nil {
		return m, errors.Annotate(discard(s.settings.FileSystem, file, temporary, err), "write snapshot")
	}
	if err := syncAndRename(s.settings.FileSystem, file, temporary, name); err != nil {
		return m, errors.Trace(err)
	}
	m.Size, m.Checksum = w.size, w.checksum
	return m, s.publish(m)
}

// checksumWriter is a buffered writer that counts the bytes and computes their checksum.
type checksumWriter struct {
	out        io.Writer
	buffer     []byte
	size       int64
	runningSum uint32
	// checksum is the checksum at the end of the file.
	checksum uint32
}

// writeBufferBytes is the number of buffered bytes from which on the buffer is flushed.
const writeBufferBytes = 256 << 10

// writeSnapshot writes a whole snapshot file and flushes the buffer.
func (w *checksumWriter) writeSnapshot(m Metadata, write func(io.Writer) error) error {
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
	w.checksum = w.runningSum
	if _, err := w.Write(binary.LittleEndian.AppendUint32(nil, w.checksum)); err != nil {
		return errors.Trace(err)
	}
	return w.flush()
}

// Write implements io.Writer.
func (w *checksumWriter) Write(b []byte) (int, error) {
	w.runningSum = crc32.Update(w.runningSum, castagnoliTable, b)
	w.size += int64(len(b))
	w.buffer = append(w.buffer, b...)
	if len(w.buffer) < writeBufferBytes {
		return len(b), nil
	}
	return len(b), w.flush()
}

func (w *checksumWriter) flush() error {
	_, err := w.out.Write(w.buffer)
	w.buffer = w.buffer[:0]
	return errors.Trace(err)
}

// Reader reads the body of a snapshot. The caller closes it.
type Reader struct {
	// Metadata describes the snapshot.
	Metadata Metadata
	body     *io.SectionReader
	file     journaler.File
}

// Read implements io.Reader and reads from the body.
func (r *Reader) Read(b []byte) (int, error) {
	return r.body.Read(b) //nolint:wrapcheck // Callers compare the error with io.EOF.
}

// Close closes the snapshot file.
func (r *Reader) Close() error { return errors.Trace(r.file.Close()) }

// openReader opens a snapshot file and verifies its checksum and format. It returns
// journaler.ErrDamaged if the file is invalid.
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
	if size < int64(snapshotHeaderSize+checksumSize) {
		return nil, damaged("shorter than a snapshot's head")
	}
	sum := crc32.New(castagnoliTable)
	if _, err := io.Copy(sum, io.NewSectionReader(file, 0, size-checksumSize)); err != nil {
		return nil, errors.Trace(err)
	}
	var tail [checksumSize]byte
	if _, err := file.ReadAt(tail[:], size-checksumSize); err != nil && !errors.Is(err, io.EOF) {
		return nil, errors.Trace(err)
	}
	checksum := binary.LittleEndian.Uint32(tail[:])
	if sum.Sum32() != checksum {
		return nil, damaged("checksum of the snapshot does not match")
	}
	head := make([]byte, snapshotHeaderSize)
	if _, err := file.ReadAt(head, 0); err != nil {
		return nil, errors.Trace(err)
	}
	length := int64(binary.LittleEndian.Uint32(head[len(snapshotMagic):]))
	start := int64(snapshotHeaderSize) + length
	if string(head[:len(snapshotMagic)]) != snapshotMagic || start > size-checksumSize {
		return nil, damaged("not a snapshot")
	}
	encoded := make([]byte, length)
	if _, err := file.ReadAt(encoded, int64(snapshotHeaderSize)); err != nil {
		return nil, errors.Trace(err)
	}
	r := &Reader{file: file, body: io.NewSectionReader(file, start, size-checksumSize-start)}
	if err := json.Unmarshal(encoded, &r.Metadata); err != nil {
		return nil, damaged(err.Error())
	}
	r.Metadata.Size, r.Metadata.Checksum = size, checksum
	return r, nil
}
