package attendant

import (
	"container/list"

	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// cachebook remembers which prompt parts an engine has read lately, the least
// recently used first to go, as the engine's own memory does.
type cachebook struct {
	// fresh lists the hashes that no audience was told of yet.
	fresh []uint32
	// limit is the number of tokens remembered.
	limit  int
	tokens int
	order  *list.List
	parts  map[uint32]*list.Element
}

type bookedPart struct {
	hash   uint32
	tokens int
}

func newCachebook(limit int) *cachebook {
	return &cachebook{limit: limit, order: list.New(), parts: make(map[uint32]*list.Element)}
}

// read notes a prompt for a version of an adapter, and returns the number of its
// tokens that must be read anew.
func (b *cachebook) read(m messenger.Admit, version uint64) int {
	fresh := m.Tokens
	before, hit := uint32(0), true
	for _, p := range m.Parts {
		hash := placer.PartHash(m.Model, m.Adapter, version, before, p.ID)
		e, ok := b.parts[hash]
		if hit = hit && ok; hit {
			fresh -= p.Tokens
		}
		if ok {
			b.order.MoveToBack(e)
		} else {
			b.fresh = append(b.fresh, hash)
			b.parts[hash] = b.order.PushBack(bookedPart{hash: hash, tokens: p.Tokens})
			b.tokens += p.Tokens
		}
		before = hash
	}
	for b.tokens > b.limit && b.order.Len() > 0 {
		p := b.order.Remove(b.order.Front()).(bookedPart)
		delete(b.parts, p.hash)
		b.tokens -= p.tokens
	}
	return max(fresh, 0)
}

// unread returns the number of a prompt's tokens that would have to be read now.
func (b *cachebook) unread(m messenger.Admit, version uint64) int {
	before, tokens := uint32(0), m.Tokens
	for _, p := range m.Parts {
		before = placer.PartHash(m.Model, m.Adapter, version, before, p.ID)
		if _, ok := b.parts[before]; !ok {
			break
		}
		tokens -= p.Tokens
	}
	return max(tokens, 0)
}

// newest appends up to n hashes to dst, the last used first.
func (b *cachebook) newest(dst []uint32, n int) []uint32 {
	for e := b.order.Back(); e != nil && n > 0; e, n = e.Prev(), n-1 {
		dst = append(dst, e.Value.(bookedPart).hash)
	}
	return dst
}

func (b *cachebook) clear() {
	b.order.Init()
	clear(b.parts)
	b.tokens = 0
	b.fresh = nil
}
