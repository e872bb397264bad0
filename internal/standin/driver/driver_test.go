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

// testEntry is a deployment of one process that answers immediately and correctly.
type testEntry struct {
	workload *driver.Workload
	requests atomic.Int64
	service  *responder.Service
	mu       sync.Mutex
	// retained holds the bodies of services' answers by key; guarded by mu.
	retained map[string][]byte
	// tamper, if set, changes the stream of an answer.
	tamper func(stream string) string
}

func (e *testEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := fmt.Sprintf("r%d", e.requests.Add(1))
	h := w.Header()
	h.Set(translator.HeaderRequest, id)
	h.Set(translator.HeaderOutcome, "Completed")
	key := r.Header.Get(translator.HeaderIdempotencyKey)
	if key != "" {
		id = key // All answers to a key come from one run.
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
	if e.tamper != nil {
		out = e.tamper(out)
	}
	_, _ = w.Write([]byte(out))
}

// serveService runs a call with a key only once.
func (e *testEntry) serveService(w http.ResponseWriter, r *http.Request, path, id, key string) {
	inner := r.Clone(r.Context())
	inner.URL.Path = path
	inner.Header.Set(responder.HeaderRequest, id)
	if key == "" {
		e.service.Handler().ServeHTTP(w, inner)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.retained[key] == nil {
		recorded := httptest.NewRecorder()
		e.service.Handler().ServeHTTP(recorded, inner)
		e.retained[key] = recorded.Body.Bytes()
	}
	_, _ = w.Write(e.retained[key])
}

// backends are the backend servers of the test entry.
type backends struct {
	service *responder.Service
	engine  *generator.Engine
}

// local returns both as sources in this process.
func (b *backends) local() []driver.Observed {
	return []driver.Observed{driver.LocalService{Service: b.service}, driver.LocalEngine{Engine: b.engine, MaxBatch: 16}}
}

// remote returns both as sources over HTTP.
func (b *backends) remote() []driver.Observed {
	return []driver.Observed{
		driver.RemoteService{Address: serve(b.service.Handler())},
		driver.RemoteEngine{Address: serve(b.engine.Handler())},
	}
}

// serve starts a server that is closed at the end of the test, and returns its address.
func serve(h http.Handler) string {
	s := httptest.NewServer(h)
	DeferCleanup(s.Close)
	return s.Listener.Addr().String()
}

// run performs a short run against two addresses of one test entry.
func run(tamper func(string) string, observed func(*backends) []driver.Observed) *driver.Report {
	GinkgoHelper()
	return runUntil(context.Background(), tamper, observed)
}

func runUntil(ctx context.Context, tamper func(string) string, observed func(*backends) []driver.Observed) *driver.Report {
	GinkgoHelper()
	w := driver.Peachtree().WithAdapters(60)
	service := responder.NewService(responder.Settings{Name: w.Service.Name})
	entry := &testEntry{workload: &w, service: service, tamper: tamper, retained: make(map[string][]byte)}
	engine := generator.NewEngine(generator.Settings{})
	DeferCleanup(engine.Close)
	d, err := driver.NewDriver(driver.Settings{
		Workload: w,
		Schedule: driver.ScheduleSettings{Seed: 1, Duration: 500 * time.Millisecond, TimeScale: 0.02, MaxCalls: 300},
		Entries:  []driver.Entry{{Address: serve(entry)}, {Address: serve(entry)}},
		Keys:     driver.NewKeys(&w),
		Observed: observed(&backends{service: service, engine: engine}),
	})
	Expect(err).NotTo(HaveOccurred())
	r, err := d.Run(ctx)
	Expect(err).NotTo(HaveOccurred())
	return r
}

var _ = Describe("Driver", func() {
	It("reports no broken promise for a correct deployment", func() {
		r := run(nil, (*backends).local)
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

	// Guards against an incomplete title review that is taken for a complete one: the
	// backend server dies during the stream, an intermediary closes the body normally, and
	// the end of the body is taken for the end of the answer.
	It("reports streams that end without end marker or error", func() {
		r := run(func(stream string) string {
			return strings.TrimSuffix(stream, "data: [DONE]\n\n")
		}, (*backends).local)
		Expect(*r.Promises[driver.HonestEnd].Broken).To(BeNumerically(">", 0))
		Expect(r.All.Endings.Cut).To(Equal(*r.Promises[driver.HonestEnd].Broken))
	})

	It("reads records over HTTP", func() {
		r := run(nil, (*backends).remote)
		Expect(r.Faults).To(BeEmpty())
		Expect(r.Broken()).To(BeZero())
		Expect(*r.Promises[driver.AtMostOnce].Tried).To(BeNumerically(">", 0))
		Expect(r.Engines.StaleOrders).To(HaveValue(BeZero()))
	})

	It("reads companions' metrics, and does not check promises that need records", func() {
		var asked atomic.Int64
		companion := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			n := asked.Add(1)
			fmt.Fprintf(w, "# TYPE marigoldpoint_batch_fill_ratio histogram\n"+
				"marigoldpoint_batch_fill_ratio_sum %d\nmarigoldpoint_batch_fill_ratio_count %d\n"+
				"# TYPE marigoldpoint_slot_loads_total counter\nmarigoldpoint_slot_loads_total %d\n", n, 4*n, 10*n)
		})
		r := run(nil, func(*backends) []driver.Observed {
			return []driver.Observed{driver.RemoteCompanion{Operator: serve(companion)}}
		})
		Expect(r.Faults).To(BeEmpty())
		Expect(r.Engines.BatchFill).To(HaveValue(Equal(0.25)))
		Expect(r.Engines.Loads).To(Equal(10 * (asked.Load() - 1)))
		Expect(r.Engines.StaleOrders).To(BeNil())
		Expect(r.Promises[driver.StaysInUse].Tried).To(BeNil())
		Expect(r.Promises[driver.NotRunDidNotRun].Tried).To(BeNil())
	})

	It("stops when the context ends, with an answer to all calls that it sent", func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		r := runUntil(ctx, func(stream string) string {
			cancel()
			return stream
		}, (*backends).local)
		Expect(r.Stopped).To(BeTrue())
		Expect(r.Faults).To(BeEmpty())
		Expect(r.All.Endings.Calls).To(BeNumerically("<", 300))
		Expect(r.All.Endings.Completed).To(Equal(r.All.Endings.Calls))
	})

	It("rejects addresses that are not on the loopback", func() {
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
