package loader

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "300")
	_ = flag.Set("rapid.steps", "100")
}

func TestLoader(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Loader")
}

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

func newTable(s Settings) *Table { return NewTable(s, 7, rand.New(rand.NewPCG(1, 1))) }

func want(request, version string) Want {
	return Want{Request: request, Workspace: WorkspaceOf(version), Version: version, Source: "weights/" + version}
}

// single returns the only action of the type.
func single[A Action](actions []Action) A {
	GinkgoHelper()
	var found []A
	for _, a := range actions {
		if f, ok := a.(A); ok {
			found = append(found, f)
		}
	}
	Expect(found).To(HaveLen(1), "in %#v", actions)
	return found[0]
}

// loadAndPin makes the version resident for the request, which then pins it.
func loadAndPin(t *Table, now time.Time, request, version string) {
	GinkgoHelper()
	single[PermitAction](t.Want(now, want(request, version)))
	load := single[LoadAction](t.Permitted(now, version))
	single[ReadyAction](t.Loaded(now, version, load.Fence, OutcomeDone, ""))
	Expect(t.Pin(request)).To(BeTrue())
}
