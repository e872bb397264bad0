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

// A check that can't fail proves nothing: each is shown to find what it is for.

func broken(l *ledger, p FaultPromise) int64 {
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
		s := &stream{prompt: "prompt", tokens: streamTokens, first: make(chan struct{})}
		if err := s.read(ctx, server.Client(), server.Listener.Addr().String(), "w/a@v1", "key"); err != nil {
			s.failure = err.Error()
		}
		return s
	}
	event := func(text string) string {
		data, err := json.Marshal(piece{Choices: []pieceChoice{{Text: text}}})
		Expect(err).NotTo(HaveOccurred())
		return dataPrefix + string(data)
	}
	tokens := strings.SplitAfter(strings.TrimSpace(generator.Expected("w/a@v1", "prompt", streamTokens)), " ")
	all := func(change func([]string) []string) []string {
		var lines []string
		for _, t := range change(append([]string(nil), tokens...)) {
			lines = append(lines, event(" "+strings.TrimSpace(t)))
		}
		return append(lines, dataPrefix+doneMark)
	}

	It("is whole with every token and the mark", func(ctx SpecContext) {
		Expect(answerWith(ctx, all(func(t []string) []string { return t })...).whole()).To(BeTrue())
	}, NodeTimeout(testLimit))

	DescribeTable("is not whole",
		func(ctx SpecContext, lines func() []string) {
			Expect(answerWith(ctx, lines()...).whole()).To(BeFalse())
		},
		Entry("with a token lost", NodeTimeout(testLimit), func() []string {
			return all(func(t []string) []string { return append(t[:7], t[8:]...) })
		}),
		Entry("with two tokens exchanged", NodeTimeout(testLimit), func() []string {
			return all(func(t []string) []string { t[3], t[4] = t[4], t[3]; return t })
		}),
		Entry("without the mark", NodeTimeout(testLimit), func() []string {
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
		f = &faultRun{ledger: newLedger(), changes: &changes{}}
		w = &watcher{name: "entry-1", run: f, steady: time.Now().Add(-time.Minute)}
	})

	It("finds a change that is not in force in time, once", func() {
		f.changes.accept(change{revision: 5, at: time.Now().Add(-inForceLimit - time.Second)}, true)
		w.checkInForce(4)
		w.checkInForce(4)
		Expect(broken(f.ledger, InForceSoon)).To(BeEquivalentTo(1))
		w.checkInForce(5)
		f.changes.accept(change{revision: 6, at: time.Now()}, true)
		w.checkInForce(5)
		Expect(broken(f.ledger, InForceSoon)).To(BeEquivalentTo(1))
	})

	It("finds what is not in force at the end, on an unready entry too", func() {
		f.changes.accept(change{revision: 5, at: time.Now()}, true)
		f.changes.accept(change{revision: 6, at: time.Now()}, true)
		w.checkInForce(5)
		w.checkEnd()
		Expect(broken(f.ledger, InForceSoon)).To(BeEquivalentTo(1))
	})

	It("finds an entry that goes back", func() {
		w.checkMonotone(7)
		w.checkMonotone(7)
		w.checkMonotone(6)
		Expect(broken(f.ledger, NeverReverts)).To(BeEquivalentTo(1))
		w.compareShown(listing{Data: []listed{{ID: "w/" + markerName + "@v1"}, {ID: "w/a"}}})
		w.compareShown(listing{Data: []listed{{ID: "w/" + markerName + "@v1"}, {ID: "w/" + markerName + "@v2"}}})
		w.compareShown(listing{Data: []listed{{ID: "w/" + markerName + "@v2"}}})
		Expect(broken(f.ledger, NeverReverts)).To(BeEquivalentTo(2))
	})

	It("notes how long a change took to be in force", func() {
		f.changes.accept(change{revision: 5, at: time.Now().Add(-time.Second)}, true)
		w.checkInForce(7)
		Expect(broken(f.ledger, InForceSoon)).To(BeZero())
		Expect(f.changes.figures.InForceMaxMillis).To(BeNumerically(">=", 1000))
	})
})

