package registrar

import (
	"maps"
	"slices"
)

// Board holds the state of backend servers, and what of it subscribers have
// been told.
type Board struct {
	// servers holds the latest state of each backend server.
	servers map[string]ServerState
	// published holds the state that Collect gave out last. It is never newer
	// than servers, and each change that Collect returns builds on it.
	published map[string]ServerState
	// dirty names the servers that changed since the last Collect.
	dirty map[string]struct{}
	// gone names the published servers dropped since the last Collect.
	gone map[string]struct{}
}

// NewBoard returns an empty board.
func NewBoard() *Board {
	return &Board{
		servers:   make(map[string]ServerState),
		published: make(map[string]ServerState),
		dirty:     make(map[string]struct{}),
		gone:      make(map[string]struct{}),
	}
}

// Len returns the number of backend servers.
func (b *Board) Len() int { return len(b.servers) }

// State returns what is known of one backend server.
func (b *Board) State(name string) (ServerState, bool) {
	s, ok := b.servers[name]
	return s, ok
}

// Apply takes a change in. It returns false where the change builds on a state
// that the board does not have; the sender must then send the whole. A change
// that is not newer is ignored, and true is returned.
func (b *Board) Apply(c ServerChange) bool {
	former := b.servers[c.Name]
	next, ok := former.Apply(c)
	if !ok {
		newer := c.Epoch > former.Epoch || c.Epoch == former.Epoch && c.Sequence > former.Sequence
		return !newer
	}
	b.servers[c.Name] = next
	b.dirty[c.Name] = struct{}{}
	return true
}

// Drop forgets a backend server whose membership ended at epoch. A later
// membership is left alone.
func (b *Board) Drop(name string, epoch uint64) {
	s, ok := b.servers[name]
	if !ok || s.Epoch > epoch {
		return
	}
	if _, told := b.published[name]; told {
		b.gone[name] = struct{}{}
	}
	delete(b.servers, name)
	delete(b.published, name)
	delete(b.dirty, name)
}

// Collect returns the changes since the last call, sorted by name. It leaves
// out what is not worth a message: see ServerState.SameAs.
func (b *Board) Collect() DigestBatch {
	var batch DigestBatch
	for _, name := range slices.Sorted(maps.Keys(b.dirty)) {
		former, now := b.published[name], b.servers[name]
		if former.Sequence != 0 && now.SameAs(former) {
			continue
		}
		batch.Changes = append(batch.Changes, now.ChangeFrom(former))
		b.published[name] = now
	}
	batch.Gone = slices.Sorted(maps.Keys(b.gone))
	clear(b.dirty)
	clear(b.gone)
	return batch
}

// Whole returns the changes that make the published states out of nothing, so
// that the next Collect builds on them.
func (b *Board) Whole() DigestBatch {
	batch := DigestBatch{Whole: true}
	for _, name := range slices.Sorted(maps.Keys(b.published)) {
		batch.Changes = append(batch.Changes, b.published[name].Whole())
	}
	return batch
}
