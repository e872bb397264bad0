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

// Seconds that a hop to another failure domain or region is taken to cost.
const (
	domainDistance = 0.002
	regionDistance = 0.1
)

// ErrTooMany means that a view has more backend servers than a router numbers.
const ErrTooMany = errors.ConstError("too many backend servers")

// view is the membership at one moment. It never changes, so that a choice
// reads it without a lock.
type view struct {
	// slots holds the memberships by their index; nil where one has ended.
	slots []*backend
	// serving tells, by index, who takes new work.
	serving []bool
	byName  map[string]*backend
	pools   map[Pool]*pool
}

// at returns the membership that a place meant, or nil where it has ended.
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

// builder makes the next view from the last one.
type builder struct {
	settings   *Settings
	last       *view
	next       *view
	averages   map[Pool]*averages
	generation *uint32
	number     *uint64
	members    map[Pool][]*backend
	added      []*backend
}

func (u *builder) build(members []indexer.Member) error {
	u.next = &view{
		slots:  make([]*backend, len(u.last.slots)),
		byName: make(map[string]*backend, len(members)),
		pools:  make(map[Pool]*pool, len(u.last.pools)),
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

// member takes over a membership that goes on, and makes a new one where the
// epoch, the incarnation or the address is another: what was known of the old
// one, residency above all, doesn't hold for the new one.
func (u *builder) member(m indexer.Member) {
	b := u.last.byName[m.Name]
	key := poolOf(m.Spec)
	// A membership that only turned to leaving goes on; it is in no pool.
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

// assign gives each new membership an index, the one of the former membership
// under its name first.
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
		if old := u.last.byName[b.member.Name]; old != nil {
			b.index = old.index
			u.next.slots[b.index] = b
			continue
		}
		for free < len(u.next.slots) && (u.next.slots[free] != nil || u.taken(free)) {
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

// taken reports whether the slot belongs to a name that has a new membership.
func (u *builder) taken(slot int) bool {
	if slot >= len(u.last.slots) || u.last.slots[slot] == nil {
		return false
	}
	return u.next.byName[u.last.slots[slot].member.Name] != nil
}

func (u *builder) pool(key Pool, bs []*backend) *pool {
	slices.SortFunc(bs, func(a, b *backend) int { return cmp.Compare(a.member.Name, b.member.Name) })
	if old := u.last.pools[key]; old != nil && slices.Equal(old.members, bs) {
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
