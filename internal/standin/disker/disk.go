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

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/journaler"
)

// Errors that the disk is told to return.
var (
	// ErrCrashed is returned by all operations after a crash, until Restart.
	ErrCrashed = errors.New("disk: the host has crashed")
	// ErrSync is returned by a sync that was told to fail.
	ErrSync = errors.New("disk: sync failed")
)

// node is a file, whatever its names.
type node struct {
	data []byte
	// synced is what a crash can't take.
	synced []byte
	// kept is the shortest length since the last sync: what is before it and
	// in synced can't be lost.
	kept int
}

// change is a change of names that no sync of the folder has made last.
type change struct {
	folder string
	name   string
	node   *node // nil for a removal
}

// Disk is a disk in memory. Its methods may be called from several goroutines.
type Disk struct {
	lock sync.Mutex
	// random decides what a crash takes. Guarded by lock.
	random *rand.Rand
	// names are the present files, durable those that a crash leaves. Guarded
	// by lock.
	names, durable map[string]*node
	// changes lead from durable to names, in order. Guarded by lock.
	changes []change
	folders map[string]bool
	locked  map[string]bool
	// life counts restarts; files opened in an earlier one are dead. Guarded
	// by lock.
	life int
	// crashIn and syncsUntilFailure count down where they are positive.
	// Guarded by lock.
	crashIn, syncsUntilFailure int
	crashed                    bool
	// operations counts the operations that change what lasts. Guarded by
	// lock.
	operations int
}

// NewDisk returns an empty disk.
func NewDisk(random *rand.Rand) *Disk {
	return &Disk{
		random: random, names: make(map[string]*node), durable: make(map[string]*node),
		folders: make(map[string]bool), locked: make(map[string]bool),
	}
}

// CrashIn makes the disk crash instead of carrying out the n-th change from
// now; 0 takes that back.
func (d *Disk) CrashIn(n int) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.crashIn = n
}

// FailSyncIn makes the n-th sync of a file from now fail.
func (d *Disk) FailSyncIn(n int) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.syncsUntilFailure = n
}

// Operations returns the number of changes so far.
func (d *Disk) Operations() int {
	d.lock.Lock()
	defer d.lock.Unlock()
	return d.operations
}

// Crash loses what was not synced. All operations fail until Restart.
func (d *Disk) Crash() {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.crash()
}

// crash needs lock.
func (d *Disk) crash() {
	if d.crashed {
		return
	}
	d.crashed = true
	survive := d.random.IntN(len(d.changes) + 1)
	for _, c := range d.changes[:survive] {
		apply(d.durable, c)
	}
	d.changes = nil
	d.names = make(map[string]*node, len(d.durable))
	// A fixed order keeps the draws of a seed the same.
	for _, path := range slices.Sorted(maps.Keys(d.durable)) {
		n := d.durable[path]
		survivor := d.survivor(n)
		d.names[path] = &node{data: survivor, synced: slices.Clone(survivor), kept: len(survivor)}
	}
	d.durable = make(map[string]*node, len(d.names))
	for path, n := range d.names {
		d.durable[path] = n
	}
}

// survivor returns what a crash leaves of a file.
// The caller holds lock.
func (d *Disk) survivor(n *node) []byte {
	firm := min(n.kept, len(n.synced))
	if firm < len(n.synced) && d.random.IntN(2) == 0 {
		// The truncation since the last sync never reached the medium.
		return slices.Clone(n.synced)
	}
	out := slices.Clone(n.data[:firm])
	loose := n.data[firm:]
	if len(loose) == 0 {
		return out
	}
	loose = slices.Clone(loose[:d.random.IntN(len(loose)+1)])
	if len(loose) > 0 && d.random.IntN(3) == 0 {
		loose[d.random.IntN(len(loose))] ^= 0xff
	}
	return append(out, loose...)
}

func apply(names map[string]*node, c change) {
	path := filepath.Join(c.folder, c.name)
	if c.node == nil {
		delete(names, path)
		return
	}
	names[path] = c.node
}

// Restart lets the disk be used again, after Crash or to end all old users.
func (d *Disk) Restart() {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.crashed = false
	d.crashIn, d.syncsUntilFailure = 0, 0
	d.life++
	d.locked = make(map[string]bool)
}

// Wipe loses all files.
func (d *Disk) Wipe() {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.names, d.durable, d.changes = make(map[string]*node), make(map[string]*node), nil
}

// Copy returns a disk with the present files as if all were synced.
func (d *Disk) Copy() *Disk {
	d.lock.Lock()
	defer d.lock.Unlock()
	out := NewDisk(d.random)
	for path, n := range d.names {
		c := &node{data: slices.Clone(n.data), synced: slices.Clone(n.data), kept: len(n.data)}
		out.names[path], out.durable[path] = c, c
	}
	for f := range d.folders {
		out.folders[f] = true
	}
	return out
}

// Damage flips the bits of one byte of a file.
func (d *Disk) Damage(name string, offset int) {
	d.lock.Lock()
	defer d.lock.Unlock()
	n := d.names[name]
	n.data[offset] ^= 0xff
	n.synced = slices.Clone(n.data)
}

// step counts a change, or crashes. It needs lock.
func (d *Disk) step() error {
	if d.crashIn > 0 {
		if d.crashIn--; d.crashIn == 0 {
			d.crash()
		}
	}
	if d.crashed {
		return ErrCrashed
	}
	d.operations++
	return nil
}

// rename records a change of names. It needs lock.
func (d *Disk) put(path string, n *node) {
	c := change{folder: filepath.Dir(path), name: filepath.Base(path), node: n}
	d.changes = append(d.changes, c)
	apply(d.names, c)
}

// Create implements journaler.FileSystem.
func (d *Disk) Create(name string) (journaler.File, error) {
	d.lock.Lock()
	defer d.lock.Unlock()
	if err := d.step(); err != nil {
		return nil, err
	}
	n := &node{}
	d.put(name, n)
	return &file{disk: d, node: n, life: d.life}, nil
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
	return &file{disk: d, node: n, life: d.life}, nil
}

// Rename implements journaler.FileSystem.
func (d *Disk) Rename(from, to string) error {
	d.lock.Lock()
	defer d.lock.Unlock()
	if err := d.step(); err != nil {
		return err
	}
	n, ok := d.names[from]
	if !ok {
		return os.ErrNotExist
	}
	d.put(to, n)
	d.put(from, nil)
	return nil
}

// Remove implements journaler.FileSystem.
func (d *Disk) Remove(name string) error {
	d.lock.Lock()
	defer d.lock.Unlock()
	if err := d.step(); err != nil {
		return err
	}
	if _, ok := d.names[name]; !ok {
		return os.ErrNotExist
	}
	d.put(name, nil)
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

// MakeFolder implements journaler.FileSystem. Folders always last.
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
	if err := d.step(); err != nil {
		return err
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
