package journaler

import (
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/juju/errors"
)

// File is an open file of a FileSystem. Write appends to the file.
type File interface {
	io.Writer
	io.ReaderAt
	io.Closer
	// Size returns the current size in bytes.
	Size() (int64, error)
	// Truncate shortens the file to size bytes.
	Truncate(size int64) error
	// Sync makes the contents durable. After an error it is unknown which
	// contents are durable, and a later Sync may succeed without writing them
	// unless they are rewritten.
	Sync() error
	// Rewrite writes the contents from offset from on again, unchanged, so that
	// the next Sync makes them durable although an earlier one failed.
	Rewrite(from int64) error
}

// FileSystem contains the file system operations that the storage of durable state
// needs. Names are paths. The creation, renaming or removal of a file is durable
// only after its folder has been synced.
type FileSystem interface {
	// Create opens a new empty file and replaces an existing file of that name.
	Create(name string) (File, error)
	// Open opens an existing file. If the file does not exist, the error
	// satisfies os.IsNotExist.
	Open(name string) (File, error)
	// Rename atomically replaces the file at to by the file at from.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(name string) error
	// List returns the names in a folder, sorted.
	List(folder string) ([]string, error)
	// MakeFolder creates a folder and its missing parents. It does nothing if the
	// folder exists.
	MakeFolder(folder string) error
	// SyncFolder makes the creation, renaming and removal of files in a folder
	// durable.
	SyncFolder(folder string) error
	// Lock acquires an exclusive lock on a file, which it creates if missing. It
	// fails immediately if the lock is held. Closing the result releases the lock.
	Lock(name string) (io.Closer, error)
}

// Disk is the FileSystem of the operating system.
type Disk struct{}

// Permissions of the files and folders that Disk creates. Only the user of the
// process has access to its state.
const (
	fileMode   = 0o600
	folderMode = 0o700
)

type diskFile struct{ *os.File }

// Size implements File.
func (f diskFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, errors.Trace(err)
	}
	return info.Size(), nil
}

// Rewrite implements File. It uses a second descriptor, since writes through one
// opened for appending go to the end of the file.
func (f diskFile) Rewrite(from int64) (err error) {
	file, err := os.OpenFile(f.Name(), os.O_RDWR, 0)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() {
		if closed := file.Close(); err == nil {
			err = errors.Trace(closed)
		}
	}()
	buffer := make([]byte, rewriteBytes)
	for {
		n, err := file.ReadAt(buffer, from)
		if err != nil && !errors.Is(err, io.EOF) {
			return errors.Trace(err)
		}
		if n == 0 {
			return nil
		}
		if _, err := file.WriteAt(buffer[:n], from); err != nil {
			return errors.Trace(err)
		}
		from += int64(n)
	}
}

// rewriteBytes is the size of the pieces in which Rewrite reads and writes.
const rewriteBytes = 256 << 10

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
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, errors.Trace(err)
	}
	names := make([]string, 0, len(entries))
	for _, f := range entries {
		names = append(names, f.Name())
	}
	return names, nil
}

// MakeFolder implements FileSystem. It syncs each parent in which it creates a
// folder; otherwise a crash could lose the whole new data folder.
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
	directory, err := os.Open(folder)
	if err != nil {
		return errors.Trace(err)
	}
	if err := directory.Sync(); err != nil {
		_ = directory.Close()
		return errors.Trace(err)
	}
	return errors.Trace(directory.Close())
}

// Lock implements FileSystem with flock. The kernel releases the lock when the
// process exits.
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
