package gatekeeper_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/coordination/bucketer"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

var _ = Describe("A workspace's quota", func() {
	var c *companion
	var w *deployment
	var e *entry

	BeforeEach(func() {
		c = newCompanion("engine-1")
		w = newDeployment(c)
		w.put(storer.KindWorkspace, "town", "town", storer.WorkspaceSpec{TokenRate: 100})
		e = w.entry(nil)
		w.control.decide(bucketer.Decision{Admitted: true})
	})

	It("is charged for calls that run", func() {
		c.dispatch = func(conn *messenger.Conn, d messenger.Dispatch) error {
			send(conn, wholeAnswer(d.Request, d.Attempt, "answer")...)
			return nil
		}
		Expect(e.chat(chatBody).StatusCode).To(Equal(http.StatusOK))
		Expect(w.control.spent()).To(BeNumerically(">", 0))
	})

	// Guards against calls that did not run and are not refunded.
	It("is refunded for a call that has not run", func() {
		c.dispatch = func(*messenger.Conn, messenger.Dispatch) error {
			return messenger.NewRefusal(messenger.ReasonStopping, "stopping")
		}
		Expect(e.chat(chatBody).outcome()).To(Equal("NotRun"))
		Expect(w.control.spent()).To(BeZero())
	})

	It("refuses calls over it at once, with the time to retry after", func() {
		w.control.decide(bucketer.Decision{RetryAfter: 1500 * time.Millisecond})
		refused := e.chat(chatBody)
		Expect(refused.StatusCode).To(Equal(http.StatusTooManyRequests))
		Expect(refused.body).To(ContainSubstring("over_quota"))
		Expect(refused.outcome()).To(Equal("NotRun"))
		Expect(refused.Header.Get("Retry-After-Ms")).To(Equal("1500"))
	})

	It("refuses calls if it is not known", func() {
		w.control.decide(bucketer.Decision{Unknown: true})
		Expect(e.chat(chatBody).StatusCode).To(Equal(http.StatusServiceUnavailable))
	})
})
