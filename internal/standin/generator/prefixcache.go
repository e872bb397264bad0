package generator

import "container/list"

// prefixCache is an LRU cache of prompt blocks. It is not safe for concurrent use.
type prefixCache struct {
	// limit is the capacity in blocks.
	limit int
	// blocks maps the hash of each cached block to its element of recent.
	blocks map[uint64]*list.Element
	// recent contains cachedBlock values, the most recently used first.
	recent *list.List
}

type cachedBlock struct {
	hash  uint64
	model string
}

func newPrefixCache(limit int) prefixCache {
	return prefixCache{limit: limit, blocks: make(map[uint64]*list.Element), recent: list.New()}
}

// use looks up the blocks of a prompt in order and stores the missing ones. It returns
// the number of leading blocks that were cached, the newly stored hashes and the blocks
// evicted for them.
func (c *prefixCache) use(model string, hashes []uint64) (cached int, stored []uint64, evicted []cachedBlock) {
	hit := true
	for _, h := range hashes {
		if element, ok := c.blocks[h]; ok {
			c.recent.MoveToFront(element)
			if hit {
				cached++
			}
			continue
		}
		hit = false
		c.blocks[h] = c.recent.PushFront(cachedBlock{hash: h, model: model})
		stored = append(stored, h)
	}
	for c.recent.Len() > c.limit {
		block := c.recent.Remove(c.recent.Back()).(cachedBlock)
		delete(c.blocks, block.hash)
		evicted = append(evicted, block)
	}
	return cached, stored, evicted
}
