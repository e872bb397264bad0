package relayer_test

import (
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// breakOnce returns a script that resets new streams after two events and completes resumed
// ones.
func breakOnce() func(net.Conn, *http.Request) {
	return func(c net.Conn, r *http.Request) {
		first := 1
		for _, name := range []string{"Last-Event-Id", "After"} {
			if last, err := strconv.Atoi(r.Header.Get(name)); err == nil {
				first = last + 1
			}
		}
		events(c, r, first, first+1)
		if first == 1 {
			reset(c)
			return
		}
		endStream(c)
	}
}

// newVersionedBackends returns backend servers of the given software versions that run the
// script of breakOnce.
func newVersionedBackends(software ...string) []*backend {
	var all []*backend
	for _, s := range software {
		b := newBackend(breakOnce())
		b.software = s
		all = append(all, b)
	}
	return all
}

var _ = Describe("A stream of one software version", func() {
	// Guards against continuing a stream with another or an unknown software version.
	DescribeTable("continues within one answer only with that version",
		func(complete bool, software ...string) {
			all := newVersionedBackends(software...)
			e := newEntry(resumable, nil, all...)
			e.call(ctx, nil)
			body, err := io.ReadAll(e.call(ctx, nil).Body)
			if complete {
				Expect(err).NotTo(HaveOccurred())
				Expect(string(body)).To(HaveSuffix("id: 4\ndata: x\n\n"))
				return
			}
			Expect(err).To(HaveOccurred())
			Expect(string(body)).To(HaveSuffix("id: 2\ndata: x\n\n"))
		},
		Entry("two of one version", true, "v1", "v1"),
		Entry("two of each version", true, "v1", "v2", "v1", "v2"),
		Entry("one of each version", false, "v1", "v2"),
		Entry("two of no known version", false, "", ""),
	)

	// Guards against resuming a caller's stream with another software version.
	It("is resumed only with that version", func() {
		all := newVersionedBackends("v1", "v2", "v1", "v2")
		e := newEntry(resumable, engine, all...)
		e.mu.Lock()
		e.found = map[string]messenger.FoundOrigin{"earlier": {Known: true, Service: "s", Software: "version v2"}, "gone": {Known: true, Service: "s", Software: "version v0"}}
		e.mu.Unlock()
		for range 8 {
			got := e.call(ctx, map[string]string{"Resumes": "earlier", "Last-Event-Id": "2", "Model": "m"})
			Expect(read(got)).To(HavePrefix("id: 3\n"))
		}
		Expect(runs(all[0], all[2])).To(BeZero())
		for _, attempt := range []string{"gone", "never", ""} {
			got := e.call(ctx, map[string]string{"Resumes": attempt, "Last-Event-Id": "2", "Model": "m"})
			Expect(got.StatusCode).To(Equal(http.StatusServiceUnavailable))
		}
		Expect(runs(all...)).To(Equal(8))
	})

	It("is resumed at its entry without a companion, and again with either attempt", func() {
		all := newVersionedBackends("v1", "v2")
		e := newEntry(resumable, nil, all...)
		_, err := io.ReadAll(e.call(ctx, map[string]string{"Id": "one"}).Body)
		Expect(err).To(HaveOccurred())
		first := slices.IndexFunc(all, func(b *backend) bool { return runs(b) > 0 })
		for i, header := range []map[string]string{
			{"Id": "two", "Resumes": "one", "Last-Event-Id": "2"},
			{"Id": "three", "Resumes": "one", "Last-Event-Id": "4"},
			{"Id": "four", "Resumes": "two", "Last-Event-Id": "6"},
			{"Id": "five", "Resumes": "one", "Last-Event-Id": "8"},
		} {
			// The first attempt's own time ends after 22 s.
			e.clockOffset.Add(int64(10 * time.Second))
			Expect(read(e.call(ctx, header))).NotTo(BeEmpty())
			Expect(runs(all[first])).To(Equal(2 + i))
			Expect(runs(all[1-first])).To(BeZero())
		}
	})

	It("is refused with a time to retry after if a companion does not answer", func() {
		all := newVersionedBackends("v1", "v1")
		e := newEntry(resumable, engine, all...)
		e.mu.Lock()
		e.companions["b0"], e.companions["b1"] = unansweredAddress, unansweredAddress
		e.mu.Unlock()
		e.put(storer.KindMember, "b0", memberOf(all[0], "i-0"))
		got := e.call(ctx, map[string]string{"Resumes": "earlier", "Last-Event-Id": "2", "Model": "m"})
		Expect(got.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(got.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(runs(all...)).To(BeZero())
	})

	// Guards against using the version of the previous incarnation for a later one.
	It("does not continue at a later incarnation of another version", func() {
		all := newVersionedBackends("v1", "v1")
		e := newEntry(resumable, nil, all...)
		Expect(read(e.call(ctx, map[string]string{"Id": "one"}))).NotTo(BeEmpty())
		before := runs(all...)
		for i, b := range all {
			b.software = "v2"
			e.put(storer.KindMember, "b"+strconv.Itoa(i), memberOf(b, "later-"+strconv.Itoa(i)))
		}
		Expect(e.call(ctx, map[string]string{"Resumes": "one", "Last-Event-Id": "2"}).StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(runs(all...)).To(Equal(before))
	})

	It("is recorded at two companions before its first event", func() {
		all := newVersionedBackends("v1", "v1", "v1")
		e := newEntry(resumable, engine, all...)
		Expect(e.call(ctx, map[string]string{"Id": "one", "Model": "m"}).StatusCode).To(Equal(http.StatusOK))
		Eventually(func() int {
			e.mu.Lock()
			defer e.mu.Unlock()
			return len(e.recorded)
		}).Should(BeNumerically(">=", 2))
		e.mu.Lock()
		defer e.mu.Unlock()
		Expect(e.recorded[0].Attempt).To(Equal("one"))
		Expect(e.recorded[0].Software).To(Equal("version v1"))
		Expect(time.Duration(e.recorded[0].KeepMillis) * time.Millisecond).To(BeNumerically(">", 20*time.Second))
	})

	// Guards against recording the version of a backend server that sent no event.
	It("is recorded for the backend server that brought the first event", func() {
		fails := newBackend(text("500", signed, ""))
		fails.software = "v1"
		streams := newVersionedBackends("v2")[0]
		e := newEntry(resumable, engine, fails, streams)
		for runs(fails) == 0 {
			_, err := io.ReadAll(e.call(ctx, map[string]string{"Model": "m"}).Body)
			Expect(err).To(HaveOccurred())
		}
		Eventually(func() int {
			e.mu.Lock()
			defer e.mu.Unlock()
			return len(e.recorded)
		}).Should(BeNumerically(">=", 2))
		e.mu.Lock()
		defer e.mu.Unlock()
		for _, o := range e.recorded {
			Expect(o.Software).To(Equal("version v2"))
			Expect(o.Service).To(Equal("s"))
		}
	})

	// Guards against continuing a stream with another version after its route was changed to one
	// without resumption.
	It("is not continued on a route without resumption unless its version is known", func() {
		all := newVersionedBackends("v1", "v2")
		e := newEntry(streamed, engine, all...)
		got := e.call(ctx, map[string]string{"Resumes": "earlier", "Last-Event-Id": "2", "Model": "m"})
		Expect(got.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(runs(all...)).To(BeZero())
	})

	It("is not continued at another service of its route", func() {
		all := newVersionedBackends("v1")
		e := newEntry(resumable, engine, all...)
		e.mu.Lock()
		e.found = map[string]messenger.FoundOrigin{"earlier": {Known: true, Service: "other", Software: "version v1"}}
		e.mu.Unlock()
		got := e.call(ctx, map[string]string{"Resumes": "earlier", "Last-Event-Id": "2", "Model": "m"})
		Expect(got.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(runs(all...)).To(BeZero())
	})
})

var _ = Describe("A stream of a service with one software version", func() {
	var all []*backend
	var e *entry
	resume := func() *http.Response {
		return e.call(ctx, map[string]string{"Last-Event-Id": "2", "Model": "m"})
	}
	BeforeEach(func() {
		all = newVersionedBackends("v1", "v1")
		e = newEntry(resumable, engine, all...)
		e.put(storer.KindSoftware, "s", storer.SoftwareSpec{Software: "version v1"})
		e.control.set(time.Hour, true)
	})

	It("is resumed without the attempt that began it", func() {
		Expect(read(resume())).To(HavePrefix("id: 3\n"))
	})

	// Guards against relying on an outdated replica of the state, which may lack the version that
	// began the stream.
	It("is refused if control does not confirm that, with a time to retry after", func() {
		e.control.set(time.Hour, false)
		got := resume()
		Expect(got.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(got.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(runs(all...)).To(BeZero())
	})

	// Guards against a stream of another service that the route had before.
	It("is refused if another service had another version", func() {
		e.put(storer.KindSoftware, "before", storer.SoftwareSpec{Software: "version v2"})
		Expect(resume().StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(runs(all...)).To(BeZero())
	})

	It("is refused at once if there were several, whether or not control answers", func() {
		e.put(storer.KindSoftware, "s", storer.SoftwareSpec{Software: "version v1", Several: true})
		e.control.set(time.Hour, false)
		got := resume()
		Expect(got.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(got.Header.Get("Retry-After")).To(BeEmpty())
	})

	It("is refused once there was another version", func() {
		e.put(storer.KindSoftware, "s", storer.SoftwareSpec{Software: "version v1", Several: true})
		Expect(resume().StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(runs(all...)).To(BeZero())
	})
})

// memberOf returns the membership of an incarnation of a backend server.
func memberOf(b *backend, incarnation string) storer.MemberSpec {
	return storer.MemberSpec{
		Service: "s", Address: b.network.Addr().String(), Incarnation: incarnation, State: storer.MemberStateServing,
		Slots: 8, BaseModel: "m", Software: b.software, Kind: storer.MemberKindEngine,
	}
}
