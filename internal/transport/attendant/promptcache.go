package attendant

import (
	"container/list"

	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// promptCache tracks which prompt parts the engine is expected to have cached, in least
// recently used order, which is also the engine's eviction order.
type promptCache struct {
	// added lists the hashes that have not been handed to the subscriber groups yet.
	added []uint32
	// limit is the capacity in tokens.
	limit  int
	tokens int
	lru    *list.List
	parts  map[uint32]*list.Element
}

type cachedPart struct {
	hash   uint32
	tokens int
}

func newPromptCache(limit int) *promptCache {
	return &promptCache{limit: limit, lru: list.New(), parts: make(map[uint32]*list.Element)}
}

// prefill records the prompt of a request for an adapter version, and returns the number of
// its tokens that are neither cached nor fetched from another engine.
func (c *promptCache) prefill(m messenger.Admit, version uint64) int {
	added := m.Tokens
	previous, hit := uint32(0), true
	for _, p := range m.Parts {
		hash := placer.PartHash(m.Model, m.Adapter, version, previous, p.ID)
		e, ok := c.parts[hash]
		if hit = hit && ok; hit {
			added -= p.Tokens
		}
		if ok {
			c.lru.MoveToBack(e)
		} else {
			c.added = append(c.added, hash)
			c.parts[hash] = c.lru.PushBack(cachedPart{hash: hash, tokens: p.Tokens})
			c.tokens += p.Tokens
		}
		previous = hash
	}
	for c.tokens > c.limit && c.lru.Len() > 0 {
		p := c.lru.Remove(c.lru.Front()).(cachedPart)
		delete(c.parts, p.hash)
		c.tokens -= p.tokens
	}
	return max(added-m.FetchTokens, 0)
}

// uncachedTokens returns the number of a prompt's tokens that are neither cached now nor fetched
// from another engine.
func (c *promptCache) uncachedTokens(m messenger.Admit, version uint64) int {
	previous, tokens := uint32(0), m.Tokens
	for _, p := range m.Parts {
		previous = placer.PartHash(m.Model, m.Adapter, version, previous, p.ID)
		if _, ok := c.parts[previous]; !ok {
			break
		}
		tokens -= p.Tokens
	}
	return max(tokens-m.FetchTokens, 0)
}

// newest appends up to n hashes to dst, the most recently used first.
func (c *promptCache) newest(dst []uint32, n int) []uint32 {
	for e := c.lru.Back(); e != nil && n > 0; e, n = e.Prev(), n-1 {
		dst = append(dst, e.Value.(cachedPart).hash)
	}
	return dst
}

func (c *promptCache) clear() {
	c.lru.Init()
	clear(c.parts)
	c.tokens = 0
	c.added = nil
}
