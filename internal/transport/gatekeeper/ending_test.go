package gatekeeper_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
)

// endedEngines counts the incarnations of engines that ended.
var endedEngines atomic.Int64

// crashingEngine is a companion whose engine crashes when it starts a request that
// contains the text.
func crashingEngine(name, text string) *companion {
	c := newCompanion(name)
	c.dispatch = func(conn *messenger.Conn, d messenger.Dispatch) error {
		if !strings.Contains(string(d.Body), text) {
			return answerHello(conn, d)
		}
		send(conn, messenger.Piece{Request: d.Request, Attempt: d.Attempt, End: &messenger.End{
			Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonEngine, Detail: "the engine has restarted",
			EndedLives: []string{fmt.Sprint("life-", endedEngines.Add(1))},
		}})
		return nil
	}
	return c
}

// syncSuspects copies the suspects known to control to the entries' replica.
func (w *deployment) syncSuspects() {
	suspects, _ := w.control.store.List(storer.KindSuspect, "")
	for _, s := range suspects {
		w.put(storer.KindSuspect, "", s.Metadata.Name, s.Spec)
	}
}

var _ = Describe("A request that crashes the engines that run it", func() {
	const fatalBody = `{"model":"town/lyrics@3","messages":[{"role":"user","content":"what ends them"}]}`

	It("is quarantined at every entry", func() {
		// Guards against a request that crashes one engine after another: its caller
		// resends it to another entry, and nothing remembered the request beyond one
		// attempt of its caller.
		endedEngines.Store(0)
		w := newDeployment(crashingEngine("one", "what ends them"), crashingEngine("two", "what ends them"), crashingEngine("three", "what ends them"))
		entries := []*entry{w.entry(nil), w.entry(nil)}
		const tries, mostEnded = 12, 6
		last := answer{}
		for i := range tries {
			last = entries[i%2].chat(fatalBody)
			w.syncSuspects()
		}
		Expect(endedEngines.Load()).To(BeNumerically(">=", 3))
		Expect(endedEngines.Load()).To(BeNumerically("<=", mostEnded))
		Expect(last.StatusCode).To(Equal(http.StatusTooManyRequests))
		Expect(last.body).To(ContainSubstring("request_quarantined"))
		Expect(last.outcome()).To(Equal("NotRun"))
		Expect(entries[0].chat(chatBody).StatusCode).To(Equal(http.StatusOK))
	})

	It("is cleared when a run answers it", func() {
		endedEngines.Store(0)
		c := crashingEngine("one", "what ends them")
		w := newDeployment(c)
		e := w.entry(nil)
		// Each call with a key runs once: two incarnations end, not a third.
		once := func(key string) int { return e.chat(fatalBody, "Idempotency-Key", key).StatusCode }
		Expect(once("a")).To(Equal(http.StatusBadGateway))
		Expect(once("b")).To(Equal(http.StatusBadGateway))
		w.syncSuspects()
		fails := c.dispatch
		c.dispatch = answerHello
		Expect(once("c")).To(Equal(http.StatusOK))
		Eventually(func() int {
			list, _ := w.control.store.List(storer.KindSuspect, "")
			return len(list)
		}).Should(BeZero())
		c.dispatch = fails
		Expect(once("d")).To(Equal(http.StatusBadGateway), "counting starts again")
	})
})
