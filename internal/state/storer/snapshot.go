package storer

import (
	"bufio"
	"cmp"
	"io"
	"slices"

	"github.com/juju/errors"
)

// snapshotFormat is the version of the snapshot format. A host refuses a format
// that it does not support.
const snapshotFormat = 1

// snapshotMagic identifies a snapshot.
const snapshotMagic = "marigoldpoint state"

// snapshotHeader is the first item of the CBOR sequence (RFC 8742) that forms a
// snapshot. The items that it counts follow in the order of the fields.
type snapshotHeader struct {
	Magic      string    `cbor:"1,keyasint"`
	Format     int       `cbor:"2,keyasint"`
	Applied    uint64    `cbor:"3,keyasint"`
	Revision   uint64    `cbor:"4,keyasint"`
	Now        Instant   `cbor:"5,keyasint"`
	Retention  Retention `cbor:"6,keyasint"`
	Floor      uint64    `cbor:"7,keyasint"`
	Resources  int       `cbor:"8,keyasint"`
	Claims     int       `cbor:"9,keyasint"`
	Records    int       `cbor:"10,keyasint"`
	Retired    int       `cbor:"11,keyasint"`
	Superseded int       `cbor:"12,keyasint"`
	Changes    int       `cbor:"13,keyasint"`
	Departures int       `cbor:"14,keyasint,omitempty"`
	Releases   int       `cbor:"15,keyasint,omitempty"`
}

// supersededMember lists the replaced incarnations of a member name.
type supersededMember struct {
	Name         string   `cbor:"1,keyasint"`
	Incarnations []string `cbor:"2,keyasint"`
}

// snapshotContent is the state at one index. It is sorted before it is written, so
// that equal states have equal snapshots.
type snapshotContent struct {
	header     snapshotHeader
	resources  []Resource
	claims     []Claim
	records    []record
	retired    []retiredVersion
	superseded []supersededMember
	changes    []Change
	departures []departure
	releases   []release
}

// Snapshot writes the state to w. Stores that applied the same commands write the
// same bytes.
func (s *Store) Snapshot(w io.Writer) error { return s.Freeze()(w) }

// Freeze copies the state and returns a function that writes the copy. Commands may
// be applied before that function is called and while it runs. The copy takes a
// small part of the time of a snapshot.
func (s *Store) Freeze() func(w io.Writer) error {
	c := s.copy()
	return func(w io.Writer) error {
		c.sort()
		return c.write(w)
	}
}

func (c *snapshotContent) write(w io.Writer) error {
	b := bufio.NewWriterSize(w, 1<<16)
	e := encoding.NewEncoder(b)
	if err := e.Encode(c.header); err != nil {
		return errors.Annotate(err, "write snapshot header")
	}
	if err := firstNonNil(
		encodeAll(e, c.resources),
		encodeAll(e, c.claims),
		encodeAll(e, c.records),
		encodeAll(e, c.retired),
		encodeAll(e, c.superseded),
		encodeAll(e, c.changes),
		encodeAll(e, c.departures),
		encodeAll(e, c.releases),
	); err != nil {
		return errors.Annotate(err, "write snapshot")
	}
	return errors.Annotate(b.Flush(), "write snapshot")
}

func firstNonNil(errs ...error) error { return cmp.Or(errs...) }

type itemEncoder interface{ Encode(v any) error }

type itemDecoder interface{ Decode(v any) error }

