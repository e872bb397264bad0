package storer

import (
	"maps"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// shardCount is the number of shards of the state. Neither replicated nor stored
// data depends on it.
const shardCount = 64

// shard is the part of the state that belongs to the workspaces that hash to
// it. Only the goroutine that applies the log writes; readers are concurrent.
type shard struct {
	mu sync.RWMutex
	// spaces holds the content of each workspace by name, and under the empty
	// name the resources that belong to no workspace; guarded by mu.
	spaces map[string]*space
}

// space is the content of one workspace; guarded by its shard's mu.
type space struct {
	// resources holds the resources by kind and name.
	resources [kindLast + 1]map[string]Resource
	// versions counts the versions of each adapter that has at least one.
	versions map[string]int
	claims   map[string]Claim
	// records holds the first results of changes, by idempotency key.
	records map[string]record
	// retired holds the content digests of deleted versions, by name.
	retired map[string]retiredVersion
	// superseded holds, by member name, the incarnations that a later one
	// replaced, oldest first. A delayed message of one of them must not restore
	// its membership.
	superseded map[string][]string
	// departures holds the incarnations of backend servers that have left, ended or expired, by
	// incarnation.
	departures map[string]departure
	// releases holds the suspects that an operator has released, by name.
	releases map[string]release
}

// record is the first result of a change with an idempotency key.
type record struct {
	Workspace string  `cbor:"1,keyasint,omitempty"`
	Key       string  `cbor:"2,keyasint"`
	Digest    []byte  `cbor:"3,keyasint,omitempty"`
	Result    Result  `cbor:"4,keyasint"`
	Index     uint64  `cbor:"5,keyasint"`
	Time      Instant `cbor:"6,keyasint"`
}

// retiredVersion records the content of a deleted version. Engines and caches may
// still hold its weights: if the name were declared again with other content,
// callers could get answers computed with the old weights.
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
		releases:   map[string]release{},
	}
}

// space returns the workspace's space, and creates it if it is missing. The
// caller holds mu for writing.
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

// inUse reports whether the workspace contains resources other than its own
// declaration.
func (p *space) inUse() bool {
	for kind, rs := range p.resources {
		if Kind(kind) != KindWorkspace && len(rs) > 0 {
			return true
		}
	}
	return false
}

// empty reports whether the space contains nothing, so that it can be dropped.
func (p *space) empty() bool {
	return !p.inUse() && len(p.resources[KindWorkspace])+len(p.claims)+len(p.records)+len(p.retired)+len(p.superseded)+len(p.departures)+len(p.releases) == 0
}

// appendResources appends the resources of a kind, sorted by name.
func (p *space) appendResources(rs []Resource, kind Kind) []Resource {
	for _, name := range slices.Sorted(maps.Keys(p.resources[kind])) {
		rs = append(rs, p.resources[kind][name])
	}
	return rs
}

func shardIndex(workspace string) int { return int(xxhash.Sum64String(workspace) % shardCount) }
