package cacher

import (
	"cmp"
	"maps"
	"slices"
)

const (
	// MaxWholeParts is the number of parts in a whole update. The parts that are reused are
	// among the most recently used.
	MaxWholeParts = 40
	// MaxChangedParts is the number of parts in a delta, which bounds what the reports take
	// of an entry's link.
	MaxChangedParts = 12
	// tolerance is the error of a margin, in tokens, up to which it is not published again.
	tolerance = 1500
)

// Position is where a part stands in the order of use.
type Position struct {
	_    struct{} `cbor:",toarray"`
	Hash uint32
	// Added is the value of Update.Added at which the part would have been used last if
	// nothing had been used again since. A value that makes the margin 0 or less removes the
	// part.
	Added int64
}

// Update is what a companion publishes about the cache. The margin of a part is Room minus
// the tokens that were added since its position, so that the margins of all parts follow from
// Room and Added, and only parts whose position has changed are sent.
type Update struct {
	_ struct{} `cbor:",toarray"`
	// Whole marks a complete state; otherwise Parts lists only changes.
	Whole bool
	// Room is the number of tokens of memory that running requests don't hold, and Added the
	// number of tokens prefilled since the companion's start.
	Room  int64
	Added int64
	Parts []Position
}

// margin returns the margin of a part at the given position.
func (u *Update) margin(added int64) int64 { return u.Room - (u.Added - added) }

// Publication is what the receivers of a group know of a cache. The zero value is ready for
// use.
type Publication struct {
	positions map[uint32]int64
}

// Change returns the changes of the cache since the last call. A change that does not fit is
// left for the next call.
func (p *Publication) Change(c *Cache) Update {
	u := Update{Room: int64(c.room()), Added: c.added}
	if p.positions == nil {
		p.positions = make(map[uint32]int64)
	}
	// Receivers drop the parts whose margin has run out.
	maps.DeleteFunc(p.positions, func(_ uint32, added int64) bool { return u.margin(added) <= 0 })
	type change struct {
		Position
		error int64
	}
	var changes []change
	known := make(map[uint32]struct{}, len(p.positions))
	for _, m := range c.margins(MaxWholeParts) {
		known[m.hash] = struct{}{}
		before, published := p.positions[m.hash]
		difference := m.tokens - u.margin(before)
		if published && max(difference, -difference) < tolerance || !published && m.tokens <= 0 {
			continue
		}
		if !published {
			difference = m.tokens
		}
		changes = append(changes, change{Position{Hash: m.hash, Added: m.tokens - u.Room + u.Added}, max(difference, -difference)})
	}
	for hash, before := range p.positions {
		if _, is := known[hash]; is {
			continue
		}
		changes = append(changes, change{Position{Hash: hash, Added: u.Added - u.Room}, u.margin(before)})
	}
	slices.SortFunc(changes, func(a, b change) int { return cmp.Or(cmp.Compare(b.error, a.error), cmp.Compare(a.Hash, b.Hash)) })
	for _, change := range changes[:min(len(changes), MaxChangedParts)] {
		u.Parts = append(u.Parts, change.Position)
		if u.margin(change.Added) <= 0 {
			delete(p.positions, change.Hash)
		} else {
			p.positions[change.Hash] = change.Added
		}
	}
	return u
}

// Whole returns the state that receivers have after the last change.
func (p *Publication) Whole(last Update) Update {
	last.Whole, last.Parts = true, nil
	for hash, added := range p.positions {
		last.Parts = append(last.Parts, Position{Hash: hash, Added: added})
	}
	slices.SortFunc(last.Parts, func(a, b Position) int { return cmp.Or(cmp.Compare(b.Added, a.Added), cmp.Compare(a.Hash, b.Hash)) })
	last.Parts = last.Parts[:min(len(last.Parts), MaxWholeParts)]
	return last
}
