package placer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"marigoldpoint.example/marigoldpoint/internal/coordination/estimator"
	"marigoldpoint.example/marigoldpoint/internal/coordination/throttler"
	"marigoldpoint.example/marigoldpoint/internal/state/hasher"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

// pool holds the backend servers of one service.
type pool struct {
	mu sync.Mutex
	// backends is sorted by name, and order by the entry's preference: those of its own
	// failure domain first, then at random, but always in the same order.
	backends, order []*backend
	// local is the number of backend servers in the entry's own failure domain.
	local int
	// used holds the engines that the entry has subscribed to for their calls although it
	// does not follow them, in no order.
	used   []*backend
	engine *tracker.Engine
	// random draws from source, which Explain copies.
	random *rand.Rand
	source *rand.PCG
	// attached reports whether the pool has received all changes of its members so far.
	attached   bool
	lastSurvey survey
	// learntRate is the prefill rate of the service's engines as observed.
	learntRate estimator.PrefillRate
	// slowdownReported means that a backend server of the service has reported its slowdown factor.
	slowdownReported bool
	// separation holds the engines designated for long prompts.
	separation separation
	// notices holds what backend servers have asked of this entry, by incarnation.
	notices map[string]*notice
	// compared receives the terms of each cost that a choice compares; nil except in the copies
	// that Explain makes.
	compared map[*backend]Terms
}

func newPool(source *rand.PCG) *pool { return &pool{random: rand.New(source), source: source} }

// preferred compares backend servers by the entry's preference.
func preferred(a, b *backend) int {
	return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(a.rank, b.rank), cmp.Compare(a.member.Name, b.member.Name))
}

// reset replaces all members. The caller holds mu.
func (o *pool) reset(service *tracker.Service, members []*tracker.Member, s *Settings) {
	o.engine, o.attached = service.Engine, true
	kept := make(map[string]struct{}, len(members))
	for _, m := range members {
		kept[m.Name] = struct{}{}
	}
	for _, b := range slices.Clone(o.backends) {
		if _, is := kept[b.member.Name]; !is {
			o.remove(b.member.Name)
		}
	}
	for _, m := range members {
		o.put(m, s)
	}
}

// update applies the changes of single members. The caller holds mu.
func (o *pool) update(service *tracker.Service, v *tracker.View, changed []string, s *Settings) {
	o.engine = service.Engine
	for _, name := range changed {
		if m, ok := v.Member(name); ok && m.Spec.Service == service.Name {
			o.put(&m, s)
		} else {
			o.remove(name)
		}
	}
}

// put adds or updates a member. State learned about a backend server is kept as long as
// its incarnation is unchanged. The caller holds mu.
func (o *pool) put(m *tracker.Member, s *Settings) {
	b := o.find(m.Name)
	if b != nil && b.member.Spec.Incarnation == m.Spec.Incarnation && b.member.Spec.FailureDomain == m.Spec.FailureDomain {
		if b.member.Spec.Slots != m.Spec.Slots {
			b.throttle = throttler.NewThrottler(m.Spec.Slots)
		}
		if b.member.Spec.State != m.Spec.State {
			o.separation.membersChanged = true
		}
		b.member = *m
		return
	}
	o.remove(m.Name)
	o.separation.membersChanged = true
	b = newBackend(*m)
	if m.Spec.FailureDomain != s.FailureDomain {
		b.tier = 1
	} else {
		o.local++
	}
	b.rank = hasher.Mix(xxhash.Sum64String(s.Node) ^ b.hash)
	i, _ := o.position(m.Name)
	o.backends = slices.Insert(o.backends, i, b)
	i, _ = slices.BinarySearchFunc(o.order, b, preferred)
	o.order = slices.Insert(o.order, i, b)
}

// remove removes a member if it is there. The caller holds mu.
func (o *pool) remove(name string) {
	i, found := o.position(name)
	if !found {
		return
	}
	o.separation.membersChanged = true
	b := o.backends[i]
	o.backends = slices.Delete(o.backends, i, i+1)
	if i, found = slices.BinarySearchFunc(o.order, b, preferred); found {
		o.order = slices.Delete(o.order, i, i+1)
	}
	if b.tier == 0 {
		o.local--
	}
	o.used = slices.DeleteFunc(o.used, func(u *backend) bool { return u == b })
}

// find returns the backend server with the name, or nil. The caller holds mu.
func (o *pool) find(name string) *backend {
	if i, found := o.position(name); found {
		return o.backends[i]
	}
	return nil
}

func (o *pool) position(name string) (i int, found bool) {
	return slices.BinarySearchFunc(o.backends, name, func(b *backend, name string) int { return cmp.Compare(b.member.Name, name) })
}

// followed returns the engines whose state the entry follows: all of its own failure
// domain, and as many others as make MinFollowed. It returns all backend servers of a plain
// service. The caller holds mu.
func (o *pool) followed(s *Settings) []*backend {
	if o.engine == nil {
		return o.order
	}
	return o.order[:min(max(o.local, s.MinFollowed), len(o.order))]
}

// follows reports whether the entry follows the state of a backend server. The caller holds
// mu.
func (o *pool) follows(b *backend, s *Settings) bool {
	f := o.followed(s)
	return len(f) > 0 && preferred(b, f[len(f)-1]) <= 0
}

// knows reports whether the entry follows the state of a backend server, or has subscribed to
// it for a call. The caller holds mu.
func (o *pool) knows(b *backend, s *Settings) bool {
	return o.follows(b, s) || slices.Contains(o.used, b)
}

// candidates appends the backend servers that the entry knows to list. The caller holds mu.
func (o *pool) candidates(list []*backend, s *Settings) []*backend {
	f := o.followed(s)
	if len(f) == len(o.backends) {
		return append(list, o.backends...)
	}
	list = append(list, f...)
	for _, b := range o.used {
		if !o.follows(b, s) {
			list = append(list, b)
		}
	}
	return list
}
