package router

import (
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"marigoldpoint.example/marigoldpoint/internal/state/hasher"
)

// prefixCount is the number of prefixes remembered per shard.
const prefixCount = 512

// prefixPlace is the backend server on which a prefix was last computed. A later prefix
// with the same index in the table replaces it.
type prefixPlace struct {
	prefix     uint64
	generation uint32
	// gaps is the backend server's number of event gaps at the time.
	gaps  uint32
	index uint16
}

// cacheHealth counts the gaps in a backend server's cache events.
type cacheHealth struct{ gaps atomic.Uint32 }

// CachedPrefix records a hint that the backend server has the prefix in its cache, or
// no longer has it.
func (r *Router) CachedPrefix(backend, version string, prefix uint64, cached bool) {
	b := r.view.Load().byName[backend]
	if b == nil || prefix == 0 {
		return
	}
	hash := xxhash.Sum64String(version)
	prefix = prefixOf(prefix, hasher.Mix(hash))
	s := r.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	place := &s.prefixes[prefix%prefixCount]
	if cached {
		s.recordPrefix(b, prefix)
	} else if place.prefix == prefix && place.generation == b.generation {
		*place = prefixPlace{}
	}
}

// prefixOf returns the hash of the prefix under the version. An engine's cache entries
// are valid only for the version they were computed with.
func prefixOf(prefix, version uint64) uint64 {
	if prefix == 0 {
		return 0
	}
	return hasher.Mix(prefix ^ version)
}

// recordPrefix records that the backend server has the prefix. The caller holds mu.
func (s *shard) recordPrefix(b *backend, prefix uint64) {
	s.prefixes[prefix%prefixCount] = prefixPlace{prefix: prefix, index: b.index, generation: b.generation, gaps: b.cache.gaps.Load()}
}

// CacheGap discards what is known of the backend server's prefix cache, because events
// that may have reported evictions were lost.
func (r *Router) CacheGap(backend string) {
	if b := r.view.Load().byName[backend]; b != nil {
		b.cache.gaps.Add(1)
	}
}

// prefixHolder returns the backend server that has the prefix, or nil. The caller holds
// mu.
func (s *shard) prefixHolder(w *view, prefix uint64) *backend {
	place := &s.prefixes[prefix%prefixCount]
	if prefix == 0 || place.prefix != prefix {
		return nil
	}
	b := w.at(place.index, place.generation)
	if b == nil || b.cache.gaps.Load() != place.gaps {
		return nil
	}
	return b
}