func encodeAll[T any](e itemEncoder, items []T) error {
	for i := range items {
		if err := e.Encode(items[i]); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func decodeAll[T any](d itemDecoder, n int) ([]T, error) {
	if n < 0 {
		return nil, errors.Errorf("count %d is negative", n)
	}
	// n is untrusted input: it must not determine how much memory is allocated.
	items := make([]T, 0, min(n, 1<<16))
	for range n {
		var item T
		if err := d.Decode(&item); err != nil {
			return nil, errors.Trace(err)
		}
		items = append(items, item)
	}
	return items, nil
}

// copy returns a copy of the state at one index, unsorted.
func (s *Store) copy() *snapshotContent {
	s.applying.Lock()
	defer s.applying.Unlock()
	c := &snapshotContent{
		header: snapshotHeader{
			Magic:     snapshotMagic,
			Format:    snapshotFormat,
			Applied:   s.applied,
			Now:       s.now,
			Retention: s.retention,
		},
		claims:  make([]Claim, 0, s.claims.count),
		records: make([]record, 0, s.records.count),
		retired: make([]retiredVersion, 0, s.retired.count),
	}
	c.resources, c.header.Revision = s.collect(KindWorkspace, kindLast)
	for i := range s.shards {
		s.shards[i].copyRecords(c)
	}
	c.changes, c.header.Floor = s.history.content()
	return c
}

func (h *shard) copyRecords(c *snapshotContent) {
	h.mu.RLock()
	defer h.mu.RUnlock()
	for _, p := range h.spaces {
		for _, claim := range p.claims {
			c.claims = append(c.claims, claim)
		}
		for _, r := range p.records {
			c.records = append(c.records, r)
		}
		for _, r := range p.retired {
			c.retired = append(c.retired, r)
		}
		for name, incarnations := range p.superseded {
			c.superseded = append(c.superseded, supersededMember{Name: name, Incarnations: incarnations})
		}
		for _, d := range p.departures {
			c.departures = append(c.departures, d)
		}
		for _, r := range p.releases {
			c.releases = append(c.releases, r)
		}
	}
}

// sort sorts the content into its canonical order. Items that expire are sorted by
// index, which is also the order of the expiry queues.
func (c *snapshotContent) sort() {
	slices.SortFunc(c.resources, compareResources)
	slices.SortFunc(c.claims, func(a, b Claim) int { return cmp.Compare(a.Index, b.Index) })
	slices.SortFunc(c.records, func(a, b record) int { return cmp.Compare(a.Index, b.Index) })
	slices.SortFunc(c.retired, func(a, b retiredVersion) int { return cmp.Compare(a.Index, b.Index) })
	slices.SortFunc(c.superseded, func(a, b supersededMember) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.departures, func(a, b departure) int {
		return cmp.Or(cmp.Compare(a.Index, b.Index), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	slices.SortFunc(c.releases, func(a, b release) int {
		return cmp.Or(cmp.Compare(a.Index, b.Index), cmp.Compare(a.Name, b.Name))
	})
	c.header.Departures, c.header.Releases = len(c.departures), len(c.releases)
	c.header.Resources, c.header.Claims, c.header.Records = len(c.resources), len(c.claims), len(c.records)
	c.header.Retired, c.header.Superseded, c.header.Changes = len(c.retired), len(c.superseded), len(c.changes)
}

// Restore replaces the state by the state of a snapshot. A damaged or truncated
// snapshot is an error and leaves the state unchanged. index is the log index of
// the snapshot; it must not be lower than that of the last command that the
// snapshot contains.
func (s *Store) Restore(r io.Reader, index uint64) error {
	c, err := readContent(r)
	if err != nil {
		return errors.Annotate(err, "read snapshot")
	}
	if c.header.Applied > index {
		return errors.Errorf("the snapshot of index %d holds the command of index %d", index, c.header.Applied)
	}
	fresh := NewStore(Settings{Retention: c.header.Retention})
	fresh.load(c)
	s.replaceState(fresh, c)
	return nil
}

func readContent(r io.Reader) (snapshotContent, error) {
	var c snapshotContent
	d := decoding.NewDecoder(bufio.NewReaderSize(r, 1<<16))
	if err := d.Decode(&c.header); err != nil {
		return c, errors.Annotate(err, "header")
	}
	if c.header.Magic != snapshotMagic || c.header.Format != snapshotFormat {
		return c, errors.NotSupportedf("snapshot %.20q of format %d", c.header.Magic, c.header.Format)
	}
	return c, firstNonNil(
		decodeInto(d, c.header.Resources, &c.resources),
		decodeInto(d, c.header.Claims, &c.claims),
		decodeInto(d, c.header.Records, &c.records),
		decodeInto(d, c.header.Retired, &c.retired),
		decodeInto(d, c.header.Superseded, &c.superseded),
		decodeInto(d, c.header.Changes, &c.changes),
		decodeInto(d, c.header.Departures, &c.departures),
		decodeInto(d, c.header.Releases, &c.releases),
	)
}

func decodeInto[T any](d itemDecoder, n int, items *[]T) (err error) {
	*items, err = decodeAll[T](d, n)
	return err
}

// load writes the content into an empty store that is not shared yet.
func (s *Store) load(c snapshotContent) {
	for _, r := range c.resources {
		p := s.shard(r.Metadata.Workspace).space(r.Metadata.Workspace)
		s.updateHashes(p, r.Key(), r.Spec)
		p.put(r)
	}
	for _, claim := range c.claims {
		s.shard(claim.Workspace).space(claim.Workspace).claims[claim.Key] = claim
		s.claims.add(expiryEntry{workspace: claim.Workspace, key: claim.Key, index: claim.Index, time: claim.Time})
	}
	for _, r := range c.records {
		s.shard(r.Workspace).space(r.Workspace).records[r.Key] = r
		s.records.add(expiryEntry{workspace: r.Workspace, key: r.Key, index: r.Index, time: r.Time})
	}
	for _, r := range c.retired {
		s.shard(r.Workspace).space(r.Workspace).retired[r.Name] = r
		s.retired.add(expiryEntry{workspace: r.Workspace, key: r.Name, index: r.Index, time: r.Time})
	}
	for _, m := range c.superseded {
		s.shard("").space("").superseded[m.Name] = m.Incarnations
	}
	for _, d := range c.departures {
		s.shard("").space("").departures[d.Incarnation] = d
		s.departures.add(expiryEntry{key: d.Incarnation, index: d.Index, time: d.Time})
	}
	for _, r := range c.releases {
		s.shard("").space("").releases[r.Name] = r
		s.releases.add(expiryEntry{key: r.Name, index: r.Index, time: r.Time})
	}
}

func (a *expiryQueue) add(e expiryEntry) {
	a.push(e)
	a.count++
}

// replaceState replaces the state by that of fresh. Readers see either the old or
// the new state.
func (s *Store) replaceState(fresh *Store, c snapshotContent) {
	s.applying.Lock()
	defer s.applying.Unlock()
	for i := range s.shards {
		s.shards[i].mu.Lock()
	}
	for i := range s.shards {
		s.shards[i].spaces = fresh.shards[i].spaces
	}
	s.applied, s.now = c.header.Applied, c.header.Now
	s.retention, s.hashes = fresh.retention, fresh.hashes
	s.claims, s.records, s.retired = fresh.claims, fresh.records, fresh.retired
	s.departures, s.releases = fresh.departures, fresh.releases
	s.history.replace(c.changes, c.header.Floor)
	s.revision.Store(c.header.Revision)
	for i := range s.shards {
		s.shards[i].mu.Unlock()
	}
	s.history.notify()
}
