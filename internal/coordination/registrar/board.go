package registrar

import (
	"cmp"
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
	// dirty names the servers that changed since they were last published, with
	// the round of Collect in which they began to differ.
	dirty map[string]uint64
	// round counts the calls of Collect.
	round uint64
	// gone names the published servers dropped since the last Collect.
	gone map[string]struct{}
}

// NewBoard returns an empty board.
func NewBoard() *Board {
	return &Board{
		servers:   make(map[string]ServerState),
		published: make(map[string]ServerState),
		dirty:     make(map[string]uint64),
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
	if _, dirty := b.dirty[c.Name]; !dirty {
		b.dirty[c.Name] = b.round
	}
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

// MaxLoadChanges is the number of changes of load alone that Collect gives out at
// once. Load travels with each answer too; these are for the backend servers
// that an entry has not heard from. Without a limit each entry would be told of
// each change of every backend server's load.
const MaxLoadChanges = 4

// Collect returns the changes since the last call, sorted by name. It leaves out
// what is not worth a message (see ServerState.Equivalent), and puts off changes of
// load alone beyond MaxLoadChanges: those of two levels or more come first, then the
// oldest.
func (b *Board) Collect() DigestBatch {
	var batch DigestBatch
	var loads []string
	for name := range b.dirty {
		former, now := b.published[name], b.servers[name]
		switch {
		case former.Sequence != 0 && now.Equivalent(former):
			delete(b.dirty, name)
		case now.sameResidency(former):
			loads = append(loads, name)
		default:
			batch.Changes = append(batch.Changes, b.publish(name))
		}
	}
	slices.SortFunc(loads, b.compareLoads)
	for _, name := range loads[:min(len(loads), MaxLoadChanges)] {
		batch.Changes = append(batch.Changes, b.publish(name))
	}
	slices.SortFunc(batch.Changes, func(x, y ServerChange) int { return cmp.Compare(x.Name, y.Name) })
	batch.Gone = slices.Sorted(maps.Keys(b.gone))
	clear(b.gone)
	b.round++
	return batch
}

// publish returns the change from the published state of a server.
func (b *Board) publish(name string) ServerChange {
	now := b.servers[name]
	c := now.ChangeFrom(b.published[name])
	b.published[name] = now
	delete(b.dirty, name)
	return c
}

// compareLoads orders changes of load alone.
func (b *Board) compareLoads(x, y string) int {
	return cmp.Or(
		cmp.Compare(b.steepness(y), b.steepness(x)),
		cmp.Compare(b.dirty[x], b.dirty[y]),
		cmp.Compare(x, y),
	)
}

// steepness is 1 for a change of load by two levels or more, else 0.
func (b *Board) steepness(name string) int {
	step := b.servers[name].Load.Level() - b.published[name].Load.Level()
	if step >= 2 || step <= -2 {
		return 1
	}
	return 0
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
