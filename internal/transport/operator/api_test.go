package operator

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/coordination/distributor"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

var update = flag.Bool("update", false, "write the golden files")

const (
	operatorsKey = "operators' key"
	titlePath    = "/api/v1/workspaces/savannah/adapters/title"
	titleBody    = `{"Spec":{"BaseModel":"clearance"}}`
)

// apiFixture is an API with a fake control host, served on loopback.
type apiFixture struct {
	control *fakeControl
	server  *httptest.Server
}

func newAPIFixture() *apiFixture {
	d := &apiFixture{control: &fakeControl{
		store: storer.NewStore(storer.Settings{Retention: storer.Retention{HistoryChanges: 4}}),
		tally: distributor.InForce{Holding: 1},
	}}
	d.server = httptest.NewServer(NewAPI(Settings{
		Control:     d.control,
		Key:         operatorsKey,
		NotAccepted: func(err error) bool { return errors.Is(err, errRefused) },
		NewKey:      func() string { return "made" },
		MaxBody:     1024,
	}))
	DeferCleanup(d.server.Close)
	return d
}

// answer is a response whose body has been read.
type answer struct {
	status int
	header http.Header
	body   []byte
}

func (a answer) problem() Problem {
	var p Problem
	Expect(json.Unmarshal(a.body, &p)).To(Succeed(), string(a.body))
	return p
}

