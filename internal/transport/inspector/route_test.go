package inspector_test

import (
	"bytes"
	"context"
	"flag"
	"net/http/httptest"
	"os"
	"strings"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/transport/inspector"
)

var update = flag.Bool("update", false, "write golden files")

var _ = Describe("A route", func() {
	answer := inspector.RouteAnswer{
		Node: "entry-1", Host: "h.example", Path: "/llm/x", Route: "l", Configuration: 3, Revision: 812, StateAgeMillis: 35, ConfirmedAgeMillis: -1,
		Services: []inspector.RouteService{{
			Name: "llm", Weight: 9, Engines: true, Choice: "e1",
			Candidates: []inspector.RouteServer{
				{Name: "e1", FailureDomain: "a", Known: true, ReportAgeMillis: 104, CostMillis: 33.5, Terms: []inspector.RouteTerm{{Name: "Read", Millis: 21.5}, {Name: "Wait", Millis: 12}}},
				{Name: "e4", FailureDomain: "b", ReportAgeMillis: -1, CostMillis: 295, Terms: []inspector.RouteTerm{{Name: "Distance", Millis: 120}, {Name: "Unknown", Millis: 175}}},
			},
			Excluded: []inspector.RouteServer{
				{Name: "e2", FailureDomain: "a", Known: true, ReportAgeMillis: 90, Exclusion: "Resting", RemainingMillis: 800},
				{Name: "e3", FailureDomain: "b", Known: true, ReportAgeMillis: 2100, Exclusion: "Leaving"},
			},
		}, {Name: "portal", Weight: 1, Choice: "p1", Ties: []string{"p1", "p2"}}, {Name: "empty", Weight: 1, Refusal: "no backend server"}},
	}
	query := inspector.RouteQuery{Host: "h.example", Path: "/llm/x?a=b&c", Model: "m", Adapter: "a1", Prompt: 900, Answer: 50, Parts: "1f:200,2e:700"}
	ask := func(q inspector.RouteQuery) (got inspector.RouteQuery, a inspector.RouteAnswer, err error) {
		server := httptest.NewServer(inspector.RouteHandler(func(q inspector.RouteQuery) (inspector.RouteAnswer, error) {
			got = q
			return answer, nil
		}))
		defer server.Close()
		a, err = inspector.QueryRoute(context.Background(), strings.TrimPrefix(server.URL, "http://"), q)
		return got, a, err
	}

	It("is written as text and as JSON", func() {
		got, a, err := ask(query)
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal(query))
		var text, document bytes.Buffer
		Expect(a.WriteText(&text)).To(Succeed())
		Expect(a.WriteJSON(&document)).To(Succeed())
		for name, written := range map[string]string{"testdata/route.golden": text.String(), "testdata/route.json.golden": document.String()} {
			if *update {
				Expect(os.WriteFile(name, []byte(written), 0o600)).To(Succeed())
			}
			golden, err := os.ReadFile(name)
			Expect(err).NotTo(HaveOccurred())
			Expect(written).To(Equal(string(golden)))
		}
	})

	// Guards against an answer about another request than the one that was meant.
	DescribeTable("is refused for an invalid query", func(change func(*inspector.RouteQuery)) {
		q := query
		change(&q)
		_, _, err := ask(q)
		Expect(errors.Is(err, errors.NotValid)).To(BeTrue(), "%v", err)
		_, err = inspector.ParseRouteQuery(q.Values())
		Expect(err).To(HaveOccurred())
	},
		Entry("without a host", func(q *inspector.RouteQuery) { q.Host = "" }),
		Entry("with a relative path", func(q *inspector.RouteQuery) { q.Path = "llm" }),
		Entry("with an adapter of no model", func(q *inspector.RouteQuery) { q.Model = "" }),
		Entry("with a negative prompt", func(q *inspector.RouteQuery) { q.Prompt = -1 }),
		Entry("with a part without tokens", func(q *inspector.RouteQuery) { q.Parts = "1f:200,2e" }),
	)
})
