package disker

import (
	"io"
	"os"
	"slices"
)

// file is an open file.
type file struct {
	disk *Disk
	node *node
	life int
	// closed is guarded by the disk's lock.
	closed bool
}

// usable needs the disk's lock.
func (f *file) usable() error {
	if f.closed {
		return os.ErrClosed
	}
	if f.life != f.disk.life || f.disk.crashed {
		return ErrCrashed
	}
	return nil
}

// Write implements journaler.File.
func (f *file) Write(b []byte) (int, error) {
	f.disk.lock.Lock()
	defer f.disk.lock.Unlock()
	if err := f.usable(); err != nil {
		return 0, err
	}
	if err := f.disk.step(); err != nil {
		// The crash may have come after a part of the write.
		return 0, err
	}
	f.node.data = append(f.node.data, b...)
	return len(b), nil
}

// ReadAt implements journaler.File.
func (f *file) ReadAt(b []byte, offset int64) (int, error) {
	f.disk.lock.Lock()
	defer f.disk.lock.Unlock()
	if err := f.usable(); err != nil {
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
	return int64(len(f.node.data)), f.usable()
}

// Truncate implements journaler.File.
func (f *file) Truncate(size int64) error {
	f.disk.lock.Lock()
	defer f.disk.lock.Unlock()
	if err := f.usable(); err != nil {
		return err
	}
	if err := f.disk.step(); err != nil {
		return err
	}
	f.node.data = slices.Clone(f.node.data[:size])
	f.node.kept = min(f.node.kept, int(size))
	return nil
}

// Sync implements journaler.File.
func (f *file) Sync() error {
	f.disk.lock.Lock()
	defer f.disk.lock.Unlock()
	if err := f.usable(); err != nil {
		return err
	}
	if err := f.disk.step(); err != nil {
		return err
	}
	if f.disk.syncsUntilFailure > 0 {
		if f.disk.syncsUntilFailure--; f.disk.syncsUntilFailure == 0 {
			return ErrSync
		}
	}
	f.node.synced = slices.Clone(f.node.data)
	f.node.kept = len(f.node.data)
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
