package relayer_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

// Guards against a call that runs twice: a backend server answers a call that it may have run with
// a status by which callers repeat calls as not run, and the entry forwarded that status.
var _ = DescribeTable("A call that may have run is not answered as one that did not",
	func(route tracker.Route, status, header string) {
		a, b := newBackend(text(status, header+"Retry-After: 1\r\n", "mine")), newBackend(text(status, header, "mine"))
		answer := newEntry(route, nil, a, b).call(ctx, nil)
		Expect(answer.StatusCode).To(Equal(http.StatusBadGateway))
		Expect(answer.Header.Get("Retry-After")).To(BeEmpty())
		Expect(read(answer)).To(Equal("mine"))
	},
	Entry("503", runOnce, "503", ""),
	Entry("503 of all backend servers that were tried", repeatable, "503", ""),
	Entry("429", runOnce, "429", ""),
	Entry("408", runOnce, "408", ""),
	Entry("421", streamed, "421", ""),
)

// Guards against a signed answer with another status than its backend server gave.
var _ = DescribeTable("A signed answer keeps its status",
	func(route tracker.Route, status string, want int) {
		answer := newEntry(route, nil, newBackend(text(status, signed, "mine"))).call(ctx, nil)
		Expect(answer.StatusCode).To(Equal(want))
		Expect(read(answer)).To(Equal("mine"))
	},
	Entry("503", runOnce, "503", http.StatusServiceUnavailable),
	Entry("429", runOnce, "429", http.StatusTooManyRequests),
	Entry("408", runOnce, "408", http.StatusRequestTimeout),
	Entry("421", streamed, "421", http.StatusMisdirectedRequest),
)
