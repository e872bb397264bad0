package router

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/state/indexer"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// Estimated cost, in seconds, of a hop to another failure domain or region.
const (
	domainDistance = 0.002
	regionDistance = 0.1
)

// ErrTooMany means that a view has more backend servers than a router can index.
const ErrTooMany = errors.ConstError("too many backend servers")

// view is an immutable snapshot of the membership, so that choices read it without a
// lock.
type view struct {
	// slots holds the memberships by index; nil for those that have ended.
	slots []*backend
	// serving reports, by index, whether a member accepts new calls.
	serving []bool
	byName  map[string]*backend
	pools   map[Pool]*pool
}

// at returns the membership with the index and generation, or nil if it has ended.
func (w *view) at(index uint16, generation uint32) *backend {
	if int(index) >= len(w.slots) {
		return nil
	}
	b := w.slots[index]
	if b == nil || b.generation != generation {
		return nil
	}
	return b
}

// builder builds the next view from the previous one.
type builder struct {
	settings   *Settings
	previous   *view
	next       *view
	averages   map[Pool]*averages
	generation *uint32
	number     *uint64
	members    map[Pool][]*backend
	added      []*backend
}

func (u *builder) build(members []indexer.Member) error {
	u.next = &view{
		slots:  make([]*backend, len(u.previous.slots)),
		byName: make(map[string]*backend, len(members)),
		pools:  make(map[Pool]*pool, len(u.previous.pools)),
	}
	u.members = make(map[Pool][]*backend)
	for _, m := range members {
		u.member(m)
	}
	if err := u.assign(); err != nil {
		return err
	}
	u.next.serving = make([]bool, len(u.next.slots))
	for key, bs := range u.members {
		for _, b := range bs {
			u.next.serving[b.index] = true
		}
		u.next.pools[key] = u.pool(key, bs)
	}
	return nil
}

// member reuses a continuing membership, and creates a new one if the epoch, the
// incarnation or the address has changed: the state of the old one, in particular
// residency, does not apply to the new one.
func (u *builder) member(m indexer.Member) {
	b := u.previous.byName[m.Name]
	key := poolOf(m.Spec)
	// A membership that has only started leaving continues, but belongs to no pool.
	if b == nil || !sameMembership(b.member.Spec, m.Spec) {
		b = u.backend(m, key)
		u.added = append(u.added, b)
	}
	u.next.byName[m.Name] = b
	if m.Spec.State == storer.MemberStateServing {
		u.members[key] = append(u.members[key], b)
	}
}

func sameMembership(a, b storer.MemberSpec) bool {
	a.State = b.State
	return a == b
}

func (u *builder) backend(m indexer.Member, key Pool) *backend {
	*u.generation++
	a := u.averages[key]
	if a == nil {
		a = newAverages(u.settings)
		u.averages[key] = a
	}
	b := &backend{
		member:     m,
		generation: *u.generation,
		hash:       xxhash.Sum64String(m.Name),
		averages:   a,
		maxBatch:   m.Spec.MaxBatch,
	}
	switch {
	case m.Spec.Region != u.settings.Region:
		b.distance = regionDistance
	case m.Spec.FailureDomain != u.settings.FailureDomain:
		b.distance = domainDistance
	}
	return b
}

// assign gives each new membership an index. A membership under a known name reuses the
// index of the previous one.
func (u *builder) assign() error {
	isNew := make(map[*backend]bool, len(u.added))
	for _, b := range u.added {
		isNew[b] = true
	}
	for _, b := range u.next.byName {
		if !isNew[b] {
			u.next.slots[b.index] = b
		}
	}
	free := 0
	for _, b := range u.added {
		if old := u.previous.byName[b.member.Name]; old != nil {
			b.index = old.index
			u.next.slots[b.index] = b
			continue
		}
		for free < len(u.next.slots) && (u.next.slots[free] != nil || u.reserved(free)) {
			free++
		}
		if free > math.MaxUint16 {
			return ErrTooMany
		}
		if free == len(u.next.slots) {
			u.next.slots = append(u.next.slots, nil)
		}
		b.index = uint16(free)
		u.next.slots[free] = b
	}
	return nil
}

// reserved reports whether the slot belongs to a name that has a new membership.
func (u *builder) reserved(slot int) bool {
	if slot >= len(u.previous.slots) || u.previous.slots[slot] == nil {
		return false
	}
	return u.next.byName[u.previous.slots[slot].member.Name] != nil
}

func (u *builder) pool(key Pool, bs []*backend) *pool {
	slices.SortFunc(bs, func(a, b *backend) int { return cmp.Compare(a.member.Name, b.member.Name) })
	if old := u.previous.pools[key]; old != nil && slices.Equal(old.members, bs) {
		return old
	}
	*u.number++
	return &pool{key: key, number: *u.number, members: bs, averages: u.averages[key]}
}

func poolOf(m storer.MemberSpec) Pool {
	if m.Kind == storer.MemberKindService {
		return Pool{Kind: m.Kind, Name: m.Service}
	}
	return Pool{Kind: m.Kind, Name: m.BaseModel}
}
