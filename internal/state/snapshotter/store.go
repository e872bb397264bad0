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
	// kept is the number of snapshots which stay.
	kept = 2
)

// Settings are the options of a store.
type Settings struct {
	// Folder holds the files; it is created if need be.
	Folder string
	// FileSystem is used for all access; nil means journaler.Disk.
	FileSystem journaler.FileSystem
}

// Metadata describes a snapshot.
type Metadata struct {
	// Index is the index of the last log entry in the snapshot.
	Index uint64
	// Term is the term of that entry.
	Term uint64
	// Extra is kept for the caller: the membership as of Index.
	Extra []byte
	// Size is the size of the whole file. It is set by the store.
	Size int64 `json:"-"`
	// Checksum is the CRC32C that ends the file. It is set by the store.
	Checksum uint32 `json:"-"`
}

// Store gives access to the files of one folder. Its methods may be called from
// several goroutines.
type Store struct {
	settings Settings

	lock sync.Mutex
	// snapshots are the complete snapshots, oldest first, at most kept of
	// them. Guarded by lock.
	snapshots []Metadata
	// receiving is the transfer in progress, nil for none. Guarded by lock.
	receiving *transfer
}

// OpenStore opens the folder. Temporary files of a crash are removed; a
// snapshot that can't be read back is renamed aside and reported in damaged,
// so that the caller can go on from the one before it or refuse.
func OpenStore(settings Settings) (s *Store, damaged []error, err error) {
	s = &Store{settings: settings}
	if s.settings.FileSystem == nil {
		s.settings.FileSystem = journaler.Disk{}
	}
	files := s.settings.FileSystem
	if err := files.MakeFolder(settings.Folder); err != nil {
		return nil, nil, errors.Annotate(err, "make snapshot folder")
	}
	names, err := files.List(settings.Folder)
	if err != nil {
		return nil, nil, errors.Annotate(err, "list snapshot folder")
	}
	for _, n := range names {
		switch {
		case strings.HasSuffix(n, temporarySuffix):
			if err := files.Remove(s.path(n)); err != nil {
				return nil, nil, errors.Trace(err)
			}
		case strings.HasPrefix(n, snapshotPrefix) && !strings.HasSuffix(n, damagedSuffix):
			bad, err := s.adopt(n)
			if err != nil {
				return nil, nil, errors.Trace(err)
			}
			if bad != nil {
				damaged = append(damaged, bad)
			}
		}
	}
	slices.SortFunc(s.snapshots, byIndex)
	return s, damaged, nil
}

// damagedSuffix ends the names of snapshots that were put aside.
const damagedSuffix = ".damaged"

// adopt checks one snapshot file and takes it in or puts it aside.
// Nobody else has it yet: it is not shared.
func (s *Store) adopt(name string) (damaged, err error) {
	m, bad := s.verify(s.path(name))
	if bad == nil {
		s.snapshots = append(s.snapshots, m)
		return nil, nil
	}
	var d journaler.ErrDamaged
	if !errors.As(bad, &d) {
		return nil, bad
	}
	if err := s.settings.FileSystem.Rename(s.path(name), s.path(name+damagedSuffix)); err != nil {
		return nil, errors.Trace(err)
	}
	return bad, errors.Trace(s.settings.FileSystem.SyncFolder(s.settings.Folder))
}

// verify reads a whole snapshot file and checks it.
func (s *Store) verify(path string) (Metadata, error) {
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

// Oldest returns the oldest snapshot still kept and whether there is one. The
// journal must reach back to it.
func (s *Store) Oldest() (Metadata, bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if len(s.snapshots) == 0 {
		return Metadata{}, false
	}
	return s.snapshots[0], true
}

// OpenLatest opens the newest snapshot for reading; its checksum has been
// checked. It returns nil where there is none.
func (s *Store) OpenLatest() (*Reader, error) {
	m, ok := s.Latest()
	if !ok {
		return nil, nil
	}
	return openReader(s.settings.FileSystem, s.path(snapshotName(m)))
}

// publish takes in a complete snapshot whose file has its name, and removes
// those that are no longer kept.
func (s *Store) publish(m Metadata) error {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.snapshots = append(s.snapshots, m)
	// A snapshot received meanwhile may be newer than one just written.
	slices.SortFunc(s.snapshots, byIndex)
	for len(s.snapshots) > kept {
		if err := s.settings.FileSystem.Remove(s.path(snapshotName(s.snapshots[0]))); err != nil {
			return errors.Annotate(err, "remove old snapshot")
		}
		s.snapshots = s.snapshots[1:]
	}
	return nil
}

func (s *Store) path(name string) string { return filepath.Join(s.settings.Folder, name) }

// snapshotName returns the name of the file of a snapshot.
func snapshotName(m Metadata) string {
	return fmt.Sprintf("%s%016x-%016x", snapshotPrefix, m.Index, m.Term)
}

func byIndex(a, b Metadata) int { return cmp.Compare(a.Index, b.Index) }
