package relayer_test

import (
	"net"
	"net/http"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/identifier"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// sentRequest is the request that e.call sends.
var sentRequest = identifier.Request{Method: http.MethodPost, Host: "h", Target: "/a/b?c", Body: []byte("body")}

// addSuspect records that incarnations of backend servers ended while they ran the
// request that e.call sends.
func (e *entry) addSuspect(incarnations int) {
	spec := storer.SuspectSpec{Service: "s", Place: sentRequest.Place()}
	for incarnation := range uint64(incarnations) {
		spec = spec.Ended(storer.IncarnationEnd{Life: incarnation})
	}
	e.put(storer.KindSuspect, identifier.Identify(sentRequest).String(), spec)
}

var _ = Describe("A request under which backend servers ended", func() {
	It("is reported to control with the incarnation that ended, by each entry for its own attempts", func() {
		b := crashes()
		e := newEntry(runOnce, nil, b)
		Expect(e.call(ctx, nil).StatusCode).To(Equal(http.StatusBadGateway))
		Eventually(e.crashes).Should(HaveLen(1))
		end := e.crashes()[0]
		Expect(end.Service).To(Equal("s"))
		Expect(e.view).To(BeNumerically(">", 0))
		Expect(end.Requests).To(Equal([]storer.EndedRequest{{
			Name: identifier.Identify(sentRequest).String(), Place: sentRequest.Place(), Known: e.view,
		}}))
	})

	It("is reported as progressed if part of its answer had arrived", func() {
		var b *backend
		b = newBackend(func(c net.Conn, r *http.Request) {
			events(c, r, 1, 2)
			b.shutDown(c)
		})
		e := newEntry(streamed, nil, b)
		_ = e.call(ctx, nil)
		Eventually(e.crashes).Should(HaveLen(1))
		Expect(e.crashes()[0].Requests[0].Progressed).To(BeTrue())
	})

	It("is refused as not run, with the time to retry after", func() {
		b := newBackend(answersWell)
		e := newEntry(runOnce, nil, b)
		e.addSuspect(3)
		answer := e.call(ctx, nil)
		Expect(answer.StatusCode).To(Equal(http.StatusTooManyRequests))
		Expect(answer.Header.Get("Retry-After")).To(Equal("600.000"))
		Expect(read(answer)).To(ContainSubstring("backend servers ended under this request"))
		Expect(b.runs.Load()).To(BeZero())
		Eventually(e.log).Should(gbytes.Say(identifier.Identify(sentRequest).String()), "operators find it by its identity")
		By("serving other requests with the same place hash")
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, e.server.URL+"/a/b?c", http.NoBody)
		Expect(err).NotTo(HaveOccurred())
		r.Host = "h"
		r.Header.Set("Id", "2")
		r.Header.Set("Deadline", "20000")
		other, err := e.server.Client().Do(r)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(other.Body.Close)
		Expect(other.StatusCode).To(Equal(http.StatusOK))
	})

	It("is refused without control, by the entry's own record", func() {
		backends := []*backend{crashes(), crashes(), crashes(), newBackend(answersWell)}
		e := newEntry(repeatable, nil, backends...)
		e.proposeErr = errors.New("no control host")
		Eventually(func() int { return e.call(ctx, nil).StatusCode }).Should(Or(Equal(http.StatusTooManyRequests), Equal(http.StatusOK)))
		Expect(runs(backends[:3]...)).To(BeNumerically("<=", 3))
	})

	It("is served, and cleared once a run answers it", func() {
		e := newEntry(runOnce, nil, newBackend(answersWell))
		e.addSuspect(2)
		Expect(e.call(ctx, nil).StatusCode).To(Equal(http.StatusOK))
		Eventually(e.cleared).Should(Equal([]string{identifier.Identify(sentRequest).String()}))
	})

	It("is cleared by a failure of its backend server's own", func() {
		e := newEntry(runOnce, nil, newBackend(text("500", signed, "mine")))
		e.addSuspect(2)
		Expect(e.call(ctx, nil).StatusCode).To(Equal(http.StatusInternalServerError))
		Eventually(e.cleared).Should(HaveLen(1))
	})

	It("is not cleared by an unsigned failure", func() {
		e := newEntry(runOnce, nil, newBackend(text("502", "", "a proxy's")))
		e.addSuspect(2)
		Expect(e.call(ctx, nil).StatusCode).To(Equal(http.StatusBadGateway))
		e.server.Close()
		Expect(e.relayer.Close()).To(Succeed())
		Expect(e.cleared()).To(BeEmpty())
	})

	It("is cancelled if its answer has not started when the third backend server has ended", func() {
		// Guards against further crashes after the third: copies of the request already
		// waited at several backend servers when it was quarantined, and only those
		// sent later were held back.
		began := make(chan struct{}, 1)
		b := newBackend(func(net.Conn, *http.Request) { began <- struct{}{} })
		e := newEntry(runOnce, nil, b)
		status := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			status <- e.call(ctx, nil).StatusCode
		}()
		Eventually(began).Should(Receive())
		e.addSuspect(2)
		e.addSuspect(3)
		Eventually(b.disconnected).Should(Receive())
		Eventually(status).Should(Receive(Equal(http.StatusBadGateway)), "it may have run")
	})

	It("is not sent if it was quarantined while it waited", func() {
		b := newBackend(answersWell)
		e := newEntry(runOnce, engine, b)
		e.reportState(*e.tracker.View().Members("s")[0])
		e.admit = func(m messenger.Admit) (messenger.Admitted, error) {
			e.addSuspect(3)
			return messenger.Admitted{Version: m.Version}, nil
		}
		Expect(e.call(ctx, map[string]string{"Model": "m/a1"}).StatusCode).To(Equal(http.StatusTooManyRequests))
		Expect(b.runs.Load()).To(BeZero())
	})
})
