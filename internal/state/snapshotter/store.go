package snapshotter

import (
	"cmp"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/journaler"
)

const (
	snapshotPrefix  = "snapshot-"
	receivingPrefix = "receiving-"
	// retainedSnapshots is the number of snapshots that are not removed.
	retainedSnapshots = 2
)

// Settings are the options of a store.
type Settings struct {
	// Folder contains the files. OpenStore creates it if it does not exist.
	Folder string
	// FileSystem is used for all file access; nil means journaler.Disk.
	FileSystem journaler.FileSystem
}

// Metadata describes a snapshot.
type Metadata struct {
	// Index is the index of the last log entry in the snapshot.
	Index uint64
	// Term is the term of that entry.
	Term uint64
	// Extra is opaque data of the caller: the membership as of Index.
	Extra []byte
	// Size is the size of the whole file in bytes. It is set by the store.
	Size int64 `json:"-"`
	// Checksum is the CRC32C at the end of the file. It is set by the store.
	Checksum uint32 `json:"-"`
}

// Store gives access to the files of one folder. Its methods are safe for concurrent
// use.
type Store struct {
	settings Settings

	lock sync.Mutex
	// snapshots are the complete snapshots, oldest first, at most
	// retainedSnapshots of them. Guarded by lock.
	snapshots []Metadata
	// receiving is the transfer in progress, or nil. Guarded by lock.
	receiving *incomingTransfer
}

// NewStore returns a store that has to be opened before its first use.
func NewStore(settings Settings) *Store {
	if settings.FileSystem == nil {
		settings.FileSystem = journaler.Disk{}
	}
	return &Store{settings: settings}
}

// OpenStore returns an open store. Its other results are those of Open.
func OpenStore(settings Settings) (s *Store, damaged []error, err error) {
	s = NewStore(settings)
	damaged, err = s.Open()
	return s, damaged, err
}

// Open reads the folder. It removes temporary files left by a crash. A snapshot that
// can't be read back is renamed with damagedSuffix and reported in damaged, so that the
// caller can either continue with its predecessor or fail. Once it has returned, all
// names in the folder are durable, also those that a previous process changed without a
// successful sync. After a failed operation it is called again, while no snapshot is
// written or received.
func (s *Store) Open() (damaged []error, err error) {
	if err := s.Close(); err != nil {
		return nil, err
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	files := s.settings.FileSystem
	if err := files.MakeFolder(s.settings.Folder); err != nil {
		return nil, errors.Annotate(err, "make snapshot folder")
	}
	names, err := files.List(s.settings.Folder)
	if err != nil {
		return nil, errors.Annotate(err, "list snapshot folder")
	}
	s.snapshots = nil
	for _, n := range names {
		switch {
		case strings.HasSuffix(n, temporarySuffix):
			if err := files.Remove(s.path(n)); err != nil {
				return nil, errors.Trace(err)
			}
		case strings.HasPrefix(n, snapshotPrefix) && !strings.HasSuffix(n, damagedSuffix):
			damage, err := s.loadSnapshot(n)
			if err != nil {
				return nil, errors.Trace(err)
			}
			if damage != nil {
				damaged = append(damaged, damage)
			}
		}
	}
	slices.SortFunc(s.snapshots, compareIndex)
	return damaged, errors.Annotate(files.SyncFolder(s.settings.Folder), "sync snapshot folder")
}

// damagedSuffix is the suffix of the names of damaged snapshots, which are ignored.
const damagedSuffix = ".damaged"

// loadSnapshot verifies one snapshot file. It adds a valid one to s.snapshots, and
// renames a damaged one and returns its error as damaged. The caller holds lock.
func (s *Store) loadSnapshot(name string) (damaged, err error) {
	m, invalid := s.readMetadata(s.path(name))
	if invalid == nil {
		s.snapshots = append(s.snapshots, m)
		return nil, nil
	}
	var d journaler.ErrDamaged
	if !errors.As(invalid, &d) {
		return nil, invalid
	}
	if err := s.settings.FileSystem.Rename(s.path(name), s.path(name+damagedSuffix)); err != nil {
		return nil, errors.Trace(err)
	}
	return invalid, errors.Trace(s.settings.FileSystem.SyncFolder(s.settings.Folder))
}

// readMetadata reads a whole snapshot file, checks it, and returns its metadata.
func (s *Store) readMetadata(path string) (Metadata, error) {
	r, err := openReader(s.settings.FileSystem, path)
	if err != nil {
		return Metadata{}, err
	}
	return r.Metadata, errors.Trace(r.Close())
}

// Latest returns the newest snapshot and whether there is one.
func (s *Store) Latest() (Metadata, bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if len(s.snapshots) == 0 {
		return Metadata{}, false
	}
	return s.snapshots[len(s.snapshots)-1], true
}

// Oldest returns the oldest retained snapshot and whether there is one. The journal
// must contain all records since then.
func (s *Store) Oldest() (Metadata, bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if len(s.snapshots) == 0 {
		return Metadata{}, false
	}
	return s.snapshots[0], true
}

// OpenLatest verifies the newest snapshot and opens it for reading. It returns nil if
// there is none. The caller closes the Reader.
func (s *Store) OpenLatest() (*Reader, error) {
	m, ok := s.Latest()
	if !ok {
		return nil, nil
	}
	return openReader(s.settings.FileSystem, s.path(snapshotName(m)))
}

// publish adds a complete snapshot, whose file already has its final name, and removes
// the oldest ones beyond retainedSnapshots.
func (s *Store) publish(m Metadata) error {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.snapshots = append(s.snapshots, m)
	// A snapshot received in the meantime may be newer than m.
	slices.SortFunc(s.snapshots, compareIndex)
	for len(s.snapshots) > retainedSnapshots {
		if err := s.settings.FileSystem.Remove(s.path(snapshotName(s.snapshots[0]))); err != nil {
			return errors.Annotate(err, "remove old snapshot")
		}
		s.snapshots = s.snapshots[1:]
	}
	return nil
}

func (s *Store) path(name string) string { return filepath.Join(s.settings.Folder, name) }

// snapshotName returns the file name of a snapshot.
func snapshotName(m Metadata) string {
	return fmt.Sprintf("%s%016x-%016x", snapshotPrefix, m.Index, m.Term)
}

func compareIndex(a, b Metadata) int { return cmp.Compare(a.Index, b.Index) }