var _ = Describe("a planned stop's check", func() {
	// Symptom: a backend server that leaves gets a request long after it began to
	// leave, while the run counts nothing broken.
	It("finds what a leaving engine got late", func(ctx SpecContext) {
		f, _ := deploy(ctx)
		s := f.openStreams(ctx)
		defer s.reading.Wait()
		serving := s.busiest()
		Expect(f.engine(serving).Record().Runs).NotTo(BeEmpty())
		f.checkLeft(serving, time.Now().Add(-time.Hour))
		Expect(broken(f.ledger, LeavingGetsNothing)).To(BeEquivalentTo(1))
	}, NodeTimeout(testLimit))
})

// counter is an operator API whose count takes effect doubled times.
type counter struct {
	value    int64
	revision uint64
	doubled  int64
	// lost is the number of next answers that are lost after the change.
	lost int
	// keys holds the answers by idempotency key.
	keys map[string]storer.Resource
}

func (c *counter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.Contains(r.URL.Path, ruleName) {
		w.WriteHeader(http.StatusCreated)
		_ = json.NewEncoder(w).Encode(storer.Resource{Kind: storer.KindVersion, Spec: storer.VersionSpec{}})
		return
	}
	key := r.Header.Get(translator.HeaderIdempotencyKey)
	answer, known := c.keys[key]
	if r.Method == http.MethodPut && !known {
		c.value += c.doubled
		c.revision++
	}
	if !known {
		answer = storer.Resource{
			Kind: storer.KindPriorityRule, Metadata: storer.Metadata{Revision: c.revision}, Spec: storer.PriorityRuleSpec{DeadlineMillis: c.value},
		}
	}
	if r.Method == http.MethodPut {
		c.keys[key] = answer
		if c.lost--; c.lost >= 0 {
			panic(http.ErrAbortHandler)
		}
	}
	w.Header().Set(headerETag, fmt.Sprintf("%q", fmt.Sprint(c.revision)))
	_ = json.NewEncoder(w).Encode(operator.Document{Kind: answer.Kind, Metadata: answer.Metadata, Spec: answer.Spec})
}

var _ = Describe("an operator", func() {
	count := func(ctx context.Context, c *counter) *faultRun {
		c.keys = make(map[string]storer.Resource)
		server := httptest.NewServer(c)
		DeferCleanup(server.Close)
		f := &faultRun{ledger: newLedger(), changes: &changes{}}
		o := &racer{name: "operator", addresses: []string{server.Listener.Addr().String()}, client: server.Client(), workspace: "w", changes: f.changes}
		f.racers = []*racer{o}
		before, _, err := o.read(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(o.count(ctx)).To(Succeed())
		f.checkCount(ctx, before)
		return f
	}

	// Symptom: a change sent again after a lost answer takes effect twice.
	It("finds a change that took effect twice", func(ctx SpecContext) {
		Expect(broken(count(ctx, &counter{doubled: 2}).ledger, ChangeTakenOnce)).To(BeEquivalentTo(1))
	}, NodeTimeout(testLimit))

	It("finds an accepted change that was lost", func(ctx SpecContext) {
		Expect(broken(count(ctx, &counter{doubled: 0}).ledger, ChangeTakenOnce)).To(BeEquivalentTo(1))
	}, NodeTimeout(testLimit))

	It("sends a change again after a lost answer, under its key", func(ctx SpecContext) {
		f := count(ctx, &counter{doubled: 1, lost: 2})
		Expect(broken(f.ledger, ChangeTakenOnce)).To(BeZero())
		Expect(f.changes.figures.Resent).To(Equal(2))
		Expect(f.changes.figures.Accepted).To(Equal(2))
	}, NodeTimeout(testLimit))
})