func (d *apiFixture) request(ctx context.Context, method, path, body string, header ...string) *http.Request {
	r, err := http.NewRequestWithContext(ctx, method, d.server.URL+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	r.Header.Set("Authorization", "Bearer "+operatorsKey)
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return r
}

func (d *apiFixture) do(method, path, body string, header ...string) answer {
	response, err := d.server.Client().Do(d.request(context.Background(), method, path, body, header...))
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return answer{status: response.StatusCode, header: response.Header, body: data}
}

// mustPut puts a resource and expects success.
func (d *apiFixture) mustPut(path, body string) answer {
	a := d.do(http.MethodPut, path, body, "Idempotency-Key", path+body)
	Expect(a.status).To(Equal(http.StatusOK), string(a.body))
	return a
}

func expectGolden(name string, data []byte) {
	path := "testdata/" + name
	if *update {
		Expect(os.WriteFile(path, data, 0o600)).To(Succeed())
	}
	want, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	Expect(string(data)).To(Equal(string(want)))
}

var _ = Describe("Changes", func() {
	// Guards against accepting more than one of several concurrent writes that were made
	// with the same revision: one operator's change would be lost without an error.
	It("accepts exactly one of many writers with equal revisions", func() {
		d := newAPIFixture()
		read := d.mustPut(titlePath, titleBody).header.Get("ETag")
		var writers sync.WaitGroup
		answers := make([]answer, 8)
		for i := range answers {
			writers.Go(func() {
				defer GinkgoRecover()
				answers[i] = d.do(http.MethodPut, titlePath, titleBody, "If-Match", read, "Idempotency-Key", string(rune('a'+i)))
			})
		}
		writers.Wait()
		won := 0
		for _, a := range answers {
			if a.status == http.StatusOK {
				won++
				continue
			}
			Expect(a.status).To(Equal(http.StatusPreconditionFailed))
			Expect(a.problem().Current.Metadata.Revision).To(BeEquivalentTo(2))
			Expect(a.header.Get("ETag")).To(Equal(`"2"`))
		}
		Expect(won).To(Equal(1))
	})

	// Guards against forgetting the result of a change. A change is accepted and its
	// answer is lost, the control host restarts from a snapshot, another change is made,
	// and the first one is resent with its key; it would take effect twice and undo the
	// other operator's change.
	It("returns the first result to a resent change, after a restart", func() {
		d := newAPIFixture()
		d.control.loseAnswer = true
		first := d.do(http.MethodPut, titlePath, titleBody)
		Expect(first.status).To(Equal(http.StatusGatewayTimeout))
		Expect(first.problem().Reason).To(Equal(ReasonOutcomeUnknown))
		key := first.header.Get("Idempotency-Key")
		Expect(key).To(Equal("made"))
		d.control.loseAnswer = false
		d.control.restart()
		d.mustPut(titlePath, `{"Spec":{"BaseModel":"other"}}`)

		again := d.do(http.MethodPut, titlePath, `{ "Spec": {"BaseModel":"clearance"} }`, "Idempotency-Key", key)
		Expect(again.status).To(Equal(http.StatusOK))
		Expect(again.header.Get("Idempotent-Replayed")).To(Equal("true"))
		Expect(again.header.Get("ETag")).To(Equal(`"1"`))
		Expect(d.do(http.MethodGet, titlePath, "").header.Get("ETag")).To(Equal(`"2"`))

		other := d.do(http.MethodPut, titlePath, titleBody, "Idempotency-Key", key, "If-Match", "2")
		Expect(other.status).To(Equal(http.StatusUnprocessableEntity))
	})

	It("reports that a change certainly has not taken effect, and when to retry", func() {
		d := newAPIFixture()
		d.control.refuse = true
		a := d.do(http.MethodPut, titlePath, titleBody)
		Expect(a.status).To(Equal(http.StatusServiceUnavailable))
		Expect(a.problem().Reason).To(Equal(ReasonNotAccepted))
		Expect(a.header.Get("Retry-After")).To(Equal("2"))
	})

	It("accepts a document as it was read, at the revision at which it was read", func() {
		d := newAPIFixture()
		d.mustPut(titlePath, titleBody)
		read := d.do(http.MethodGet, titlePath, "")
		Expect(d.do(http.MethodPut, titlePath, string(read.body), "Idempotency-Key", "a").status).To(Equal(http.StatusOK))
		Expect(d.do(http.MethodPut, titlePath, string(read.body), "Idempotency-Key", "b").status).To(Equal(http.StatusPreconditionFailed))
		Expect(d.do(http.MethodPut, titlePath, titleBody, "If-None-Match", "*").status).To(Equal(http.StatusPreconditionFailed))
	})

	It("shows and releases requests during which backend servers ended", func() {
		d := newAPIFixture()
		name := strings.Repeat("0f", 16)
		_, err := d.control.Propose(context.Background(), storer.Envelope{Command: storer.CountEnds{
			Service: "s", Life: 1, Requests: []storer.EndedRequest{{Name: name}},
		}})
		Expect(err).NotTo(HaveOccurred())
		list := d.do(http.MethodGet, "/api/v1/suspects", "")
		Expect(list.status).To(Equal(http.StatusOK))
		Expect(string(list.body)).To(ContainSubstring(name))
		path := "/api/v1/suspects/" + name
		Expect(d.do(http.MethodGet, path, "").status).To(Equal(http.StatusOK))
		Expect(d.do(http.MethodPut, path, titleBody).status).To(Equal(http.StatusMethodNotAllowed))
		Expect(d.do(http.MethodDelete, path, "", "Idempotency-Key", "lift").status).To(Equal(http.StatusOK))
		Expect(d.do(http.MethodGet, path, "").status).To(Equal(http.StatusNotFound))
	})

	It("refuses changes of versions and deletions of resources in use", func() {
		d := newAPIFixture()
		version := "/api/v1/workspaces/savannah/versions/title@v1"
		d.mustPut(titlePath, titleBody)
		d.mustPut(version, `{"Spec":{"Source":"title/1"}}`)
		a := d.do(http.MethodPut, version, `{"Spec":{"Source":"title/2"}}`, "Idempotency-Key", "a")
		Expect(a.status).To(Equal(http.StatusBadRequest))
		Expect(d.do(http.MethodDelete, titlePath, "", "Idempotency-Key", "b").status).To(Equal(http.StatusConflict))
		Expect(d.do(http.MethodDelete, version, "", "If-Match", "9", "Idempotency-Key", "c").status).To(Equal(http.StatusPreconditionFailed))
		gone := d.do(http.MethodDelete, version, "", "If-Match", `"2"`, "Idempotency-Key", "d")
		Expect(gone.status).To(Equal(http.StatusOK))
		Expect(d.do(http.MethodDelete, version, "", "Idempotency-Key", "e").status).To(Equal(http.StatusNotFound))
	})

	It("stores only the hash of a caller's key", func() {
		d := newAPIFixture()
		path := "/api/v1/workspaces/savannah/keys/desk"
		a := d.mustPut(path, `{"Spec":{"Secret":"sixteen bytes or more"}}`)
		Expect(string(a.body)).To(ContainSubstring(`"Hash":"`))
		Expect(string(a.body)).NotTo(ContainSubstring("sixteen"))
		Expect(string(d.do(http.MethodPut, path, `{"Spec":{"Secret":"sixteen bytes or more","Hsh":""}}`).body)).NotTo(ContainSubstring("sixteen"))
	})
})

var _ = Describe("Bad input", func() {
	DescribeTable("is refused with its own status and changes nothing",
		func(method, path, body string, status int, header ...string) {
			d := newAPIFixture()
			a := d.do(method, path, body, header...)
			Expect(a.status).To(Equal(status), string(a.body))
			Expect(a.problem().Detail).NotTo(BeEmpty())
			Expect(d.control.store.Revision()).To(BeZero())
		},
		Entry("no key", http.MethodPut, titlePath, titleBody, http.StatusUnauthorized, "Authorization", ""),
		Entry("wrong key", http.MethodPut, titlePath, titleBody, http.StatusUnauthorized, "Authorization", "Bearer other"),
		Entry("wrong scheme", http.MethodPut, titlePath, titleBody, http.StatusUnauthorized, "Authorization", "Basic "+operatorsKey),
		Entry("oversized", http.MethodPut, titlePath, strings.Repeat(" ", 1025)+titleBody, http.StatusRequestEntityTooLarge),
		Entry("truncated", http.MethodPut, titlePath, titleBody[:20], http.StatusBadRequest),
		Entry("two values", http.MethodPut, titlePath, titleBody+titleBody, http.StatusBadRequest),
		Entry("empty", http.MethodPut, titlePath, "", http.StatusBadRequest),
		Entry("null spec", http.MethodPut, titlePath, `{"Spec":null}`, http.StatusBadRequest),
		Entry("unknown field", http.MethodPut, titlePath, `{"Spec":{"BaseModel":"m","Present":"v1"}}`, http.StatusBadRequest),
		Entry("a field twice", http.MethodPut, titlePath, `{"Spec":{"BaseModel":"m","basemodel":"n"}}`, http.StatusBadRequest),
		Entry("deep", http.MethodPut, titlePath, `{"Spec":`+strings.Repeat("[", 100)+strings.Repeat("]", 100)+`}`, http.StatusBadRequest),
		Entry("another kind", http.MethodPut, titlePath, `{"Kind":"Version","Spec":{"BaseModel":"m"}}`, http.StatusBadRequest),
		Entry("another workspace", http.MethodPut, titlePath, `{"Metadata":{"Workspace":"macon"},"Spec":{"BaseModel":"m"}}`, http.StatusBadRequest),
		Entry("bad name", http.MethodPut, "/api/v1/workspaces/savannah/adapters/Title", titleBody, http.StatusBadRequest),
		Entry("bad revision", http.MethodPut, titlePath, titleBody, http.StatusBadRequest, "If-Match", "*"),
		Entry("both conditions", http.MethodPut, titlePath, titleBody, http.StatusBadRequest, "If-Match", "1", "If-None-Match", "*"),
		Entry("short secret", http.MethodPut, "/api/v1/workspaces/savannah/keys/desk", `{"Spec":{"Secret":"short"}}`, http.StatusBadRequest),
		Entry("unknown kind", http.MethodPut, "/api/v1/workspaces/savannah/adaptors/title", titleBody, http.StatusNotFound),
		Entry("unknown path", http.MethodGet, "/api/v2/workspaces", "", http.StatusNotFound),
		Entry("missing", http.MethodGet, titlePath, "", http.StatusNotFound),
		Entry("a member", http.MethodPut, "/api/v1/members/engine-1", `{"Spec":{}}`, http.StatusMethodNotAllowed),
		Entry("bad After", http.MethodGet, titlePath+"?Watch=true&After=-1", "", http.StatusBadRequest),
		Entry("bad Continue", http.MethodGet, "/api/v1/workspaces?Continue=x", "", http.StatusBadRequest),
	)

	It("serves only loopback addresses without a key", func() {
		api := NewAPI(Settings{Control: newAPIFixture().control})
		do := func(local string) int {
			address, err := net.ResolveTCPAddr("tcp", local)
			Expect(err).NotTo(HaveOccurred())
			r := httptest.NewRequest(http.MethodGet, "/api/v1/workspaces", nil)
			w := httptest.NewRecorder()
			api.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), http.LocalAddrContextKey, address)))
			return w.Code
		}
		Expect(do("127.0.0.1:80")).To(Equal(http.StatusOK))
		Expect(do("192.0.2.1:80")).To(Equal(http.StatusUnauthorized))
	})
})

