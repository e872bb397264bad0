package tracker

import (
	"cmp"
	"slices"

	"marigoldpoint.example/marigoldpoint/internal/state/blamer"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// Member is one backend server.
type Member struct {
	// Name identifies the address, and Spec.Incarnation the incarnation that
	// serves there.
	Name string
	Spec storer.MemberSpec
}

// View is the replicated state at one revision. It is immutable.
type View struct {
	Revision uint64
	// Routing is nil until a routing configuration is received.
	Routing *Routing
	// members holds the backend servers by service, sorted by name. Members are shared by
	// the views that contain them and are not modified.
	members map[string][]*Member
	// changed holds the names of the backend servers that differ from the preceding view.
	// It is meaningless if reset is set: then any may differ.
	changed []string
	reset   bool
	// newest holds the newest versions by the name of the adapter or model.
	newest map[string]uint64
	// software holds the records of software versions by service.
	software map[string]storer.SoftwareSpec
	// List holds the requests during which backend servers ended.
	*blamer.List
	// Parts are the parts of prompts during which backend servers ended.
	Parts *blamer.Parts
}

// Members returns the backend servers of a service, sorted by name. They must not be
// modified.
func (v *View) Members(service string) []*Member { return v.members[service] }

// Member returns the backend server with the given name, or false if there is none.
func (v *View) Member(name string) (Member, bool) {
	for _, members := range v.members {
		if i, found := findMember(members, name); found {
			return *members[i], true
		}
	}
	return Member{}, false
}

// Each calls f for every backend server.
func (v *View) Each(f func(Member)) {
	for _, members := range v.members {
		for _, m := range members {
			f(*m)
		}
	}
}

// Len returns the number of backend servers.
func (v *View) Len() int {
	n := 0
	for _, members := range v.members {
		n += len(members)
	}
	return n
}

// Changed returns the names of the backend servers that differ from the preceding view.
// It returns false if any may differ.
func (v *View) Changed() (names []string, known bool) { return v.changed, !v.reset }

// findMember returns the position of the member with the name, or the one at which it would
// be inserted.
func findMember(members []*Member, name string) (i int, found bool) {
	return slices.BinarySearchFunc(members, name, func(m *Member, name string) int { return cmp.Compare(m.Name, name) })
}

// SoleSoftware returns the software version (storer.MemberSpec.SoftwareID) that all backend
// servers of a service and of all services of its kind have had so far: a route may have had
// another service before. known is false if there were several versions, or none yet; several
// excludes the latter.
func (v *View) SoleSoftware(service string) (software string, known, several bool) {
	own, known := v.software[service]
	for _, s := range v.software {
		several = several || s.Engine == own.Engine && (s.Several || s.Software != own.Software)
	}
	return own.Software, known && !several, known && several
}

// Newest returns the newest version of an adapter or model, or FirstVersion if none
// has been set.
func (v *View) Newest(name string) uint64 {
	if n, ok := v.newest[name]; ok {
		return n
	}
	return FirstVersion
}

// FirstVersion is the newest version of an adapter or model until another is set.
const FirstVersion = 1
