package registrar

import (
	"cmp"
	"maps"
	"slices"
)

// Board holds the state of backend servers, and the state that was last published to subscribers.
type Board struct {
	// servers holds the latest state of each backend server.
	servers map[string]ServerState
	// published holds the state that Collect last returned. It is never newer than servers, and
	// each change that Collect returns is based on it.
	published map[string]ServerState
	// dirty names the servers that changed since they were last published, with the number of the
	// Collect call after which they first differed.
	dirty map[string]uint64
	// round is the number of calls of Collect.
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

// State returns the latest state of a backend server, and false if it is not known.
func (b *Board) State(name string) (ServerState, bool) {
	s, ok := b.servers[name]
	return s, ok
}

// Apply applies a change. It returns false if the change is based on a state that the board does
// not have; the sender must then send the complete state. A change that is not newer is ignored,
// and true is returned.
func (b *Board) Apply(c ServerChange) bool {
	previous := b.servers[c.Name]
	next, ok := previous.Apply(c)
	if !ok {
		newer := c.Epoch > previous.Epoch || c.Epoch == previous.Epoch && c.Sequence > previous.Sequence
		return !newer
	}
	b.servers[c.Name] = next
	if _, dirty := b.dirty[c.Name]; !dirty {
		b.dirty[c.Name] = b.round
	}
	return true
}

// Drop removes a backend server whose membership ended at epoch. A later membership is kept.
func (b *Board) Drop(name string, epoch uint64) {
	s, ok := b.servers[name]
	if !ok || s.Epoch > epoch {
		return
	}
	if _, wasPublished := b.published[name]; wasPublished {
		b.gone[name] = struct{}{}
	}
	delete(b.servers, name)
	delete(b.published, name)
	delete(b.dirty, name)
}

// MaxLoadChanges is the maximum number of changes of load alone that one Collect returns. Each
// answer carries the load too, so that these changes matter only for backend servers that an entry
// has no answers from. Without a limit each entry would receive every change of every backend
// server's load.
const MaxLoadChanges = 4

// Collect returns the changes since the last call, sorted by name. It omits insignificant changes
// (see ServerState.Equivalent), and defers changes of load alone beyond MaxLoadChanges: those of
// two levels or more come first, then the oldest.
func (b *Board) Collect() DigestBatch {
	var batch DigestBatch
	var loadChanges []string
	for name := range b.dirty {
		previous, now := b.published[name], b.servers[name]
		switch {
		case previous.Sequence != 0 && now.Equivalent(previous):
			delete(b.dirty, name)
		case now.sameResidency(previous):
			loadChanges = append(loadChanges, name)
		default:
			batch.Changes = append(batch.Changes, b.publish(name))
		}
	}
	slices.SortFunc(loadChanges, b.compareLoadChanges)
	for _, name := range loadChanges[:min(len(loadChanges), MaxLoadChanges)] {
		batch.Changes = append(batch.Changes, b.publish(name))
	}
	slices.SortFunc(batch.Changes, func(x, y ServerChange) int { return cmp.Compare(x.Name, y.Name) })
	batch.Gone = slices.Sorted(maps.Keys(b.gone))
	clear(b.gone)
	b.round++
	return batch
}

// publish marks the latest state of a server as published, and returns the change from the
// previously published one.
func (b *Board) publish(name string) ServerChange {
	now := b.servers[name]
	c := now.ChangeFrom(b.published[name])
	b.published[name] = now
	delete(b.dirty, name)
	return c
}

// compareLoadChanges orders changes of load alone by urgency, age and name.
func (b *Board) compareLoadChanges(x, y string) int {
	return cmp.Or(
		cmp.Compare(b.loadUrgency(y), b.loadUrgency(x)),
		cmp.Compare(b.dirty[x], b.dirty[y]),
		cmp.Compare(x, y),
	)
}

// loadUrgency returns 1 for a change of load by two levels or more, and 0 otherwise.
func (b *Board) loadUrgency(name string) int {
	step := b.servers[name].Load.Level() - b.published[name].Load.Level()
	if step >= 2 || step <= -2 {
		return 1
	}
	return 0
}

// Whole returns the published states as complete states. The next Collect is based on them.
func (b *Board) Whole() DigestBatch {
	batch := DigestBatch{Whole: true}
	for _, name := range slices.Sorted(maps.Keys(b.published)) {
		batch.Changes = append(batch.Changes, b.published[name].Whole())
	}
	return batch
}
