package storer

import (
	"maps"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// shardCount is the number of parts of the state. It shows in nothing that is
// replicated or written.
const shardCount = 64

// shard is the part of the state which belongs to the workspaces that hash to
// it. Only the goroutine that applies the log writes; readers are concurrent.
type shard struct {
	mu sync.RWMutex
	// spaces holds the workspaces by name, and under the empty name what
	// belongs to none; guarded by mu.
	spaces map[string]*space
}

// space is what belongs to one workspace; guarded by its shard's mu.
type space struct {
	// resources holds the resources by kind and name.
	resources [kindLast + 1]map[string]Resource
	// versions counts the versions of each adapter that has some.
	versions map[string]int
	claims   map[string]Claim
	// records holds the first answers to changes, by idempotency key.
	records map[string]record
	// retired holds the content of deleted versions, by name.
	retired map[string]retiredVersion
	// superseded holds, by member name, the incarnations which a later one
	// replaced, oldest first. A message of one of them that arrives late must
	// not take the membership back.
	superseded map[string][]string
	// departures holds the incarnations of backend servers that have ended, by
	// incarnation.
	departures map[string]departure
}

// record is the first answer to a change with an idempotency key.
type record struct {
	Workspace string  `cbor:"1,keyasint,omitempty"`
	Key       string  `cbor:"2,keyasint"`
	Digest    []byte  `cbor:"3,keyasint,omitempty"`
	Result    Result  `cbor:"4,keyasint"`
	Index     uint64  `cbor:"5,keyasint"`
	Time      Instant `cbor:"6,keyasint"`
}

// retiredVersion remembers what a deleted version held. Engines and caches may
// still hold weights under the name: declared again with another content, the
// name would have callers answered from the old one.
type retiredVersion struct {
	Workspace string  `cbor:"1,keyasint"`
	Name      string  `cbor:"2,keyasint"`
	Content   []byte  `cbor:"3,keyasint"`
	Index     uint64  `cbor:"4,keyasint"`
	Time      Instant `cbor:"5,keyasint"`
}

func newSpace() *space {
	return &space{
		versions:   map[string]int{},
		claims:     map[string]Claim{},
		records:    map[string]record{},
		retired:    map[string]retiredVersion{},
		superseded: map[string][]string{},
		departures: map[string]departure{},
	}
}

// space returns the workspace's part, made when it is missing. The caller holds
// mu for writing.
func (h *shard) space(workspace string) *space {
	p, ok := h.spaces[workspace]
	if !ok {
		p = newSpace()
		h.spaces[workspace] = p
	}
	return p
}

func (p *space) get(kind Kind, name string) (Resource, bool) {
	r, ok := p.resources[kind][name]
	return r, ok
}

func (p *space) put(r Resource) {
	if p.resources[r.Kind] == nil {
		p.resources[r.Kind] = map[string]Resource{}
	}
	if r.Kind == KindVersion {
		if _, ok := p.resources[r.Kind][r.Metadata.Name]; !ok {
			adapter, _, _ := SplitVersionName(r.Metadata.Name)
			p.versions[adapter]++
		}
	}
	p.resources[r.Kind][r.Metadata.Name] = r
}

func (p *space) remove(kind Kind, name string) {
	delete(p.resources[kind], name)
	if kind != KindVersion {
		return
	}
	adapter, _, _ := SplitVersionName(name)
	if p.versions[adapter]--; p.versions[adapter] == 0 {
		delete(p.versions, adapter)
	}
}

// inUse reports whether the workspace holds more than itself.
func (p *space) inUse() bool {
	for kind, rs := range p.resources {
		if Kind(kind) != KindWorkspace && len(rs) > 0 {
			return true
		}
	}
	return false
}

// empty reports whether nothing is left to keep the space for.
func (p *space) empty() bool {
	return !p.inUse() && len(p.resources[KindWorkspace])+len(p.claims)+len(p.records)+len(p.retired)+len(p.superseded)+len(p.departures) == 0
}

// appendResources appends the resources of a kind, sorted by name.
func (p *space) appendResources(rs []Resource, kind Kind) []Resource {
	for _, name := range slices.Sorted(maps.Keys(p.resources[kind])) {
		rs = append(rs, p.resources[kind][name])
	}
	return rs
}

func shardIndex(workspace string) int { return int(xxhash.Sum64String(workspace) % shardCount) }
