package indexer

import (
	"slices"
	"strings"

	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// Member is one backend server.
type Member struct {
	Name string
	Spec storer.MemberSpec
}

// MemberView is the membership at one revision. It is immutable, since it is shared.
type MemberView struct {
	// Revision is the revision of the last change of a member.
	Revision uint64
	// Members are sorted by name.
	Members []Member
}

// withChanges returns the view after a batch of changes. It does not modify v.
func (v *MemberView) withChanges(revision uint64, changes []storer.Change) *MemberView {
	members := slices.Clone(v.Members)
	for _, c := range changes {
		i, found := slices.BinarySearchFunc(members, c.Resource.Metadata.Name, compareMember)
		spec, _ := c.Resource.Spec.(storer.MemberSpec)
		m := Member{Name: c.Resource.Metadata.Name, Spec: spec}
		switch {
		case c.Deleted && found:
			members = slices.Delete(members, i, i+1)
		case c.Deleted:
		case found:
			members[i] = m
		default:
			members = slices.Insert(members, i, m)
		}
	}
	return &MemberView{Revision: revision, Members: members}
}

func compareMember(m Member, name string) int { return strings.Compare(m.Name, name) }
