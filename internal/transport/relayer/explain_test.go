package relayer_test

import (
	"context"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
	"marigoldpoint.example/marigoldpoint/internal/transport/relayer"
)

var _ = Describe("The explanation of a call", func() {
	call := relayer.Call{Host: "h", Path: "/a/x"}

	// Guards against an explanation by another route, service or call than the next request's.
	It("names the backend server that gets the next one", func() {
		backends := []*backend{newBackend(text("200", signed, "x")), newBackend(text("200", signed, "x"))}
		e := newEntry(tracker.Route{}, nil, backends...)
		for range 20 {
			a := e.relayer.Explain(call)
			Expect(a.Route).To(Equal("r"))
			chosen := backends[int(a.Services[0].Choice[1]-'0')]
			before := chosen.runs.Load()
			answer := e.call(context.Background(), nil)
			Expect(answer.StatusCode).To(Equal(http.StatusOK))
			Expect(read(answer)).To(Equal("x"))
			Expect(chosen.runs.Load()).To(Equal(before + 1))
			Eventually(e.relayer.InFlight).Should(BeZero())
		}
		Expect(e.relayer.Explain(relayer.Call{Host: "h", Path: "/b"}).Refusal).To(Equal("no route"))
	})

	// Guards against an old configuration that stays in use since it was looked at.
	It("does not make an untrusted configuration trusted", func() {
		e := newEntry(tracker.Route{}, nil, newBackend(text("200", signed, "x")))
		Expect(e.relayer.Explain(call).Refusal).To(BeEmpty())
		e.untrusted.Store(true)
		Expect(e.relayer.Explain(call).Refusal).To(Equal("no configuration is known yet"))
		Expect(e.relayer.Routing()).To(BeNil())
	})
})
