package journaler

import (
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/juju/errors"
)

// File is an open file of a FileSystem. Writes go to its end.
type File interface {
	io.Writer
	io.ReaderAt
	io.Closer
	// Size returns the present size.
	Size() (int64, error)
	// Truncate cuts the file to size.
	Truncate(size int64) error
	// Sync makes the contents last. After an error what lasts is unknown.
	Sync() error
}

// FileSystem is what the project's durable state needs of a file system. Names
// are paths. A created, renamed or removed name lasts only once its folder has
// been synced.
type FileSystem interface {
	// Create opens a new empty file, replacing an old one of that name.
	Create(name string) (File, error)
	// Open opens an existing file; the error satisfies os.IsNotExist where
	// there is none.
	Open(name string) (File, error)
	// Rename replaces the file at to by the file at from in one step.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(name string) error
	// List returns the sorted names in a folder.
	List(folder string) ([]string, error)
	// MakeFolder creates a folder with its parents, if it isn't there.
	MakeFolder(folder string) error
	// SyncFolder makes the names in a folder last.
	SyncFolder(folder string) error
	// Lock takes an exclusive lock on a file, created if need be; it fails at
	// once where another holder has it. Close releases it.
	Lock(name string) (io.Closer, error)
}

// Disk is the FileSystem of the operating system.
type Disk struct{}

// Permissions of what Disk creates: the state is the process's own.
const (
	fileMode   = 0o600
	folderMode = 0o700
)

type diskFile struct{ *os.File }

// Size returns the present size.
func (f diskFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, errors.Trace(err)
	}
	return info.Size(), nil
}

// Create implements FileSystem.
func (Disk) Create(name string) (File, error) {
	return openDisk(name, os.O_CREATE|os.O_TRUNC)
}

// Open implements FileSystem.
func (Disk) Open(name string) (File, error) { return openDisk(name, 0) }

func openDisk(name string, flags int) (File, error) {
	file, err := os.OpenFile(name, os.O_RDWR|os.O_APPEND|flags, fileMode)
	if err != nil {
		return nil, err //nolint:wrapcheck // os.IsNotExist needs the bare error.
	}
	return diskFile{file}, nil
}

// Rename implements FileSystem.
func (Disk) Rename(from, to string) error { return errors.Trace(os.Rename(from, to)) }

// Remove implements FileSystem.
func (Disk) Remove(name string) error { return errors.Trace(os.Remove(name)) }

// List implements FileSystem.
func (Disk) List(folder string) ([]string, error) {
	found, err := os.ReadDir(folder)
	if err != nil {
		return nil, errors.Trace(err)
	}
	names := make([]string, 0, len(found))
	for _, f := range found {
		names = append(names, f.Name())
	}
	return names, nil
}

// MakeFolder implements FileSystem. It syncs each parent in which it created a
// folder: without this a crash could lose the whole new data folder.
func (d Disk) MakeFolder(folder string) error {
	if _, err := os.Stat(folder); err == nil {
		return nil
	}
	parent := filepath.Dir(folder)
	if parent != folder {
		if err := d.MakeFolder(parent); err != nil {
			return errors.Trace(err)
		}
	}
	if err := os.Mkdir(folder, folderMode); err != nil && !os.IsExist(err) {
		return errors.Trace(err)
	}
	return errors.Trace(d.SyncFolder(parent))
}

// SyncFolder implements FileSystem.
func (Disk) SyncFolder(folder string) error {
	opened, err := os.Open(folder)
	if err != nil {
		return errors.Trace(err)
	}
	if err := opened.Sync(); err != nil {
		_ = opened.Close()
		return errors.Trace(err)
	}
	return errors.Trace(opened.Close())
}

// Lock implements FileSystem by flock, which the kernel releases when the
// process dies.
func (Disk) Lock(name string) (io.Closer, error) {
	file, err := os.OpenFile(name, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = file.Close()
		return nil, errors.Annotatef(err, "file %s is in use by another process", name)
	}
	return file, nil
}
