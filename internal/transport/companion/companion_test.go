package companion

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
	"marigoldpoint.example/marigoldpoint/internal/standin/generator"
	"marigoldpoint.example/marigoldpoint/internal/transport/streamer"
)

var _ = Describe("A companion", func() {
	It("serves a cold adapter, with and without streaming, and reports it resident", func() {
		b := newBench(generator.Settings{})
		l := newLink(b.companion)
		l.send(b.call("r1", "w/a@1", 20))
		end := l.wait("r1")
		Expect(end.Outcome).To(Equal(messenger.OutcomeCompleted), end.Detail)
		Expect(end.Model).To(Equal("w/a@1"))
		Expect(end.StallMillis).To(BeNumerically(">", 0))
		Expect(end.AnswerTokens).To(Equal(int64(20)))
		Expect(l.text("r1")).To(Equal(generator.Expected("w/a@1", "r1", 20)))
		Expect(l.bytes("r1")).To(HaveSuffix("data: [DONE]\n\n"))

		d := b.call("r2", "w/a@1", 20)
		d.Stream = false
		l.send(d)
		Expect(l.wait("r2").StallMillis).To(BeZero())
		var whole orderer.Chunk
		Expect(json.Unmarshal([]byte(l.bytes("r2")), &whole)).To(Succeed())
		Expect(*whole.Choices[0].Text).To(Equal(generator.Expected("w/a@1", "r2", 20)))
		Expect(whole.Usage.CompletionTokens).To(Equal(20))
		Expect(b.engine.Record().Loads).To(Equal(1))
		Eventually(b.control.resident).WithTimeout(testTimeout).Should(Equal([]string{"w/a@1"}))
	})

	It("withdraws its permit request once no call waits, and sends a new one for the next call", func() {
		// Guards against permits that are granted for callers who have left. The only call
		// for an adapter is cancelled while the store is busy, and the wait at the control
		// leader went on without it.
		b := newBench(generator.Settings{})
		b.control.permitsFull.Store(true)
		l := newLink(b.companion)
		l.send(b.call("r1", "w/a@1", 2))
		Eventually(b.control.asked.Load).WithTimeout(testTimeout).Should(Equal(int32(1)))
		b.companion.cancelJob(messenger.Cancel{Request: "r1", Attempt: 1})
		Eventually(b.control.withdrawn.Load).WithTimeout(testTimeout).Should(Equal(int32(1)))
		b.control.permitsFull.Store(false)
		l.send(b.call("r2", "w/a@1", 2))
		Expect(l.wait("r2").Outcome).To(Equal(messenger.OutcomeCompleted))
		Expect(b.control.asked.Load()).To(Equal(int32(2)))
	})

	It("refuses dispatches for another epoch or another base model", func() {
		b := newBench(generator.Settings{})
		d := b.call("r1", "w/a@1", 2)
		d.Epoch++
		Expect(newLink(b.companion).refused(d).Reason).To(Equal(messenger.ReasonStaleEpoch))
		d = b.call("r2", "w/a@1", 2)
		d.BaseModel = "other"
		Expect(newLink(b.companion).refused(d).Reason).To(Equal(messenger.ReasonUnsupported))
		Expect(b.engine.Record().Runs).To(BeEmpty())
	})

	It("forwards the answers of a plain service, and never repeats a call", func() {
		var calls atomic.Int32
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls.Add(1)
			body, _ := io.ReadAll(r.Body)
			if r.URL.Path == "/cut" {
				panic(http.ErrAbortHandler)
			}
			w.Header().Set("Desk", r.Header.Get("Desk"))
			w.WriteHeader(http.StatusCreated)
			_, _ = w.Write(append([]byte("booked "), body...))
		}))
		DeferCleanup(server.Close)
		b := &bench{control: &fakeControl{}}
		service := orderer.NewService(orderer.Settings{Address: server.Listener.Addr().String()})
		b.companion = b.compose(false, nil, service)
		Expect(b.companion.Start(context.Background())).To(Succeed())
		DeferCleanup(b.companion.Close)
		l := newLink(b.companion)
		d := messenger.Dispatch{
			Request: "r1", Attempt: 1, Kind: messenger.CallKindService, Workspace: "w", Epoch: b.companion.epoch(),
			Method: http.MethodPost, Path: "/bookings", Header: []messenger.HeaderField{{Name: "Desk", Value: "7"}},
			Body: []byte("press 4"),
		}
		l.send(d)
		Expect(l.wait("r1").Outcome).To(Equal(messenger.OutcomeCompleted))
		Expect(l.bytes("r1")).To(Equal("booked press 4"))
		head := l.calls[streamer.ID{Request: "r1", Attempt: 1}].head
		Expect(head.Status).To(Equal(http.StatusCreated))
		Expect(head.Header).To(ContainElement(messenger.HeaderField{Name: "Desk", Value: "7"}))
		d.Request, d.Path = "r2", "/cut"
		l.send(d)
		Expect(l.wait("r2").Outcome).To(Equal(messenger.OutcomeUnknown))
		Expect(calls.Load()).To(Equal(int32(2)))
	})

	It("drains without interrupting a stream", func() {
		b := newBench(generator.Settings{})
		l := newLink(b.companion)
		for i := range 8 {
			l.send(b.call(fmt.Sprint("r", i), fmt.Sprintf("w/a@%d", i), 60))
		}
		Expect(b.companion.Drain(context.Background())).To(Succeed())
		for i := range 8 {
			Expect(l.wait(fmt.Sprint("r", i)).Outcome).To(Equal(messenger.OutcomeCompleted))
		}
		Expect(b.control.leaving).To(Equal([]bool{false, true}))
		Expect(l.refused(b.call("late", "w/a@1", 2)).Reason).To(Equal(messenger.ReasonStopping))
	})
})
