package tracker

import (
	"marigoldpoint.example/marigoldpoint/internal/state/blamer"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// Member is one backend server.
type Member struct {
	// Name identifies the place, and Spec.Incarnation the life.
	Name string
	Spec storer.MemberSpec
}

// View is what was known at one revision. It is not changed once made.
type View struct {
	Revision uint64
	// Routing is nil while no routing configuration is known.
	Routing *Routing
	// members holds the backend servers by service, sorted by name.
	members map[string][]Member
	newest  map[string]uint64
	// List holds the requests under which backend servers ended.
	*blamer.List
}

// Members returns the backend servers of a service, sorted by name. The slice
// must not be changed.
func (v *View) Members(service string) []Member { return v.members[service] }

// Member returns the backend server of a name.
func (v *View) Member(name string) (Member, bool) {
	for _, members := range v.members {
		for _, m := range members {
			if m.Name == name {
				return m, true
			}
		}
	}
	return Member{}, false
}

// Each calls f with every backend server.
func (v *View) Each(f func(Member)) {
	for _, members := range v.members {
		for _, m := range members {
			f(m)
		}
	}
}

// Newest returns the newest version named for an adapter or model, and
// FirstVersion where none was named.
func (v *View) Newest(name string) uint64 {
	if n, ok := v.newest[name]; ok {
		return n
	}
	return FirstVersion
}

// FirstVersion is the version that an adapter has before another is named.
const FirstVersion = 1
