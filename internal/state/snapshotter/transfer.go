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
	// Offset is where Data begins in the file.
	Offset int64
	// Data holds the bytes; it is empty where only the receiver's offset is
	// asked for.
	Data []byte
}

// ErrSnapshotRemoved reports that the snapshot asked for is no longer kept.
type ErrSnapshotRemoved struct {
	// Index is the index of the snapshot.
	Index uint64
}

// Error returns a text that names the snapshot.
func (e ErrSnapshotRemoved) Error() string {
	return fmt.Sprintf("snapshot at %d is no longer kept", e.Index)
}

// ReadPiece returns up to length bytes of the snapshot at index from offset on.
// It returns ErrSnapshotRemoved where the snapshot isn't kept.
func (s *Store) ReadPiece(index uint64, offset int64, length int) (Piece, error) {
	m, ok := s.find(index)
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

func (s *Store) find(index uint64) (Metadata, bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for _, m := range s.snapshots {
		if m.Index == index {
			return m, true
		}
	}
	return Metadata{}, false
}

// transfer is a snapshot that is being received.
type transfer struct {
	name string
	file journaler.File
	size int64
}

// Receive takes in a piece and returns the offset from which the receiver wants
// the next one, and whether the snapshot is complete, checked, lasting and now
// the latest. A piece that does not begin at the wanted offset is dropped. A
// complete one whose checksum fails is dropped as a whole, and offset 0 wanted.
func (s *Store) Receive(p Piece) (next int64, complete bool, err error) {
	if latest, ok := s.Latest(); ok && latest.Index >= p.Index {
		return p.Size, false, nil
	}
	t, err := s.resume(p)
	if err != nil {
		return 0, false, errors.Annotate(err, "receive snapshot")
	}
	if p.Offset == t.size && len(p.Data) > 0 {
		if _, err := t.file.Write(p.Data); err != nil {
			return 0, false, errors.Annotate(err, "write piece")
		}
		// Each piece lasts before it is acknowledged, so that the offset never
		// falls and a restart goes on from here.
		if err := t.file.Sync(); err != nil {
			return 0, false, errors.Annotate(err, "sync piece")
		}
		t.size += int64(len(p.Data))
	}
	if t.size < p.Size {
		return t.size, false, nil
	}
	return s.complete(t, p)
}

// resume returns the transfer that p belongs to, from memory, from a file that
// a restart left, or new. Files of other transfers are removed.
func (s *Store) resume(p Piece) (*transfer, error) {
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
	if err := s.removeTransfers(name); err != nil {
		return nil, err
	}
	file, err := s.settings.FileSystem.Open(s.path(name))
	if os.IsNotExist(errors.Cause(err)) {
		if file, err = s.settings.FileSystem.Create(s.path(name)); err != nil {
			return nil, errors.Trace(err)
		}
		err = s.settings.FileSystem.SyncFolder(s.settings.Folder)
	}
	if err != nil {
		return nil, errors.Trace(err)
	}
	size, err := file.Size()
	if err != nil {
		return nil, errors.Trace(err)
	}
	s.receiving = &transfer{name: name, file: file, size: size}
	return s.receiving, nil
}

// removeTransfers removes the files of all transfers but one. It needs lock.
func (s *Store) removeTransfers(but string) error {
	names, err := s.settings.FileSystem.List(s.settings.Folder)
	if err != nil {
		return errors.Trace(err)
	}
	for _, n := range names {
		if strings.HasPrefix(n, receivingPrefix) && n != but {
			if err := s.settings.FileSystem.Remove(s.path(n)); err != nil {
				return errors.Trace(err)
			}
		}
	}
	return nil
}

// complete checks the received file and makes it the latest snapshot.
func (s *Store) complete(t *transfer, p Piece) (int64, bool, error) {
	s.lock.Lock()
	s.receiving = nil
	s.lock.Unlock()
	from := s.path(t.name)
	m, bad := s.verify(from)
	if bad != nil || m.Checksum != p.Checksum || m.Index != p.Index || m.Size != p.Size {
		_ = t.file.Close()
		return 0, false, errors.Trace(s.settings.FileSystem.Remove(from))
	}
	if err := finish(s.settings.FileSystem, t.file, from, s.path(snapshotName(m))); err != nil {
		return 0, false, errors.Trace(err)
	}
	return m.Size, true, s.publish(m)
}

// Close closes a transfer in progress; its file stays for a later one.
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
