package demonstrator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/protocol/translator"
	"marigoldpoint.example/marigoldpoint/internal/standin/generator"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/transport/operator"
)

// These specs show that each check of a promise fails when the promise is broken.

// broken returns how often a promise was broken.
func broken(l *findings, p FaultPromise) int64 {
	for _, f := range l.tried() {
		if f.Promise == p {
			return f.Broken
		}
	}
	return 0
}

var _ = Describe("a stream", func() {
	answerWith := func(ctx context.Context, lines ...string) *stream {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(translator.HeaderAdapter, "w/a@v1")
			for _, l := range lines {
				fmt.Fprintf(w, "%s\n\n", l)
			}
		}))
		defer server.Close()
		s := &stream{prompt: "prompt", tokens: streamTokens, firstToken: make(chan struct{})}
		if err := s.read(ctx, server.Client(), server.Listener.Addr().String(), "w/a@v1", "key"); err != nil {
			s.connectionError = err.Error()
		}
		return s
	}
	event := func(text string) string {
		data, err := json.Marshal(eventPart{Choices: []eventChoice{{Text: text}}})
		Expect(err).NotTo(HaveOccurred())
		return dataPrefix + string(data)
	}
	tokens := strings.SplitAfter(strings.TrimSpace(generator.Expected("w/a@v1", "prompt", streamTokens)), " ")
	all := func(change func([]string) []string) []string {
		var lines []string
		for _, t := range change(append([]string(nil), tokens...)) {
			lines = append(lines, event(" "+strings.TrimSpace(t)))
		}
		return append(lines, dataPrefix+doneMarker)
	}

	It("is complete with every token and the end marker", func(ctx SpecContext) {
		Expect(answerWith(ctx, all(func(t []string) []string { return t })...).complete()).To(BeTrue())
	}, NodeTimeout(testLimit))

	DescribeTable("is not complete",
		func(ctx SpecContext, lines func() []string) {
			Expect(answerWith(ctx, lines()...).complete()).To(BeFalse())
		},
		Entry("with a missing token", NodeTimeout(testLimit), func() []string {
			return all(func(t []string) []string { return append(t[:7], t[8:]...) })
		}),
		Entry("with two tokens swapped", NodeTimeout(testLimit), func() []string {
			return all(func(t []string) []string { t[3], t[4] = t[4], t[3]; return t })
		}),
		Entry("without the end marker", NodeTimeout(testLimit), func() []string {
			lines := all(func(t []string) []string { return t })
			return lines[:len(lines)-1]
		}),
		Entry("that ends in an error event", NodeTimeout(testLimit), func() []string {
			return []string{event(tokens[0]), dataPrefix + `{"error":{"message":"cut"}}`}
		}),
	)
})

var _ = Describe("a watcher", func() {
	var f *faultRun
	var w *watcher
	BeforeEach(func() {
		f = &faultRun{findings: newFindings(), changes: &changes{}}
		w = &watcher{name: "entry-1", run: f, readySince: time.Now().Add(-time.Minute)}
	})

	It("reports a change that is not in force in time, once", func() {
		f.changes.addAccepted(change{revision: 5, at: time.Now().Add(-inForceLimit - time.Second)}, true)
		w.checkInForce(4)
		w.checkInForce(4)
		Expect(broken(f.findings, InForceSoon)).To(BeEquivalentTo(1))
		w.checkInForce(5)
		f.changes.addAccepted(change{revision: 6, at: time.Now()}, true)
		w.checkInForce(5)
		Expect(broken(f.findings, InForceSoon)).To(BeEquivalentTo(1))
	})

	It("reports changes that are not in force at the end, also on an unready entry", func() {
		f.changes.addAccepted(change{revision: 5, at: time.Now()}, true)
		f.changes.addAccepted(change{revision: 6, at: time.Now()}, true)
		w.checkInForce(5)
		w.checkEnd()
		Expect(broken(f.findings, InForceSoon)).To(BeEquivalentTo(1))
	})

	It("reports an entry that returns to an earlier state", func() {
		w.checkMonotone(7)
		w.checkMonotone(7)
		w.checkMonotone(6)
		Expect(broken(f.findings, NeverReverts)).To(BeEquivalentTo(1))
		w.compareListing(modelList{Data: []modelEntry{{ID: "w/" + markerName + "@v1"}, {ID: "w/a"}}})
		w.compareListing(modelList{Data: []modelEntry{{ID: "w/" + markerName + "@v1"}, {ID: "w/" + markerName + "@v2"}}})
		w.compareListing(modelList{Data: []modelEntry{{ID: "w/" + markerName + "@v2"}}})
		Expect(broken(f.findings, NeverReverts)).To(BeEquivalentTo(2))
	})

	It("records how long a change took to come into force", func() {
		f.changes.addAccepted(change{revision: 5, at: time.Now().Add(-time.Second)}, true)
		w.checkInForce(7)
		Expect(broken(f.findings, InForceSoon)).To(BeZero())
		Expect(f.changes.figures.InForceMaxMillis).To(BeNumerically(">=", 1000))
	})
})

