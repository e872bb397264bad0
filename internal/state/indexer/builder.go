package indexer

import (
	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// adapterDeclaration is an adapter and its versions, as input to build a shard.
type adapterDeclaration struct {
	hash           uint64
	metadata       storer.Metadata
	base           string
	currentVersion string
	versions       []versionDeclaration
}

type versionDeclaration struct {
	version string
	source  string
}

// buildAdapters returns the data of a shard with minimal memory: slices of the exact
// size, no released texts, and no separate name for an adapter that has versions, since
// it shares the text of a version.
func buildAdapters(declared []adapterDeclaration) (adapterData, error) {
	var d adapterData
	versions := 0
	for i := range declared {
		versions += len(declared[i].versions)
	}
	d.adapters = make([]adapterRecord, 0, len(declared))
	d.versions = make([]versionRecord, 0, versions)
	d.table.resize(len(declared), d.hash)
	for i := range declared {
		if err := d.build(&declared[i]); err != nil {
			return adapterData{}, errors.Trace(err)
		}
	}
	return d, nil
}

func (d *adapterData) build(declared *adapterDeclaration) error {
	base, err := d.base(declared.base)
	if err != nil {
		return errors.Trace(err)
	}
	m := declared.metadata
	texts := make([]textRef, 0, max(1, len(declared.versions)))
	for _, v := range declared.versions {
		texts = append(texts, d.texts.add(m.Workspace, "/", m.Name, "@", v.version))
	}
	if len(texts) == 0 {
		texts = append(texts, d.texts.add(m.Workspace, "/", m.Name))
	}
	position := d.addAdapter(declared.hash, m, texts[0])
	a := &d.adapters[position]
	a.base = base
	for i, v := range declared.versions {
		d.addVersion(a, v.version, texts[i], v.source)
	}
	return d.setCurrent(a, declared.currentVersion)
}

// declarations returns the adapters of a shard, as input to rebuild it.
func (d *adapterData) declarations() []adapterDeclaration {
	declarations := make([]adapterDeclaration, 0, len(d.adapters)-len(d.freeAdapters))
	for i := range d.adapters {
		a := &d.adapters[i]
		if a.adapterLen == 0 {
			continue
		}
		declaration := adapterDeclaration{
			hash:     d.hash(uint32(i)),
			metadata: storer.Metadata{Workspace: d.workspace(a), Name: d.adapter(a)},
			base:     d.bases[a.base],
		}
		for position := a.firstVersion; position != noRecord; position = d.versions[position].nextVersion {
			t := d.target(a, position)
			declaration.versions = append(declaration.versions, versionDeclaration{version: t.Version, source: t.Source})
			if position == a.currentVersion {
				declaration.currentVersion = t.Version
			}
		}
		declarations = append(declarations, declaration)
	}
	return declarations
}

// rebuild frees the released memory of a shard. The old data stays readable while the
// new data is built. It reads data without mu, since only its caller, the single
// writer, replaces data.
func (s *adapters) rebuild() error {
	compacted, err := buildAdapters(s.data.declarations())
	if err != nil {
		return errors.Annotate(err, "rebuild a shard")
	}
	s.replace(compacted)
	return nil
}

func (s *adapters) replace(compacted adapterData) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.data = compacted
}
