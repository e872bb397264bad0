package generator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
)

// sendRequest sends one request to the engine and returns the complete answer, with code
// 0 if the engine cut the connection.
func sendRequest(e *Engine, method, path, body string) (w *httptest.ResponseRecorder) {
	w = httptest.NewRecorder()
	defer func() {
		if recover() != nil {
			w.Code = 0
		}
	}()
	e.Handler().ServeHTTP(w, httptest.NewRequestWithContext(context.Background(), method, path, strings.NewReader(body)))
	return w
}

func load(e *Engine, name string) int {
	return sendRequest(e, http.MethodPost, orderer.PathLoadAdapter, `{"lora_name":"`+name+`","lora_path":"`+name+`"}`).Code
}

func complete(e *Engine, model string, tokens string) *httptest.ResponseRecorder {
	return sendRequest(e, http.MethodPost, orderer.PathCompletions, `{"model":"`+model+`","prompt":"p","max_tokens":`+tokens+`}`)
}

func inBubble(t *testing.T, s Settings, check func(g Gomega, e *Engine)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		e := NewEngine(s)
		defer func() { _ = e.Close() }()
		check(NewWithT(t), e)
	})
}

func TestFullAnswerAndDuration(t *testing.T) {
	inBubble(t, Settings{}, func(g Gomega, e *Engine) {
		g.Expect(load(e, "a")).To(Equal(http.StatusOK))
		began := time.Now()
		w := complete(e, "a", "10")
		g.Expect(time.Since(began)).To(Equal(10*(20*time.Millisecond+250*time.Microsecond) + 100*time.Microsecond))
		var chunk orderer.Chunk
		g.Expect(json.Unmarshal(w.Body.Bytes(), &chunk)).To(Succeed())
		g.Expect(chunk.Model).To(Equal("a"))
		g.Expect(*chunk.Choices[0].Text).To(Equal(Expected("a", "p", 10)))
		g.Expect(complete(e, "b", "10").Code).To(Equal(http.StatusNotFound))
		g.Expect(complete(e, "a", "-1").Code).To(Equal(http.StatusBadRequest))
	})
}

// Guards against an engine that hides a fault of its coordinator: ordered to unload an
// adapter in use, it must do so, fail the adapter's requests and record the unload.
func TestUnloadInUse(t *testing.T) {
	inBubble(t, Settings{}, func(g Gomega, e *Engine) {
		load(e, "a")
		ended := make(chan int, 1)
		go func() { ended <- complete(e, "a", "50").Code }()
		<-time.After(100 * time.Millisecond)
		g.Expect(sendRequest(e, http.MethodPost, orderer.PathUnloadAdapter, `{"lora_name":"a"}`).Code).To(Equal(http.StatusOK))
		g.Expect(<-ended).To(Equal(http.StatusInternalServerError))
		r := e.Record()
		g.Expect(r.UnloadsInUse).To(Equal(1))
		g.Expect(r.Runs[0].Outcome).To(Equal(Unloaded))
	})
}

func TestSlotsAndFailingLoads(t *testing.T) {
	inBubble(t, Settings{Slots: 2, Faults: Faults{FailLoads: 1}}, func(g Gomega, e *Engine) {
		g.Expect(load(e, "a")).To(Equal(http.StatusInternalServerError))
		for _, want := range []int{http.StatusOK, http.StatusBadRequest} {
			g.Expect(load(e, "a")).To(Equal(want))
		}
		g.Expect(load(e, "b")).To(Equal(http.StatusOK))
		g.Expect(load(e, "c")).To(Equal(http.StatusBadRequest))
		g.Expect(e.Record().Loads).To(Equal(2))
	})
}

// A frozen process executes received orders after the thaw, even if the sender has
// disconnected. This models the late order of a companion that has stopped.
func TestFrozenEngineExecutesOrdersAfterThaw(t *testing.T) {
	inBubble(t, Settings{}, func(g Gomega, e *Engine) {
		e.Inject(Faults{Frozen: true})
		ctx, cancel := context.WithCancel(context.Background())
		r := httptest.NewRequestWithContext(ctx, http.MethodPost, orderer.PathLoadAdapter, strings.NewReader(`{"lora_name":"a","lora_path":"a"}`))
		go e.Handler().ServeHTTP(httptest.NewRecorder(), r)
		synctest.Wait()
		cancel()
		<-time.After(time.Minute)
		g.Expect(e.Record().Orders).To(BeEmpty())
		e.Inject(Faults{})
		<-time.After(time.Second)
		g.Expect(e.Record().Loads).To(Equal(1))
	})
}

func TestRestartClearsState(t *testing.T) {
	inBubble(t, Settings{}, func(g Gomega, e *Engine) {
		var before, after orderer.EngineState
		load(e, "a")
		go complete(e, "a", "50")
		go load(e, "b")
		<-time.After(100 * time.Millisecond)
		g.Expect(json.Unmarshal(sendRequest(e, http.MethodGet, orderer.PathState, "").Body.Bytes(), &before)).To(Succeed())
		g.Expect(before.Adapters).To(HaveLen(2))
		g.Expect(before.Running).To(Equal(1))
		e.Restart()
		<-time.After(time.Minute)
		g.Expect(json.Unmarshal(sendRequest(e, http.MethodGet, orderer.PathState, "").Body.Bytes(), &after)).To(Succeed())
		g.Expect(after.Incarnation).NotTo(Equal(before.Incarnation))
		g.Expect(after.Adapters).To(BeEmpty())
		g.Expect(after.Running).To(BeZero())
		g.Expect(e.Record().Runs[0].Outcome).To(Equal(Lost))
	})
}

// A restart discards requests that a frozen engine has received but not begun.
func TestRestartWhileFrozen(t *testing.T) {
	inBubble(t, Settings{Faults: Faults{Frozen: true}}, func(g Gomega, e *Engine) {
		ended := make(chan int, 2)
		go func() { ended <- load(e, "a") }()
		synctest.Wait()
		e.Restart()
		e.Inject(Faults{})
		<-ended
		g.Expect(e.Record().Orders).To(BeEmpty())
		go func() { ended <- load(e, "a") }()
		<-time.After(100 * time.Millisecond)
		e.Restart()
		g.Expect(<-ended).To(Equal(http.StatusInternalServerError))
	})
}

// A request whose connection broke continues for exactly the grace period, in which it
// can be resumed.
func TestAbandonedAfterGrace(t *testing.T) {
	inBubble(t, Settings{StreamGrace: time.Second}, func(g Gomega, e *Engine) {
		ctx, cancel := context.WithCancel(context.Background())
		r := httptest.NewRequestWithContext(ctx, http.MethodPost, orderer.PathCompletions, strings.NewReader(`{"model":"base","prompt":"p","max_tokens":1000,"stream":true}`))
		go e.Handler().ServeHTTP(httptest.NewRecorder(), r)
		<-time.After(time.Second)
		cancel()
		<-time.After(999 * time.Millisecond)
		g.Expect(e.Record().Runs[0].Outcome).To(Equal(InProgress))
		<-time.After(2 * time.Millisecond)
		g.Expect(e.Record().Runs[0].Outcome).To(Equal(Abandoned))
	})
}
