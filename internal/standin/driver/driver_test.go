package driver_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
	"marigoldpoint.example/marigoldpoint/internal/protocol/translator"
	"marigoldpoint.example/marigoldpoint/internal/standin/driver"
	"marigoldpoint.example/marigoldpoint/internal/standin/generator"
	"marigoldpoint.example/marigoldpoint/internal/standin/responder"
)

// honestEntry is a deployment of one process that answers at once and rightly.
type honestEntry struct {
	workload *driver.Workload
	requests atomic.Int64
	service  *responder.Service
	mu       sync.Mutex
	// kept holds the bodies of services' answers by key; guarded by mu.
	kept map[string][]byte
	// meddle, where set, changes the stream of an answer.
	meddle func(stream string) string
}

func (e *honestEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := fmt.Sprintf("r%d", e.requests.Add(1))
	h := w.Header()
	h.Set(translator.HeaderRequest, id)
	h.Set(translator.HeaderOutcome, "Completed")
	key := r.Header.Get(translator.HeaderIdempotencyKey)
	if key != "" {
		id = key // Both answers to a key are those of one run.
		h.Set(translator.HeaderRequest, id)
	}
	if path, ok := strings.CutPrefix(r.URL.Path, "/services/"+e.workload.Service.Name); ok {
		e.serveService(w, r, path, id, key)
		return
	}
	var q orderer.CompletionRequest
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		panic(err)
	}
	version := q.Model
	if !strings.Contains(version, "@") {
		var index int
		_, number, _ := strings.Cut(version, "-")
		_, _ = fmt.Sscanf(number, "%d", &index)
		version += "@v1"
		if index%e.workload.SecondVersionEvery == 0 {
			version = strings.TrimSuffix(version, "1") + "2"
		}
	}
	h.Set(translator.HeaderAdapter, version)
	h.Set(translator.HeaderStallMillis, "2.5")
	h.Set(translator.HeaderQueueMillis, "0")
	text := generator.Expected(version, q.FullPrompt(), q.MaxTokens)
	chunk := orderer.Chunk{ID: id, Model: version}
	if !q.Stream {
		chunk.Choices = []orderer.Choice{{Text: &text}}
		_ = json.NewEncoder(w).Encode(chunk)
		return
	}
	h.Set(translator.HeaderContentType, "text/event-stream")
	var stream strings.Builder
	for piece := range strings.SplitAfterSeq(text, ".") {
		chunk.Choices = []orderer.Choice{{Text: &piece}}
		data, _ := json.Marshal(chunk)
		fmt.Fprintf(&stream, "data: %s\n\n", data)
	}
	stream.WriteString("data: [DONE]\n\n")
	out := stream.String()
	if e.meddle != nil {
		out = e.meddle(out)
	}
	_, _ = w.Write([]byte(out))
}

