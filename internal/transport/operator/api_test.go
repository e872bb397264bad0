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

// desk is an API over a fake control host, on the loopback.
type desk struct {
	control *fakeControl
	server  *httptest.Server
}

func newDesk() *desk {
	d := &desk{control: &fakeControl{
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

// answer is an answer with its body read.
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

func (d *desk) request(ctx context.Context, method, path, body string, header ...string) *http.Request {
	r, err := http.NewRequestWithContext(ctx, method, d.server.URL+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	r.Header.Set("Authorization", "Bearer "+operatorsKey)
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return r
}

func (d *desk) ask(method, path, body string, header ...string) answer {
	response, err := d.server.Client().Do(d.request(context.Background(), method, path, body, header...))
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return answer{status: response.StatusCode, header: response.Header, body: data}
}

// declare puts something that must be accepted.
func (d *desk) declare(path, body string) answer {
	a := d.ask(http.MethodPut, path, body, "Idempotency-Key", path+body)
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
	// Symptom: one operator's change is gone without a word. Sequence: several
	// operators read a revision and write at once. Cause: more than one of them
	// was told that the change was accepted.
	It("lets exactly one of many writers with equal revisions win", func() {
		d := newDesk()
		read := d.declare(titlePath, titleBody).header.Get("ETag")
		var writers sync.WaitGroup
		answers := make([]answer, 8)
		for i := range answers {
			writers.Go(func() {
				defer GinkgoRecover()
				answers[i] = d.ask(http.MethodPut, titlePath, titleBody, "If-Match", read, "Idempotency-Key", string(rune('a'+i)))
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

	// Symptom: a change takes effect twice, and the second time undoes another
	// operator's. Sequence: accepted, answer lost, control host restarted from a
	// snapshot, another change, the first resent with its key. Cause: nothing
	// remembered that it had been answered.
	It("gives a change that is resent its first answer, over a restart", func() {
		d := newDesk()
		d.control.lose = true
		first := d.ask(http.MethodPut, titlePath, titleBody)
		Expect(first.status).To(Equal(http.StatusGatewayTimeout))
		Expect(first.problem().Reason).To(Equal(ReasonOutcomeUnknown))
		key := first.header.Get("Idempotency-Key")
		Expect(key).To(Equal("made"))
		d.control.lose = false
		d.control.restart()
		d.declare(titlePath, `{"Spec":{"BaseModel":"other"}}`)

		again := d.ask(http.MethodPut, titlePath, `{ "Spec": {"BaseModel":"clearance"} }`, "Idempotency-Key", key)
		Expect(again.status).To(Equal(http.StatusOK))
		Expect(again.header.Get("Idempotent-Replayed")).To(Equal("true"))
		Expect(again.header.Get("ETag")).To(Equal(`"1"`))
		Expect(d.ask(http.MethodGet, titlePath, "").header.Get("ETag")).To(Equal(`"2"`))

		other := d.ask(http.MethodPut, titlePath, titleBody, "Idempotency-Key", key, "If-Match", "2")
		Expect(other.status).To(Equal(http.StatusUnprocessableEntity))
	})

	It("says when a change certainly has not taken effect, and when to come back", func() {
		d := newDesk()
		d.control.refuse = true
		a := d.ask(http.MethodPut, titlePath, titleBody)
		Expect(a.status).To(Equal(http.StatusServiceUnavailable))
		Expect(a.problem().Reason).To(Equal(ReasonNotAccepted))
		Expect(a.header.Get("Retry-After")).To(Equal("2"))
	})

	It("takes a document back as it was read, at the revision it was read", func() {
		d := newDesk()
		d.declare(titlePath, titleBody)
		read := d.ask(http.MethodGet, titlePath, "")
		Expect(d.ask(http.MethodPut, titlePath, string(read.body), "Idempotency-Key", "a").status).To(Equal(http.StatusOK))
		Expect(d.ask(http.MethodPut, titlePath, string(read.body), "Idempotency-Key", "b").status).To(Equal(http.StatusPreconditionFailed))
		Expect(d.ask(http.MethodPut, titlePath, titleBody, "If-None-Match", "*").status).To(Equal(http.StatusPreconditionFailed))
	})

	It("shows requests under which backend servers ended, and lets them go", func() {
		d := newDesk()
		name := strings.Repeat("0f", 16)
		_, err := d.control.Propose(context.Background(), storer.Envelope{Command: storer.CountEnds{
			Service: "s", Life: 1, Requests: []storer.EndedRequest{{Name: name}},
		}})
		Expect(err).NotTo(HaveOccurred())
		list := d.ask(http.MethodGet, "/api/v1/suspects", "")
		Expect(list.status).To(Equal(http.StatusOK))
		Expect(string(list.body)).To(ContainSubstring(name))
		path := "/api/v1/suspects/" + name
		Expect(d.ask(http.MethodGet, path, "").status).To(Equal(http.StatusOK))
		Expect(d.ask(http.MethodPut, path, titleBody).status).To(Equal(http.StatusMethodNotAllowed))
		Expect(d.ask(http.MethodDelete, path, "", "Idempotency-Key", "lift").status).To(Equal(http.StatusOK))
		Expect(d.ask(http.MethodGet, path, "").status).To(Equal(http.StatusNotFound))
	})

	It("keeps immutable versions and what is in use", func() {
		d := newDesk()
		version := "/api/v1/workspaces/savannah/versions/title@v1"
		d.declare(titlePath, titleBody)
		d.declare(version, `{"Spec":{"Source":"title/1"}}`)
		a := d.ask(http.MethodPut, version, `{"Spec":{"Source":"title/2"}}`, "Idempotency-Key", "a")
		Expect(a.status).To(Equal(http.StatusBadRequest))
		Expect(d.ask(http.MethodDelete, titlePath, "", "Idempotency-Key", "b").status).To(Equal(http.StatusConflict))
		Expect(d.ask(http.MethodDelete, version, "", "If-Match", "9", "Idempotency-Key", "c").status).To(Equal(http.StatusPreconditionFailed))
		gone := d.ask(http.MethodDelete, version, "", "If-Match", `"2"`, "Idempotency-Key", "d")
		Expect(gone.status).To(Equal(http.StatusOK))
		Expect(d.ask(http.MethodDelete, version, "", "Idempotency-Key", "e").status).To(Equal(http.StatusNotFound))
	})

	It("keeps only the hash of a caller's key", func() {
		d := newDesk()
		path := "/api/v1/workspaces/savannah/keys/desk"
		a := d.declare(path, `{"Spec":{"Secret":"sixteen bytes or more"}}`)
		Expect(string(a.body)).To(ContainSubstring(`"Hash":"`))
		Expect(string(a.body)).NotTo(ContainSubstring("sixteen"))
		Expect(string(d.ask(http.MethodPut, path, `{"Spec":{"Secret":"sixteen bytes or more","Hsh":""}}`).body)).NotTo(ContainSubstring("sixteen"))
	})
})

var _ = Describe("Bad input", func() {
	DescribeTable("gets its own refusal and changes nothing",
		func(method, path, body string, status int, header ...string) {
			d := newDesk()
			a := d.ask(method, path, body, header...)
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

	It("answers without a key on the loopback only", func() {
		api := NewAPI(Settings{Control: newDesk().control})
		ask := func(local string) int {
			address, err := net.ResolveTCPAddr("tcp", local)
			Expect(err).NotTo(HaveOccurred())
			r := httptest.NewRequest(http.MethodGet, "/api/v1/workspaces", nil)
			w := httptest.NewRecorder()
			api.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), http.LocalAddrContextKey, address)))
			return w.Code
		}
		Expect(ask("127.0.0.1:80")).To(Equal(http.StatusOK))
		Expect(ask("192.0.2.1:80")).To(Equal(http.StatusUnauthorized))
	})
})

var _ = Describe("Reads", func() {
	It("tells how far a revision is in force", func() {
		d := newDesk()
		d.declare(titlePath, titleBody)
		d.control.tally = distributor.InForce{
			Holding: 3,
			Lacking: 1,
			Missing: []distributor.NodeRevision{{Node: "entry-2", FailureDomain: "a", BehindMillis: 60_000, Connected: true}},
		}
		var got Document
		Expect(json.Unmarshal(d.ask(http.MethodGet, titlePath, "").body, &got)).To(Succeed())
		Expect(got.Spec).To(Equal(storer.AdapterSpec{BaseModel: "clearance"}))
		Expect(got.Status.InForce).To(BeFalse())
		Expect(got.Status.Missing).To(HaveExactElements(HaveField("Since", BeTemporally("<", time.Now().Add(-59*time.Second)))))
		Expect(d.ask(http.MethodGet, titlePath, "", "If-None-Match", `"1"`).status).To(Equal(http.StatusNotModified))
	})

	It("lists in pages or at once, in the documented form", func() {
		d := newDesk()
		d.declare(titlePath, titleBody)
		d.declare("/api/v1/workspaces/savannah/adapters/lookup", titleBody)
		whole := d.ask(http.MethodGet, "/api/v1/workspaces/savannah/adapters", "")
		page := d.ask(http.MethodGet, "/api/v1/workspaces/savannah/adapters?Limit=1", "")
		rest := d.ask(http.MethodGet, "/api/v1/workspaces/savannah/adapters?Limit=1&Continue=1:lookup", "")
		conflict := d.ask(http.MethodPut, titlePath, titleBody, "If-Match", "7")
		document := d.ask(http.MethodGet, titlePath, "")
		expectGolden("answers.json", bytes.Join([][]byte{whole.body, page.body, rest.body, conflict.body, document.body}, nil))
	})
})

var _ = Describe("Watches", func() {
	It("tells changes as they come, in the documented form", func() {
		d := newDesk()
		d.declare(titlePath, titleBody)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		response, err := d.server.Client().Do(d.request(ctx, http.MethodGet, "/api/v1/workspaces/savannah/adapters?Watch=true&After=0", ""))
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		lines := bufio.NewReader(response.Body)
		var told []byte
		next := func(n int) {
			for range n {
				line, err := lines.ReadBytes('\n')
				Expect(err).NotTo(HaveOccurred())
				told = append(told, line...)
			}
		}
		next(2)
		d.declare("/api/v1/workspaces/macon/adapters/lookup", titleBody)
		next(1)
		Expect(d.ask(http.MethodDelete, titlePath, "").status).To(Equal(http.StatusOK))
		next(2)
		expectGolden("watch.jsonl", told)
	})

	// Symptom: a watcher shows for ever what was deleted while it was away.
	// Sequence: it comes back with a revision from before the history kept.
	// Cause: the watch went on from the oldest change kept, over a gap.
	It("sends a watcher behind compaction back to the list", func() {
		d := newDesk()
		for _, base := range []string{"a", "b", "c", "d", "e"} {
			d.declare(titlePath, `{"Spec":{"BaseModel":"`+base+`"}}`)
		}
		a := d.ask(http.MethodGet, titlePath+"?Watch=true&After=0", "")
		Expect(a.status).To(Equal(http.StatusGone))
		Expect(a.problem().Reason).To(Equal(ReasonCompacted))
		Expect(a.problem().Revision).To(BeEquivalentTo(5))
	})
})
