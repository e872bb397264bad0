package controller_test

import (
	"context"
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

var _ = Describe("Lists", func() {
	ctx := context.Background()
	var n *node

	BeforeEach(func() {
		g, err := newGroup(1, shortLeases)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(g.close)
		n = g.node("entry", "d1", distributor.ScopeEntry, nil)
		DeferCleanup(n.Close)
	})

	propose := func(c storer.Command) {
		r, err := n.Propose(ctx, storer.Envelope{Command: c})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Verdict).To(Equal(storer.VerdictAccepted), r.Reason)
	}

	page := func(kind storer.Kind, last storer.Metadata) (names []string) {
		a, err := n.Read(ctx, distributor.Read{
			Kind: distributor.ReadList, Key: storer.Key{Kind: kind, Name: last.Name},
			LastWorkspace: last.Workspace, After: 2, Limit: 2,
		})
		Expect(err).NotTo(HaveOccurred())
		for _, r := range a.Resources {
			names = append(names, r.Metadata.Name)
		}
		return names
	}

	// Guards against pages that begin at a position. A page is read, one of its resources
	// is deleted, and the next page is read; all later resources have moved up by one, so
	// a member or, in a back-up made of lists, a workspace would be missing.
	It("skip nothing if a resource of an earlier page is deleted", func() {
		for i := 1; i <= 4; i++ {
			w := fmt.Sprintf("w%d", i)
			propose(storer.PutResource{Resource: storer.Resource{
				Kind: storer.KindWorkspace, Metadata: storer.Metadata{Workspace: w, Name: w}, Spec: storer.WorkspaceSpec{Share: 1},
			}})
			propose(storer.PutResource{Resource: storer.Resource{
				Kind: storer.KindAdapter, Metadata: storer.Metadata{Workspace: w, Name: "forms"}, Spec: storer.AdapterSpec{BaseModel: "b"},
			}})
			propose(storer.JoinMember{Name: fmt.Sprintf("m%d", i), Member: member("d1", "i1")})
		}
		propose(storer.LeaveMember{Name: "m1", Epoch: n.epoch("m1"), Ended: true})
		propose(storer.DeleteResource{Key: storer.Key{Kind: storer.KindAdapter, Workspace: "w1", Name: "forms"}})
		propose(storer.DeleteResource{Key: storer.Key{Kind: storer.KindWorkspace, Workspace: "w1", Name: "w1"}})

		Expect(page(storer.KindMember, storer.Metadata{Name: "m2"})).To(HaveExactElements("m3", "m4"))
		Expect(page(storer.KindWorkspace, storer.Metadata{Name: "w2"})).To(HaveExactElements("w3", "w4"))
		// The last resource of the previous page may itself be deleted.
		Expect(page(storer.KindWorkspace, storer.Metadata{Name: "w1"})).To(HaveExactElements("w2", "w3"))
		Expect(page(storer.KindAdapter, storer.Metadata{Workspace: "w3", Name: "forms"})).To(HaveExactElements("forms"))
	})
})

// epoch returns the epoch of a membership.
func (n *node) epoch(name string) uint64 {
	r, _, _, err := n.Get(context.Background(), storer.Key{Kind: storer.KindMember, Name: name})
	Expect(err).NotTo(HaveOccurred())
	return r.Spec.(storer.MemberSpec).Epoch
}
