package snapshotter

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/journaler"
)

// Piece is a part of the raw bytes of a snapshot file.
type Piece struct {
	// Index, Term, Size and Checksum are those of the snapshot's Metadata.
	Index    uint64
	Term     uint64
	Size     int64
	Checksum uint32
	// Offset is the offset of Data in the file.
	Offset int64
	// Data contains the bytes. It is empty in a piece that only requests the offset
	// of the receiver.
	Data []byte
}

// ErrSnapshotRemoved reports that the requested snapshot is no longer retained.
type ErrSnapshotRemoved struct {
	// Index is the index of the snapshot.
	Index uint64
}

// Error implements error.
func (e ErrSnapshotRemoved) Error() string {
	return fmt.Sprintf("snapshot at %d is no longer kept", e.Index)
}

// ReadPiece returns up to length bytes, from offset on, of the snapshot at index. It
// returns ErrSnapshotRemoved if the snapshot is not retained.
func (s *Store) ReadPiece(index uint64, offset int64, length int) (Piece, error) {
	m, ok := s.findSnapshot(index)
	if !ok {
		return Piece{}, errors.Trace(ErrSnapshotRemoved{Index: index})
	}
	p := Piece{Index: m.Index, Term: m.Term, Size: m.Size, Checksum: m.Checksum, Offset: offset}
	length = int(max(0, min(int64(length), m.Size-offset)))
	file, err := s.settings.FileSystem.Open(s.path(snapshotName(m)))
	if err != nil {
		return p, errors.Trace(err)
	}
	p.Data = make([]byte, length)
	n, err := file.ReadAt(p.Data, offset)
	p.Data = p.Data[:n]
	if err != nil && !errors.Is(err, io.EOF) {
		_ = file.Close()
		return p, errors.Trace(err)
	}
	return p, errors.Trace(file.Close())
}

func (s *Store) findSnapshot(index uint64) (Metadata, bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, m := range s.snapshots {
		if m.Index == index {
			return m, true
		}
	}
	return Metadata{}, false
}

// incomingTransfer is a snapshot that is being received. size is the number of bytes
// stored so far.
type incomingTransfer struct {
	name string
	file journaler.File
	size int64
}

// Receive stores a piece. It returns the offset of the next piece to send, and whether
// the snapshot is complete, verified, durable and now the latest one. It ignores a
// piece that does not start at the expected offset. If the checksum of the complete
// file does not match, it discards the file and returns offset 0.
func (s *Store) Receive(p Piece) (next int64, complete bool, err error) {
	if latest, ok := s.Latest(); ok && latest.Index >= p.Index {
		return p.Size, false, nil
	}
	t, err := s.openTransfer(p)
	if err != nil {
		return 0, false, errors.Annotate(err, "receive snapshot")
	}
	if p.Offset == t.size && len(p.Data) > 0 {
		if err := s.append(t, p.Data); err != nil {
			return 0, false, err
		}
	}
	if t.size < p.Size {
		return t.size, false, nil
	}
	return s.complete(t, p)
}

// append writes a piece. Each piece is durable before it is acknowledged, so that the
// offset never decreases and the transfer resumes at it after a restart. After a failure
// the file is opened again for the next piece, since it is unknown how much of this one
// it contains.
func (s *Store) append(t *incomingTransfer, data []byte) error {
	_, err := t.file.Write(data)
	if err == nil {
		err = t.file.Sync()
	}
	if err == nil {
		t.size += int64(len(data))
		return nil
	}
	_ = s.Close()
	return errors.Annotate(err, "store piece")
}

// openTransfer returns the transfer to which p belongs: the one in progress, one from a
// file of a previous process, or a new one. It removes the files of other transfers.
func (s *Store) openTransfer(p Piece) (*incomingTransfer, error) {
	name := fmt.Sprintf("%s%016x-%016x-%08x", receivingPrefix, p.Index, p.Term, p.Checksum)
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.receiving != nil && s.receiving.name == name {
		return s.receiving, nil
	}
	if s.receiving != nil {
		_ = s.receiving.file.Close()
		s.receiving = nil
	}
	if err := s.removeOtherTransfers(name); err != nil {
		return nil, err
	}
	file, err := s.settings.FileSystem.Open(s.path(name))
	if os.IsNotExist(errors.Cause(err)) {
		file, err = s.settings.FileSystem.Create(s.path(name))
	}
	if err != nil {
		return nil, errors.Trace(err)
	}
	t := &incomingTransfer{name: name, file: file}
	if t.size, err = s.makeDurable(file); err != nil {
		_ = file.Close()
		return nil, errors.Trace(err)
	}
	s.receiving = t
	return t, nil
}

// makeDurable makes the pieces already in a file durable, since a previous sync may have
// failed, and returns their size.
func (s *Store) makeDurable(file journaler.File) (size int64, err error) {
	if size, err = file.Size(); err != nil {
		return 0, errors.Trace(err)
	}
	if size > 0 {
		if err := file.Rewrite(0); err != nil {
			return 0, errors.Trace(err)
		}
		if err := file.Sync(); err != nil {
			return 0, errors.Trace(err)
		}
	}
	return size, errors.Trace(s.settings.FileSystem.SyncFolder(s.settings.Folder))
}

// removeOtherTransfers removes the files of all transfers except the one with the name
// except. The caller holds lock.
func (s *Store) removeOtherTransfers(except string) error {
	names, err := s.settings.FileSystem.List(s.settings.Folder)
	if err != nil {
		return errors.Trace(err)
	}
	for _, n := range names {
		if strings.HasPrefix(n, receivingPrefix) && n != except {
			if err := s.settings.FileSystem.Remove(s.path(n)); err != nil {
				return errors.Trace(err)
			}
		}
	}
	return nil
}

// complete verifies the received file and makes it the latest snapshot. It removes the
// file if the verification fails.
func (s *Store) complete(t *incomingTransfer, p Piece) (int64, bool, error) {
	s.lock.Lock()
	s.receiving = nil
	s.lock.Unlock()
	from := s.path(t.name)
	m, invalid := s.readMetadata(from)
	if invalid != nil || m.Checksum != p.Checksum || m.Index != p.Index || m.Size != p.Size {
		_ = t.file.Close()
		return 0, false, errors.Trace(s.settings.FileSystem.Remove(from))
	}
	if err := syncAndRename(s.settings.FileSystem, t.file, from, s.path(snapshotName(m))); err != nil {
		return 0, false, errors.Trace(err)
	}
	return m.Size, true, s.publish(m)
}

// Close closes the transfer in progress, if any. Its file remains, so that the transfer
// can be resumed.
func (s *Store) Close() error {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.receiving == nil {
		return nil
	}
	file := s.receiving.file
	s.receiving = nil
	return errors.Trace(file.Close())
}