var _ = Describe("the check of a planned stop", func() {
	// Guards against a check that misses requests which a leaving backend server got
	// long after it began to leave.
	It("reports late requests to a leaving engine", func(ctx SpecContext) {
		f, _ := deploy(ctx)
		s := f.openStreams(ctx)
		defer s.readers.Wait()
		serving := s.busiest()
		Expect(f.engine(serving).Record().Runs).NotTo(BeEmpty())
		f.checkLateRequests(serving, time.Now().Add(-time.Hour))
		Expect(broken(f.findings, LeavingGetsNothing)).To(BeEquivalentTo(1))
	}, NodeTimeout(testLimit))
})

// countServer is an operator API that adds increase to the count for each change.
type countServer struct {
	value    int64
	revision uint64
	increase int64
	// lostAnswers is the number of further answers that are lost after their
	// change took effect.
	lostAnswers int
	// keys holds the answers by idempotency key.
	keys map[string]storer.Resource
}

func (c *countServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.Contains(r.URL.Path, ruleName) {
		w.WriteHeader(http.StatusCreated)
		_ = json.NewEncoder(w).Encode(storer.Resource{Kind: storer.KindVersion, Spec: storer.VersionSpec{}})
		return
	}
	key := r.Header.Get(translator.HeaderIdempotencyKey)
	answer, known := c.keys[key]
	if r.Method == http.MethodPut && !known {
		c.value += c.increase
		c.revision++
	}
	if !known {
		answer = storer.Resource{
			Kind: storer.KindPriorityRule, Metadata: storer.Metadata{Revision: c.revision}, Spec: storer.PriorityRuleSpec{DeadlineMillis: c.value},
		}
	}
	if r.Method == http.MethodPut {
		c.keys[key] = answer
		if c.lostAnswers--; c.lostAnswers >= 0 {
			panic(http.ErrAbortHandler)
		}
	}
	w.Header().Set(headerETag, fmt.Sprintf("%q", fmt.Sprint(c.revision)))
	_ = json.NewEncoder(w).Encode(operator.Document{Kind: answer.Kind, Metadata: answer.Metadata, Spec: answer.Spec})
}

var _ = Describe("an operator", func() {
	increment := func(ctx context.Context, c *countServer) *faultRun {
		c.keys = make(map[string]storer.Resource)
		server := httptest.NewServer(c)
		DeferCleanup(server.Close)
		f := &faultRun{findings: newFindings(), changes: &changes{}}
		o := &operatorClient{name: "operator", addresses: []string{server.Listener.Addr().String()}, client: server.Client(), workspace: "w", changes: f.changes}
		f.operatorClients = []*operatorClient{o}
		before, _, err := o.read(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(o.increment(ctx)).To(Succeed())
		f.checkCount(ctx, before)
		return f
	}

	// Guards against a check that misses a change which took effect twice, as one
	// sent again after a lost answer could.
	It("reports a change that took effect twice", func(ctx SpecContext) {
		Expect(broken(increment(ctx, &countServer{increase: 2}).findings, ChangeTakenOnce)).To(BeEquivalentTo(1))
	}, NodeTimeout(testLimit))

	It("reports an accepted change that was lost", func(ctx SpecContext) {
		Expect(broken(increment(ctx, &countServer{increase: 0}).findings, ChangeTakenOnce)).To(BeEquivalentTo(1))
	}, NodeTimeout(testLimit))

	It("sends a change again with the same key after a lost answer", func(ctx SpecContext) {
		f := increment(ctx, &countServer{increase: 1, lostAnswers: 2})
		Expect(broken(f.findings, ChangeTakenOnce)).To(BeZero())
		Expect(f.changes.figures.Resent).To(Equal(2))
		Expect(f.changes.figures.Accepted).To(Equal(2))
	}, NodeTimeout(testLimit))
})