var _ = Describe("Reads", func() {
	It("report how far a revision is in force", func() {
		d := newAPIFixture()
		d.mustPut(titlePath, titleBody)
		d.control.tally = distributor.InForce{
			Holding: 3,
			Lacking: 1,
			Missing: []distributor.NodeRevision{{Node: "entry-2", FailureDomain: "a", BehindMillis: 60_000, Connected: true}},
		}
		var got Document
		Expect(json.Unmarshal(d.do(http.MethodGet, titlePath, "").body, &got)).To(Succeed())
		Expect(got.Spec).To(Equal(storer.AdapterSpec{BaseModel: "clearance"}))
		Expect(got.Status.InForce).To(BeFalse())
		Expect(got.Status.Missing).To(HaveExactElements(HaveField("Since", BeTemporally("<", time.Now().Add(-59*time.Second)))))
		Expect(d.do(http.MethodGet, titlePath, "", "If-None-Match", `"1"`).status).To(Equal(http.StatusNotModified))
	})

	It("list in pages or at once, in the documented form", func() {
		d := newAPIFixture()
		d.mustPut(titlePath, titleBody)
		d.mustPut("/api/v1/workspaces/savannah/adapters/lookup", titleBody)
		whole := d.do(http.MethodGet, "/api/v1/workspaces/savannah/adapters", "")
		page := d.do(http.MethodGet, "/api/v1/workspaces/savannah/adapters?Limit=1", "")
		rest := d.do(http.MethodGet, "/api/v1/workspaces/savannah/adapters?Limit=1&Continue=1:lookup", "")
		conflict := d.do(http.MethodPut, titlePath, titleBody, "If-Match", "7")
		document := d.do(http.MethodGet, titlePath, "")
		expectGolden("answers.json", bytes.Join([][]byte{whole.body, page.body, rest.body, conflict.body, document.body}, nil))
	})
})

