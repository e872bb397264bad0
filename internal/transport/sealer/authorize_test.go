package sealer_test

import (
	"encoding/json"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strconv"
	"strings"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/coordination/permitter"
	"marigoldpoint.example/marigoldpoint/internal/coordination/registrar"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/transport/sealer"
)

// methods returns the values of all method constants.
func methods() (found []messenger.Method) {
	file, err := parser.ParseFile(token.NewFileSet(), "../../protocol/messenger/method.go", nil, 0)
	Expect(err).NotTo(HaveOccurred())
	ast.Inspect(file, func(n ast.Node) bool {
		if l, ok := n.(*ast.BasicLit); ok && l.Kind == token.STRING {
			value, err := strconv.Unquote(l.Value)
			Expect(err).NotTo(HaveOccurred())
			found = append(found, messenger.Method(value))
		}
		return true
	})
	return found
}

// params encodes the parameters of a message.
func params(v any) json.RawMessage {
	GinkgoHelper()
	data, err := json.Marshal(v)
	Expect(err).NotTo(HaveOccurred())
	return data
}

func propose(c storer.Command) json.RawMessage {
	GinkgoHelper()
	data, err := storer.Encode(storer.Envelope{Command: c})
	Expect(err).NotTo(HaveOccurred())
	return params(distributor.Propose{Envelope: data})
}

func reasonOf(err error) messenger.Reason {
	var refusal *messenger.Refusal
	if !errors.As(err, &refusal) {
		return messenger.ReasonNone
	}
	return refusal.Reason
}

var _ = Describe("Authorize", func() {
	// The sender's name is empty, as are all names in empty parameters. A new method
	// without an entry in senders is refused for all roles.
	It("decides on each method by the sender's role", func() {
		var table strings.Builder
		for _, m := range append(methods(), "Control.Unknown") {
			fmt.Fprintf(&table, "%s:", m)
			for _, r := range []configurer.Role{entry, companion, control} {
				peer := sealer.Identity{Roles: []configurer.Role{r}}
				if reasonOf(sealer.Authorize(peer, m, json.RawMessage(`{}`))) != messenger.ReasonForbidden {
					fmt.Fprintf(&table, " %v", r)
				}
			}
			table.WriteString("\n")
		}
		const golden = "testdata/senders.golden"
		if *update {
			Expect(os.WriteFile(golden, []byte(table.String()), 0o644)).To(Succeed())
		}
		Expect(os.ReadFile(golden)).To(BeEquivalentTo(table.String()))
	})

	// Guards against a backend server that vanishes from all entries, or is replaced by
	// another one, while its companion works: another companion sent messages in its name.
	DescribeTable("restricts a companion to its own backend server",
		func(m messenger.Method, named func(name string) any) {
			peer := sealer.Identity{Node: "engine-1", Roles: []configurer.Role{companion}}
			Expect(sealer.Authorize(peer, m, params(named("engine-1")))).To(Succeed())
			Expect(reasonOf(sealer.Authorize(peer, m, params(named("engine-2"))))).To(Equal(messenger.ReasonForbidden))
			Expect(reasonOf(sealer.Authorize(peer, m, json.RawMessage(`[`)))).To(Equal(messenger.ReasonMalformed))
		},
		Entry("Join", messenger.MethodJoin, func(n string) any { return registrar.JoinRequest{Name: n} }),
		Entry("Leave", messenger.MethodLeave, func(n string) any { return registrar.LeaveRequest{Name: n} }),
		Entry("Renew", messenger.MethodRenew, func(n string) any { return registrar.Heartbeat{LeaseRenewal: registrar.LeaseRenewal{Name: n}} }),
		Entry("Renew with a report", messenger.MethodRenew, func(n string) any {
			return registrar.Heartbeat{LeaseRenewal: registrar.LeaseRenewal{Name: "engine-1"}, Report: &registrar.ServerChange{Name: n}}
		}),
		Entry("RequestPermit", messenger.MethodRequestPermit, func(n string) any {
			return permitter.PermitRequest{Request: permitter.Request{Companion: n}}
		}),
		Entry("FinishPermit", messenger.MethodFinishPermit, func(n string) any { return permitter.Finish{Companion: n} }),
		Entry("Subscribe", messenger.MethodSubscribe, func(n string) any {
			return distributor.Subscribe{Node: "engine-1", Scope: distributor.ScopeCompanion, Backend: n}
		}),
	)

	DescribeTable("restricts a subscription to the sender's node and scope",
		func(role configurer.Role, node string, scope distributor.Scope, allowed bool) {
			peer := sealer.Identity{Node: "n", Roles: []configurer.Role{role}}
			err := sealer.Authorize(peer, messenger.MethodSubscribe, params(distributor.Subscribe{Node: node, Scope: scope, Backend: "n"}))
			Expect(err == nil).To(Equal(allowed), "%v", err)
		},
		Entry("an entry's", entry, "n", distributor.ScopeEntry, true),
		Entry("a control host's", control, "n", distributor.ScopeCompanion, true),
		Entry("under another name", entry, "m", distributor.ScopeEntry, false),
		Entry("of keys by a companion", companion, "n", distributor.ScopeEntry, false),
	)

	It("refuses membership changes proposed by an entry", func() {
		peer := sealer.Identity{Node: "entry-1", Roles: []configurer.Role{entry}}
		leave := propose(storer.LeaveMember{Name: "engine-1", Ended: true})
		Expect(sealer.Authorize(peer, messenger.MethodPropose, propose(storer.ClaimCall{Key: "k"}))).To(Succeed())
		Expect(reasonOf(sealer.Authorize(peer, messenger.MethodPropose, leave))).To(Equal(messenger.ReasonForbidden))
		peer.Roles = []configurer.Role{control}
		Expect(sealer.Authorize(peer, messenger.MethodPropose, leave)).To(Succeed())
	})
})
