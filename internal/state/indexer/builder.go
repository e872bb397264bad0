package indexer

import (
	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// declaredAdapter is an adapter with its versions, from which a shard is built.
type declaredAdapter struct {
	hash     uint64
	metadata storer.Metadata
	base     string
	current  string
	versions []declaredVersion
}

type declaredVersion struct {
	version string
	source  string
}

// buildAdapters returns a shard's content without slack: arrays of the right
// size, no dropped texts, and one text less for each adapter that has versions.
func buildAdapters(declared []declaredAdapter) (adapterData, error) {
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

func (d *adapterData) build(declared *declaredAdapter) error {
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
	return d.setCurrent(a, declared.current)
}

// declared returns what a shard holds, to build it anew.
func (d *adapterData) declared() []declaredAdapter {
	declared := make([]declaredAdapter, 0, len(d.adapters)-len(d.freeAdapters))
	for i := range d.adapters {
		a := &d.adapters[i]
		if a.adapterLen == 0 {
			continue
		}
		r := declaredAdapter{
			hash:     d.hash(uint32(i)),
			metadata: storer.Metadata{Workspace: d.workspace(a), Name: d.adapter(a)},
			base:     d.bases[a.base],
		}
		for position := a.first; position != none; position = d.versions[position].next {
			t := d.target(a, position)
			r.versions = append(r.versions, declaredVersion{version: t.Version, source: t.Source})
			if position == a.current {
				r.current = t.Version
			}
		}
		declared = append(declared, r)
	}
	return declared
}

// rebuild drops the waste of a shard. The old content stays readable while the
// new one is built.
// Only its caller, the one writer, replaces data: it is read without mu.
func (s *adapters) rebuild() error {
	fresh, err := buildAdapters(s.data.declared())
	if err != nil {
		return errors.Annotate(err, "rebuild a shard")
	}
	s.replace(fresh)
	return nil
}

func (s *adapters) replace(fresh adapterData) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.data = fresh
}
