package disker

import (
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/journaler"
)

// ErrCrashed is returned by operations after a crash until Restart, and by files that
// were opened before the last Restart.
var ErrCrashed = errors.New("disk: the host has crashed")

// change is a change of names that isn't durable yet, because its folder was not
// synced since.
type change struct {
	folder string
	name   string
	node   *node // nil for a removal
}

// Disk is a simulated disk in memory. It is safe for concurrent use.
type Disk struct {
	lock sync.Mutex
	// random decides what a crash loses. Guarded by lock.
	random *rand.Rand
	// names contains the current files by path, durable those that survive a
	// crash. Guarded by lock.
	names, durable map[string]*node
	// changes are the changes from durable to names, in order. Guarded by lock.
	changes []change
	folders map[string]bool
	locked  map[string]bool
	// restarts is the number of restarts; files opened before the last one are
	// unusable. Guarded by lock.
	restarts int
	// crashIn, stopIn and syncsUntilFailure are the numbers of operations and syncs
	// until the injected fault, or 0 for none. Guarded by lock.
	crashIn, stopIn, syncsUntilFailure int
	// crashed makes all operations fail; powerLost is set if unsynced data was also lost. Guarded
	// by lock.
	crashed, powerLost bool
	// full makes writes fail, and fillIn is the number of operations until it is set, 0 for none.
	// Guarded by lock.
	full   bool
	fillIn int
	// operations is the number of mutating operations, syncs included. Guarded by
	// lock.
	operations int
}

// NewDisk returns an empty disk. It takes ownership of random.
func NewDisk(random *rand.Rand) *Disk {
	return &Disk{
		random: random, names: make(map[string]*node), durable: make(map[string]*node),
		folders: make(map[string]bool), locked: make(map[string]bool),
	}
}

// CrashIn makes the disk crash instead of executing the n-th mutating operation
// from now on; 0 disables that.
func (d *Disk) CrashIn(n int) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.crashIn = n
}

// StopIn makes the process that uses the disk end instead of executing the n-th mutating
// operation from now on; 0 disables that. Operations fail with ErrCrashed until Restart,
// but no data is lost.
func (d *Disk) StopIn(n int) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.stopIn = n
}

// FailSyncIn makes the n-th sync of a file or folder from now on fail with EIO; 0
// disables that. The unsynced data of a file stays readable, but later syncs succeed
// without writing it, unless it is rewritten.
func (d *Disk) FailSyncIn(n int) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.syncsUntilFailure = n
}

// Fill makes the disk full or no longer full. On a full disk no file can be created, and
// a write fails with ENOSPC after a random part of its data.
func (d *Disk) Fill(full bool) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.full = full
}

// FillIn makes the disk full at the n-th mutating operation from now on; 0 disables that.
func (d *Disk) FillIn(n int) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.fillIn = n
}

// Operations returns the number of mutating operations so far, syncs included.
func (d *Disk) Operations() int {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.operations
}

// Crash loses unsynced data. File operations fail with ErrCrashed until Restart.
func (d *Disk) Crash() {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.crash()
}

// crash is Crash. The caller holds lock.
func (d *Disk) crash() {
	if d.powerLost {
		return
	}
	d.crashed, d.powerLost = true, true
	survive := d.random.IntN(len(d.changes) + 1)
	for _, c := range d.changes[:survive] {
		apply(d.durable, c)
	}
	d.changes = nil
	d.names = make(map[string]*node, len(d.durable))
	// Sorted, so that a seed always gives the same random decisions.
	for _, path := range slices.Sorted(maps.Keys(d.durable)) {
		n := d.durable[path]
		survivingContent := d.survivingContent(n)
		d.names[path] = &node{data: survivingContent, synced: slices.Clone(survivingContent), unchanged: len(survivingContent)}
	}
	d.durable = make(map[string]*node, len(d.names))
	for path, n := range d.names {
		d.durable[path] = n
	}
}

// survivingContent returns the content of a file after a crash. The caller holds
// lock.
func (d *Disk) survivingContent(n *node) []byte {
	syncedLength := min(n.unchanged, len(n.synced))
	if syncedLength < len(n.synced) && d.random.IntN(2) == 0 {
		// The truncation since the last sync didn't reach the disk.
		return slices.Clone(n.synced)
	}
	out := slices.Clone(n.synced[:syncedLength])
	unsynced := n.data[syncedLength:]
	if len(n.dropped) > 0 && d.random.IntN(2) == 0 {
		unsynced = n.writeBack()[syncedLength:]
	}
	if len(unsynced) == 0 {
		return out
	}
	unsynced = slices.Clone(unsynced[:d.random.IntN(len(unsynced)+1)])
	if len(unsynced) > 0 && d.random.IntN(3) == 0 {
		unsynced[d.random.IntN(len(unsynced))] ^= 0xff
	}
	return append(out, unsynced...)
}

func apply(names map[string]*node, c change) {
	path := filepath.Join(c.folder, c.name)
	if c.node == nil {
		delete(names, path)
		return
	}
	names[path] = c.node
}

// Restart makes the disk usable again after a crash or the end of its process, which
// loses no data. It invalidates all open files and releases all locks, and disables
// pending faults.
func (d *Disk) Restart() {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.crashed, d.powerLost = false, false
	d.crashIn, d.stopIn, d.syncsUntilFailure, d.fillIn = 0, 0, 0, 0
	d.restarts++
	d.locked = make(map[string]bool)
}

