package router

import (
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"marigoldpoint.example/marigoldpoint/internal/state/hasher"
)

// prefixCount is the number of prefixes that a shard remembers.
const prefixCount = 512

// prefixPlace is where a prefix was computed last. A later prefix with the
// same place in the table replaces it.
type prefixPlace struct {
	prefix     uint64
	generation uint32
	// gaps is the backend server's count of gaps at the time.
	gaps  uint32
	index uint16
}

// cacheHealth tells how often a backend server's cache events had a gap.
type cacheHealth struct{ gaps atomic.Uint32 }

// CachedPrefix takes in a hint that the backend server has the prefix in its
// cache, or no longer.
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
		s.remember(b, prefix)
	} else if place.prefix == prefix && place.generation == b.generation {
		*place = prefixPlace{}
	}
}

// prefixOf returns the prefix under the version: an engine caches what it
// computed with one version for that version alone.
func prefixOf(prefix, version uint64) uint64 {
	if prefix == 0 {
		return 0
	}
	return hasher.Mix(prefix ^ version)
}

// remember notes that the backend server has the prefix. The caller holds the
// shard's lock.
// The caller holds mu.
func (s *shard) remember(b *backend, prefix uint64) {
	s.prefixes[prefix%prefixCount] = prefixPlace{prefix: prefix, index: b.index, generation: b.generation, gaps: b.cache.gaps.Load()}
}

// CacheGap drops what is known of the backend server's prefix cache, because
// events that would tell what it dropped were lost.
func (r *Router) CacheGap(backend string) {
	if b := r.view.Load().byName[backend]; b != nil {
		b.cache.gaps.Add(1)
	}
}

// holder returns the backend server that has the prefix, or nil. The caller
// holds the shard's lock.
// The caller holds mu.
func (s *shard) holder(w *view, prefix uint64) *backend {
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