// serveService runs a call under a key once.
func (e *honestEntry) serveService(w http.ResponseWriter, r *http.Request, path, id, key string) {
	inner := r.Clone(r.Context())
	inner.URL.Path = path
	inner.Header.Set(responder.HeaderRequest, id)
	if key == "" {
		e.service.Handler().ServeHTTP(w, inner)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.kept[key] == nil {
		recorded := httptest.NewRecorder()
		e.service.Handler().ServeHTTP(recorded, inner)
		e.kept[key] = recorded.Body.Bytes()
	}
	_, _ = w.Write(e.kept[key])
}

// behind is what stands behind the entry of a run.
type behind struct {
	service *responder.Service
	engine  *generator.Engine
}

// local observes both in the process.
func (b *behind) local() []driver.Observed {
	return []driver.Observed{driver.LocalService{Service: b.service}, driver.LocalEngine{Engine: b.engine, MaxBatch: 16}}
}

// remote observes both over HTTP.
func (b *behind) remote() []driver.Observed {
	return []driver.Observed{
		driver.RemoteService{Address: serve(b.service.Handler())},
		driver.RemoteEngine{Address: serve(b.engine.Handler())},
	}
}

// serve returns the address of a server that ends with the test.
func serve(h http.Handler) string {
	s := httptest.NewServer(h)
	DeferCleanup(s.Close)
	return s.Listener.Addr().String()
}

// run drives two addresses of one entry for a moment.
func run(meddle func(string) string, observed func(*behind) []driver.Observed) *driver.Report {
	GinkgoHelper()
	return runUntil(context.Background(), meddle, observed)
}

func runUntil(ctx context.Context, meddle func(string) string, observed func(*behind) []driver.Observed) *driver.Report {
	GinkgoHelper()
	w := driver.Peachtree().WithAdapters(60)
	service := responder.NewService(responder.Settings{Name: w.Service.Name})
	entry := &honestEntry{workload: &w, service: service, meddle: meddle, kept: make(map[string][]byte)}
	engine := generator.NewEngine(generator.Settings{})
	DeferCleanup(engine.Close)
	d, err := driver.NewDriver(driver.Settings{
		Workload: w,
		Schedule: driver.ScheduleSettings{Seed: 1, Duration: 500 * time.Millisecond, TimeScale: 0.02, MaxCalls: 300},
		Entries:  []driver.Entry{{Address: serve(entry)}, {Address: serve(entry)}},
		Keys:     driver.NewKeys(&w),
		Observed: observed(&behind{service: service, engine: engine}),
	})
	Expect(err).NotTo(HaveOccurred())
	r, err := d.Run(ctx)
	Expect(err).NotTo(HaveOccurred())
	return r
}

var _ = Describe("Driver", func() {
	It("finds nothing broken in a deployment that keeps its promises", func() {
		r := run(nil, (*behind).local)
		Expect(r.Faults).To(BeEmpty())
		for _, p := range r.Promises {
			Expect(p.Examples).To(BeEmpty())
			Expect(p.Tried).NotTo(BeNil(), p.Promise.String())
		}
		Expect(r.All.Endings.Completed).To(Equal(r.All.Endings.Calls))
		Expect(r.All.Endings.Calls).To(BeNumerically(">", 100))
		Expect(r.Resent.Calls).To(BeNumerically(">", 0))
		Expect(*r.Promises[driver.WholeAnswer].Tried).To(BeNumerically(">", 100))
		Expect(r.All.Stall.Above).To(Equal(r.All.Stall.Known))
		Expect(r.All.Stall.Absent).To(BeZero())
		Expect(r.Engines.BatchFill).To(BeNil(), "no step ran")
	})

	// Symptom: a paralegal files half a title review as the whole. Sequence: the
	// backend server dies in mid-stream, and what stands between closes the body as
	// if it had ended. Cause: the end of the body was taken for the end of the
	// answer.
	It("finds streams that end without mark or error", func() {
		r := run(func(stream string) string {
			return strings.TrimSuffix(stream, "data: [DONE]\n\n")
		}, (*behind).local)
		Expect(*r.Promises[driver.HonestEnd].Broken).To(BeNumerically(">", 0))
		Expect(r.All.Endings.Cut).To(Equal(*r.Promises[driver.HonestEnd].Broken))
	})

	It("reads records over HTTP", func() {
		r := run(nil, (*behind).remote)
		Expect(r.Faults).To(BeEmpty())
		Expect(r.Broken()).To(BeZero())
		Expect(*r.Promises[driver.AtMostOnce].Tried).To(BeNumerically(">", 0))
		Expect(r.Engines.StaleOrders).To(HaveValue(BeZero()))
	})

	It("reads companions' metrics, and claims nothing that only records prove", func() {
		var asked atomic.Int64
		companion := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			n := asked.Add(1)
			fmt.Fprintf(w, "# TYPE marigoldpoint_batch_fill_ratio histogram\n"+
				"marigoldpoint_batch_fill_ratio_sum %d\nmarigoldpoint_batch_fill_ratio_count %d\n"+
				"# TYPE marigoldpoint_slot_loads_total counter\nmarigoldpoint_slot_loads_total %d\n", n, 4*n, 10*n)
		})
		r := run(nil, func(*behind) []driver.Observed {
			return []driver.Observed{driver.RemoteCompanion{Operator: serve(companion)}}
		})
		Expect(r.Faults).To(BeEmpty())
		Expect(r.Engines.BatchFill).To(HaveValue(Equal(0.25)))
		Expect(r.Engines.Loads).To(Equal(10 * (asked.Load() - 1)))
		Expect(r.Engines.StaleOrders).To(BeNil())
		Expect(r.Promises[driver.StaysInUse].Tried).To(BeNil())
		Expect(r.Promises[driver.NotRunDidNotRun].Tried).To(BeNil())
	})

	It("stops when it is told to, with an answer to all it sent", func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		r := runUntil(ctx, func(stream string) string {
			cancel()
			return stream
		}, (*behind).local)
		Expect(r.Stopped).To(BeTrue())
		Expect(r.Faults).To(BeEmpty())
		Expect(r.All.Endings.Calls).To(BeNumerically("<", 300))
		Expect(r.All.Endings.Completed).To(Equal(r.All.Endings.Calls))
	})

	It("refuses to drive what is not on the loopback", func() {
		w := driver.Peachtree()
		_, err := driver.NewDriver(driver.Settings{
			Workload: w,
			Schedule: driver.ScheduleSettings{Duration: time.Second},
			Entries:  []driver.Entry{{Address: "192.0.2.1:80"}},
			Keys:     driver.NewKeys(&w),
		})
		Expect(err).To(MatchError(ContainSubstring("not on the loopback")))
	})
})