var _ = Describe("Watches", func() {
	It("send changes as they are made, in the documented form", func() {
		d := newAPIFixture()
		d.mustPut(titlePath, titleBody)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		response, err := d.server.Client().Do(d.request(ctx, http.MethodGet, "/api/v1/workspaces/savannah/adapters?Watch=true&After=0", ""))
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		lines := bufio.NewReader(response.Body)
		var received []byte
		next := func(n int) {
			for range n {
				line, err := lines.ReadBytes('\n')
				Expect(err).NotTo(HaveOccurred())
				received = append(received, line...)
			}
		}
		next(2)
		d.mustPut("/api/v1/workspaces/macon/adapters/lookup", titleBody)
		next(1)
		Expect(d.do(http.MethodDelete, titlePath, "").status).To(Equal(http.StatusOK))
		next(2)
		expectGolden("watch.jsonl", received)
	})

	// Guards against a watch that skips a gap in the history. A watcher reconnects with a
	// revision older than the history; it would show resources indefinitely that were
	// deleted while it was away.
	It("ask a watcher that is behind the compacted history to list again", func() {
		d := newAPIFixture()
		for _, base := range []string{"a", "b", "c", "d", "e"} {
			d.mustPut(titlePath, `{"Spec":{"BaseModel":"`+base+`"}}`)
		}
		a := d.do(http.MethodGet, titlePath+"?Watch=true&After=0", "")
		Expect(a.status).To(Equal(http.StatusGone))
		Expect(a.problem().Reason).To(Equal(ReasonCompacted))
		Expect(a.problem().Revision).To(BeEquivalentTo(5))
	})
})
