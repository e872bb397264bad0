package disker

import (
	"io"
	"os"
	"slices"
	"syscall"
)

// file is an open file. It implements journaler.File.
type file struct {
	disk     *Disk
	node     *node
	restarts int
	// closed is guarded by the disk's lock.
	closed bool
}

// checkUsable returns an error if the file was closed, the disk has crashed, or it
// has restarted since the file was opened. The caller holds the disk's lock.
func (f *file) checkUsable() error {
	if f.closed {
		return os.ErrClosed
	}
	if f.restarts != f.disk.restarts || f.disk.crashed {
		return ErrCrashed
	}
	return nil
}

// beginOperation counts a mutating operation, and returns an error if it can't be executed. The
// caller holds the disk's lock.
func (f *file) beginOperation() error {
	if err := f.checkUsable(); err != nil {
		return err
	}
	return f.disk.countOperation()
}

// Write implements journaler.File.
func (f *file) Write(b []byte) (int, error) {
	f.disk.lock.Lock()
	defer f.disk.lock.Unlock()
	if err := f.beginOperation(); err != nil {
		// The write is lost completely; a crash in mid-write isn't simulated.
		return 0, err
	}
	n, err := len(b), error(nil)
	if f.disk.full {
		n, err = f.disk.random.IntN(len(b)+1), &os.PathError{Op: "write", Err: syscall.ENOSPC}
	}
	f.node.data = append(f.node.data, b[:n]...)
	return n, err
}

// Rewrite implements journaler.File.
func (f *file) Rewrite(from int64) error {
	f.disk.lock.Lock()
	defer f.disk.lock.Unlock()
	if err := f.beginOperation(); err != nil {
		return err
	}
	if f.disk.full {
		return &os.PathError{Op: "write", Err: syscall.ENOSPC}
	}
	f.node.dropAfter(int(from))
	return nil
}

// ReadAt implements journaler.File.
func (f *file) ReadAt(b []byte, offset int64) (int, error) {
	f.disk.lock.Lock()
	defer f.disk.lock.Unlock()
	if err := f.checkUsable(); err != nil {
		return 0, err
	}
	if offset >= int64(len(f.node.data)) {
		return 0, io.EOF
	}
	n := copy(b, f.node.data[offset:])
	if n < len(b) {
		return n, io.EOF
	}
	return n, nil
}

// Size implements journaler.File.
func (f *file) Size() (int64, error) {
	f.disk.lock.Lock()
	defer f.disk.lock.Unlock()
	return int64(len(f.node.data)), f.checkUsable()
}

// Truncate implements journaler.File.
func (f *file) Truncate(size int64) error {
	f.disk.lock.Lock()
	defer f.disk.lock.Unlock()
	if err := f.beginOperation(); err != nil {
		return err
	}
	f.node.data = slices.Clone(f.node.data[:size])
	f.node.unchanged = min(f.node.unchanged, int(size))
	f.node.dropAfter(int(size))
	return nil
}

// Sync implements journaler.File.
func (f *file) Sync() error {
	f.disk.lock.Lock()
	defer f.disk.lock.Unlock()
	if err := f.beginOperation(); err != nil {
		return err
	}
	n := f.node
	if f.disk.failsSync() {
		n.dropped = append(n.dropped, span{from: min(n.unchanged, len(n.synced)), to: len(n.data)})
		return &os.PathError{Op: "sync", Err: syscall.EIO}
	}
	n.synced = n.writeBack()
	n.unchanged = len(n.data)
	return nil
}

// Close implements journaler.File.
func (f *file) Close() error {
	f.disk.lock.Lock()
	defer f.disk.lock.Unlock()
	if f.closed {
		return os.ErrClosed
	}
	f.closed = true
	return nil
}