// Wipe removes all files.
func (d *Disk) Wipe() {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.names, d.durable, d.changes = make(map[string]*node), make(map[string]*node), nil
}

// Copy returns a disk with the current files and names, all of them synced. The
// copy shares the random source.
func (d *Disk) Copy() *Disk {
	d.lock.Lock()
	defer d.lock.Unlock()
	out := NewDisk(d.random)
	for path, n := range d.names {
		c := &node{data: slices.Clone(n.data), synced: slices.Clone(n.data), unchanged: len(n.data)}
		out.names[path], out.durable[path] = c, c
	}
	for f := range d.folders {
		out.folders[f] = true
	}
	return out
}

// Damage inverts one byte of an existing file, durably.
func (d *Disk) Damage(name string, offset int) {
	d.lock.Lock()
	defer d.lock.Unlock()
	n := d.names[name]
	n.data[offset] ^= 0xff
	n.synced = slices.Clone(n.data)
}

// countOperation counts a mutating operation. It returns ErrCrashed if the disk
// has crashed or crashes at this operation, or its process ends. The caller holds lock.
func (d *Disk) countOperation() error {
	if d.crashIn > 0 {
		if d.crashIn--; d.crashIn == 0 {
			d.crash()
		}
	}
	if d.stopIn > 0 {
		d.stopIn--
		d.crashed = d.crashed || d.stopIn == 0
	}
	if d.crashed {
		return ErrCrashed
	}
	if d.fillIn > 0 {
		d.fillIn--
		d.full = d.full || d.fillIn == 0
	}
	d.operations++
	return nil
}

// failsSync counts a sync and reports whether it fails. The caller holds lock.
func (d *Disk) failsSync() bool {
	if d.syncsUntilFailure == 0 {
		return false
	}
	d.syncsUntilFailure--
	return d.syncsUntilFailure == 0
}

// recordChange records and applies a change of names. The caller holds lock.
func (d *Disk) recordChange(path string, n *node) {
	c := change{folder: filepath.Dir(path), name: filepath.Base(path), node: n}
	d.changes = append(d.changes, c)
	apply(d.names, c)
}

// Create implements journaler.FileSystem.
func (d *Disk) Create(name string) (journaler.File, error) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if err := d.countOperation(); err != nil {
		return nil, err
	}
	if d.full {
		return nil, &os.PathError{Op: "open", Path: name, Err: syscall.ENOSPC}
	}
	n := &node{}
	d.recordChange(name, n)
	return &file{disk: d, node: n, restarts: d.restarts}, nil
}

// Open implements journaler.FileSystem.
func (d *Disk) Open(name string) (journaler.File, error) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.crashed {
		return nil, ErrCrashed
	}
	n, ok := d.names[name]
	if !ok {
		return nil, &os.PathError{Op: "open", Path: name, Err: os.ErrNotExist}
	}
	return &file{disk: d, node: n, restarts: d.restarts}, nil
}

// Rename implements journaler.FileSystem.
func (d *Disk) Rename(from, to string) error {
	d.lock.Lock()
	defer d.lock.Unlock()
	if err := d.countOperation(); err != nil {
		return err
	}
	n, ok := d.names[from]
	if !ok {
		return os.ErrNotExist
	}
	d.recordChange(to, n)
	d.recordChange(from, nil)
	return nil
}

// Remove implements journaler.FileSystem.
func (d *Disk) Remove(name string) error {
	d.lock.Lock()
	defer d.lock.Unlock()
	if err := d.countOperation(); err != nil {
		return err
	}
	if _, ok := d.names[name]; !ok {
		return os.ErrNotExist
	}
	d.recordChange(name, nil)
	return nil
}

// List implements journaler.FileSystem.
func (d *Disk) List(folder string) ([]string, error) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.crashed {
		return nil, ErrCrashed
	}
	var out []string
	for path := range d.names {
		if filepath.Dir(path) == folder {
			out = append(out, filepath.Base(path))
		}
	}
	slices.Sort(out)
	return out, nil
}

// MakeFolder implements journaler.FileSystem. Folders are durable at once.
func (d *Disk) MakeFolder(folder string) error {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.folders[strings.TrimSuffix(folder, "/")] = true
	return nil
}

// SyncFolder implements journaler.FileSystem.
func (d *Disk) SyncFolder(folder string) error {
	d.lock.Lock()
	defer d.lock.Unlock()
	if err := d.countOperation(); err != nil {
		return err
	}
	if d.failsSync() {
		return &os.PathError{Op: "sync", Path: folder, Err: syscall.EIO}
	}
	rest := d.changes[:0]
	for _, c := range d.changes {
		if c.folder == folder {
			apply(d.durable, c)
		} else {
			rest = append(rest, c)
		}
	}
	d.changes = rest
	return nil
}

// Lock implements journaler.FileSystem.
func (d *Disk) Lock(name string) (io.Closer, error) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if d.locked[name] {
		return nil, errors.Errorf("file %s is in use", name)
	}
	d.locked[name] = true
	return unlocker(func() {
		d.lock.Lock()
		defer d.lock.Unlock()
		delete(d.locked, name)
	}), nil
}

type unlocker func()

// Close releases the lock.
func (u unlocker) Close() error {
	u()
	return nil
}
