package cacher

import "container/list"

// Part is a part of a prompt.
type Part struct {
	// Hash identifies the part together with all parts before it.
	Hash   uint32
	Tokens int
}

// Memory is the memory for prompts and answers that an engine reports, in tokens.
type Memory struct {
	// Used can't be evicted now.
	Used int
	// Total is 0 if the engine does not report its memory.
	Total int
}

// cachedPart is a part that is expected to be cached.
type cachedPart struct {
	Part
	// owner is the adapter version, or the bare model, that has prefilled the part.
	owner string
	// uses is the number of running requests with the part; it is not evicted until they
	// end.
	uses int
	// shared means that the part was not the last one of some prompt. The last part belongs
	// to its request alone.
	shared bool
}

// Cache models the memory of one engine: which parts it has cached, and in which order they
// are evicted.
type Cache struct {
	memory Memory
	// order holds a *cachedPart for each part, the least recently used first, which is also
	// the order of eviction.
	order *list.List
	parts map[uint32]*list.Element
	// evictable is the number of tokens of parts that no running request uses.
	evictable int
	// held is the number of tokens that running requests hold, and heldAtReport its value
	// when the memory was reported. The difference is what the report lacks.
	held, heldAtReport int
	// added is the number of tokens prefilled since the start.
	added int64
	// generation increases with each Clear.
	generation int
}

// NewCache returns an empty cache of unknown size.
func NewCache() *Cache {
	return &Cache{order: list.New(), parts: make(map[uint32]*list.Element)}
}

// Use is the memory that a running request holds.
type Use struct {
	parts      []*list.Element
	rest       int
	generation int
}

// Begin records that the prompt of a request with the given number of tokens is prefilled.
func (c *Cache) Begin(owner string, parts []Part, tokens int) Use {
	u := Use{rest: tokens, generation: c.generation}
	hit := true
	for i, p := range parts {
		u.rest -= p.Tokens
		e, ok := c.parts[p.Hash]
		if ok {
			c.order.MoveToBack(e)
		} else {
			e = c.order.PushBack(&cachedPart{Part: p, owner: owner})
			c.parts[p.Hash] = e
			c.evictable += p.Tokens
		}
		if hit = hit && ok; !hit {
			c.added += int64(p.Tokens)
		}
		part := e.Value.(*cachedPart)
		part.shared = part.shared || i < len(parts)-1
		if part.uses++; part.uses == 1 {
			c.evictable -= part.Tokens
			c.held += part.Tokens
		}
		u.parts = append(u.parts, e)
	}
	u.rest = max(0, u.rest)
	c.held += u.rest
	c.added += int64(u.rest)
	c.evict()
	return u
}

// End records the end of a request. It must be called once.
func (c *Cache) End(u Use) {
	if u.generation != c.generation {
		return
	}
	for _, e := range u.parts {
		part := e.Value.(*cachedPart)
		if part.uses--; part.uses == 0 {
			c.evictable += part.Tokens
			c.held -= part.Tokens
		}
	}
	c.held -= u.rest
	c.evict()
}

// Snapshot is what running requests hold at one time.
type Snapshot struct{ held, generation int }

// Snapshot returns what running requests hold, for SetMemory.
func (c *Cache) Snapshot() Snapshot { return Snapshot{held: c.held, generation: c.generation} }

// SetMemory applies the memory that the engine has reported. Requested is the snapshot from
// before the report was requested.
func (c *Cache) SetMemory(m Memory, requested Snapshot) {
	m.Used = min(max(0, m.Used), m.Total)
	if requested.generation != c.generation {
		// The engine has restarted since, and its report includes none of the requests.
		requested.held = 0
	}
	c.memory, c.heldAtReport = m, requested.held
	c.evict()
}

// Known reports whether the engine reports its memory.
func (c *Cache) Known() bool { return c.memory.Total > 0 }

// room returns the number of tokens of memory that running requests don't hold.
func (c *Cache) room() int {
	return max(0, c.memory.Total-c.memory.Used-(c.held-c.heldAtReport))
}

// evict removes the parts that the memory no longer holds.
func (c *Cache) evict() {
	if !c.Known() {
		// Bounds the model of an engine that has not reported its memory yet.
		for c.order.Len() > maxUnmeasured && c.removeOldest() {
			continue
		}
		return
	}
	for c.evictable > c.room() && c.removeOldest() {
		continue
	}
}

// maxUnmeasured is the number of parts kept while the size of the memory is not known.
const maxUnmeasured = 256

// removeOldest removes the least recently used part that no running request uses, and reports
// whether there is one.
func (c *Cache) removeOldest() bool {
	for e := c.order.Front(); e != nil; e = e.Next() {
		if e.Value.(*cachedPart).uses == 0 {
			c.remove(e)
			return true
		}
	}
	return false
}

func (c *Cache) remove(e *list.Element) {
	part := c.order.Remove(e).(*cachedPart)
	delete(c.parts, part.Hash)
	c.evictable -= part.Tokens
}

// Retain removes the parts of all owners that keep rejects, except those in use: an engine
// drops the cached parts of an adapter or model that it unloads.
func (c *Cache) Retain(keep func(owner string) bool) {
	var next *list.Element
	for e := c.order.Front(); e != nil; e = next {
		next = e.Next()
		if part := e.Value.(*cachedPart); part.uses == 0 && !keep(part.owner) {
			c.remove(e)
		}
	}
}

// Clear removes everything, after a restart of the engine. The memory is unknown until the
// next report.
func (c *Cache) Clear() {
	added, generation := c.added, c.generation
	*c = *NewCache()
	c.added, c.generation = added, generation+1
}

// margin is the margin of a part.
type margin struct {
	hash   uint32
	tokens int64
}

// margins returns the margins of up to n parts that prompts may share, the most recently used
// first.
func (c *Cache) margins(n int) []margin {
	var all []margin
	room := c.room()
	left := room
	for e := c.order.Back(); e != nil && len(all) < n; e = e.Prev() {
		part := e.Value.(*cachedPart)
		tokens := room
		if part.uses == 0 {
			left -= part.Tokens
			tokens = left
		}
		if part.shared {
			all = append(all, margin{hash: part.Hash, tokens: int64(tokens)})
		}
	}
	return all
}
