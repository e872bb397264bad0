package indexer

import (
	"math"
	"strings"
	"sync"

	"github.com/juju/errors"
	"github.com/zeebo/xxh3"

	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// noRecord is the position that stands for no record.
const noRecord = ^uint32(0)

// adapterRecord is one adapter.
type adapterRecord struct {
	// text starts with WORKSPACE/ADAPTER. It may be shared with the name of a version.
	text textRef
	// firstVersion is the position of the first version, or noRecord.
	firstVersion uint32
	// currentVersion is the position of the version for calls that name no version,
	// or noRecord.
	currentVersion uint32
	// base is the position of the base model's name in adapterData.bases.
	base         uint16
	workspaceLen uint8
	// adapterLen is 0 in a free record.
	adapterLen uint8
}

// versionRecord is one version.
type versionRecord struct {
	// text is WORKSPACE/ADAPTER@VERSION.
	text   textRef
	source textRef
	// nextVersion is the position of the adapter's next version, or noRecord.
	nextVersion uint32
	sourceLen   uint16
	versionLen  uint8
}

// adapters is one shard of the adapters and their versions.
type adapters struct {
	mu sync.RWMutex
	// data is guarded by mu. It is only written under Index.writeLock, so that the
	// writer may read it without mu.
	data adapterData
}

// adapterData contains the records of a shard.
type adapterData struct {
	texts        arena
	table        table
	adapters     []adapterRecord
	freeAdapters []uint32
	versions     []versionRecord
	freeVersions []uint32
	// bases are the names of the base models, in no order. They are few enough for a
	// linear search.
	bases []string
}

func hashOf(workspace, adapter string) uint64 {
	return xxh3.HashString(workspace)*0x9e3779b97f4a7c15 + xxh3.HashString(adapter)
}

// workspace returns the name of the adapter's workspace.
func (d *adapterData) workspace(a *adapterRecord) string {
	return d.texts.text(a.text, int(a.workspaceLen))
}

// prefixLen returns the length of WORKSPACE/ADAPTER.
func (d *adapterData) prefixLen(a *adapterRecord) int {
	return int(a.workspaceLen) + 1 + int(a.adapterLen)
}

func (d *adapterData) adapter(a *adapterRecord) string {
	return d.texts.text(a.text, d.prefixLen(a))[int(a.workspaceLen)+1:]
}

// name returns the full name of a version, WORKSPACE/ADAPTER@VERSION.
func (d *adapterData) name(a *adapterRecord, v *versionRecord) string {
	return d.texts.text(v.text, d.prefixLen(a)+1+int(v.versionLen))
}

func (d *adapterData) hash(position uint32) uint64 {
	a := &d.adapters[position]
	return hashOf(d.workspace(a), d.adapter(a))
}

func (d *adapterData) find(hash uint64, workspace, adapter string) (uint32, bool) {
	return d.table.find(hash, func(position uint32) bool {
		a := &d.adapters[position]
		return int(a.adapterLen) == len(adapter) && int(a.workspaceLen) == len(workspace) &&
			d.adapter(a) == adapter && d.workspace(a) == workspace
	})
}

// findVersion returns the position of a version of the adapter, or noRecord, and a
// pointer to the list link that refers to it.
func (d *adapterData) findVersion(a *adapterRecord, version string) (position uint32, link *uint32) {
	link = &a.firstVersion
	for *link != noRecord {
		v := &d.versions[*link]
		if int(v.versionLen) == len(version) && d.name(a, v)[d.prefixLen(a)+1:] == version {
			return *link, link
		}
		link = &v.nextVersion
	}
	return noRecord, link
}

// target returns the Target for the version at a position.
func (d *adapterData) target(a *adapterRecord, position uint32) Target {
	v := &d.versions[position]
	name := d.name(a, v)
	prefix := d.prefixLen(a)
	return Target{
		Workspace: name[:a.workspaceLen],
		Adapter:   name[int(a.workspaceLen)+1 : prefix],
		Version:   name[prefix+1:],
		Name:      name,
		Source:    d.texts.text(v.source, int(v.sourceLen)),
		BaseModel: d.bases[a.base],
	}
}

func (d *adapterData) resolve(hash uint64, workspace, adapter, version string) (Target, error) {
	position, ok := d.find(hash, workspace, adapter)
	if !ok {
		return Target{}, ErrUnknownAdapter
	}
	a := &d.adapters[position]
	if version == "" {
		if a.currentVersion == noRecord {
			return Target{}, ErrNoCurrent
		}
		return d.target(a, a.currentVersion), nil
	}
	found, _ := d.findVersion(a, version)
	if found == noRecord {
		return Target{}, ErrUnknownVersion
	}
	return d.target(a, found), nil
}

// base returns the position of a base model's name in bases, and adds the name if it is
// missing.
func (d *adapterData) base(name string) (uint16, error) {
	for i, b := range d.bases {
		if b == name {
			return uint16(i), nil
		}
	}
	if len(d.bases) > math.MaxUint16 {
		return 0, errors.Errorf("more than %d base models in one shard", len(d.bases))
	}
	d.bases = append(d.bases, strings.Clone(name))
	return uint16(len(d.bases) - 1), nil
}

// putAdapter adds or changes an adapter.
func (d *adapterData) putAdapter(hash uint64, m storer.Metadata, s storer.AdapterSpec) error {
	base, err := d.base(s.BaseModel)
	if err != nil {
		return errors.Trace(err)
	}
	position, ok := d.find(hash, m.Workspace, m.Name)
	if !ok {
		position = d.addAdapter(hash, m, d.texts.add(m.Workspace, "/", m.Name))
	}
	a := &d.adapters[position]
	a.base = base
	return d.setCurrent(a, s.Current)
}

// setCurrent sets the adapter's current version; an empty version means none.
func (d *adapterData) setCurrent(a *adapterRecord, version string) error {
	a.currentVersion = noRecord
	if version == "" {
		return nil
	}
	if a.currentVersion, _ = d.findVersion(a, version); a.currentVersion == noRecord {
		return errors.NotFoundf("current version %q of adapter %s/%s", version, d.workspace(a), d.adapter(a))
	}
	return nil
}

// addAdapter adds an adapter whose name is stored at text, and returns its position.
func (d *adapterData) addAdapter(hash uint64, m storer.Metadata, text textRef) uint32 {
	r := adapterRecord{
		text:           text,
		firstVersion:   noRecord,
		currentVersion: noRecord,
		workspaceLen:   uint8(len(m.Workspace)),
		adapterLen:     uint8(len(m.Name)),
	}
	var position uint32
	d.adapters, d.freeAdapters, position = storeRecord(d.adapters, d.freeAdapters, r)
	d.table.insert(hash, position, d.hash)
	return position
}

// storeRecord stores r at a free position, or appends it. It returns the updated slices
// and the position.
func storeRecord[T any](records []T, free []uint32, r T) ([]T, []uint32, uint32) {
	if n := len(free); n > 0 {
		position := free[n-1]
		records[position] = r
		return records, free[:n-1], position
	}
	return append(records, r), free, uint32(len(records))
}

func (d *adapterData) deleteAdapter(hash uint64, m storer.Metadata) {
	position, ok := d.find(hash, m.Workspace, m.Name)
	if !ok {
		return
	}
	a := &d.adapters[position]
	for a.firstVersion != noRecord {
		d.removeVersion(a, a.firstVersion, &a.firstVersion)
	}
	d.table.remove(hash, position)
	d.texts.release(d.prefixLen(a))
	*a = adapterRecord{firstVersion: noRecord, currentVersion: noRecord}
	d.freeAdapters = append(d.freeAdapters, position)
}

func (d *adapterData) putVersion(hash uint64, m storer.Metadata, s storer.VersionSpec) error {
	adapter, version, _ := storer.SplitVersionName(m.Name)
	position, ok := d.find(hash, m.Workspace, adapter)
	if !ok {
		return errors.NotFoundf("adapter of version %s/%s", m.Workspace, m.Name)
	}
	a := &d.adapters[position]
	if known, _ := d.findVersion(a, version); known != noRecord {
		v := &d.versions[known]
		if d.texts.text(v.source, int(v.sourceLen)) == s.Source {
			return nil
		}
		d.texts.release(int(v.sourceLen))
		v.source, v.sourceLen = d.texts.add(s.Source), uint16(len(s.Source))
		return nil
	}
	d.addVersion(a, version, d.texts.add(m.Workspace, "/", m.Name), s.Source)
	return nil
}

// addVersion adds a version, whose name is stored at text, to the adapter's list.
func (d *adapterData) addVersion(a *adapterRecord, version string, text textRef, source string) {
	r := versionRecord{
		text:        text,
		source:      d.texts.add(source),
		nextVersion: a.firstVersion,
		sourceLen:   uint16(len(source)),
		versionLen:  uint8(len(version)),
	}
	d.versions, d.freeVersions, a.firstVersion = storeRecord(d.versions, d.freeVersions, r)
}

func (d *adapterData) deleteVersion(hash uint64, m storer.Metadata) {
	adapter, version, _ := storer.SplitVersionName(m.Name)
	position, ok := d.find(hash, m.Workspace, adapter)
	if !ok {
		return
	}
	a := &d.adapters[position]
	if found, link := d.findVersion(a, version); found != noRecord {
		d.removeVersion(a, found, link)
	}
}

// removeVersion removes the version at a position, to which link refers, from its
// adapter's list.
func (d *adapterData) removeVersion(a *adapterRecord, position uint32, link *uint32) {
	v := &d.versions[position]
	*link = v.nextVersion
	if a.currentVersion == position {
		a.currentVersion = noRecord
	}
	d.texts.release(int(v.sourceLen) + d.prefixLen(a) + 1 + int(v.versionLen))
	*v = versionRecord{nextVersion: noRecord}
	d.freeVersions = append(d.freeVersions, position)
}

// appendModels appends the models of a workspace to models.
func (d *adapterData) appendModels(models []Model, workspace string) []Model {
	for i := range d.adapters {
		a := &d.adapters[i]
		if a.adapterLen == 0 || d.workspace(a) != workspace {
			continue
		}
		for position := a.firstVersion; position != noRecord; position = d.versions[position].nextVersion {
			t := d.target(a, position)
			models = append(models, Model{
				Name:      t.Name,
				Adapter:   t.Adapter,
				Version:   t.Version,
				BaseModel: t.BaseModel,
				Current:   position == a.currentVersion,
			})
		}
	}
	return models
}
