package gatekeeper_test

import (
	"context"
	"net/http"
	"strings"

	"github.com/juju/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
)

var _ = Describe("Answers", func() {
	It("returns a complete answer with its provenance", func() {
		c := newCompanion("engine-1")
		e := newDeployment(c).entry(nil)
		a := e.chat(`{"model":"town/lyrics","messages":[{"role":"user","content":"?"}],"top_k":7}`)
		Expect(a.StatusCode).To(Equal(http.StatusOK))
		Expect(a.body).To(ContainSubstring("hello"))
		Expect(a.outcome()).To(Equal("Completed"))
		Expect(a.Header.Get("Marigoldpoint-Adapter")).To(Equal(version))
		Expect(a.Header.Get("Marigoldpoint-Backend")).To(Equal("engine-1"))
		d := <-c.bodies
		Expect(d.Body).To(MatchJSON(`{"model":"town/lyrics@3","messages":[{"role":"user","content":"?"}],"top_k":7,"priority":9}`))
		Expect(d.Version).To(Equal(version))
		var kinds []recorder.Kind
		for _, ev := range e.recorder.Events(a.Header.Get("Marigoldpoint-Request")).Events {
			kinds = append(kinds, ev.Kind)
		}
		Expect(kinds).To(Equal([]recorder.Kind{
			recorder.KindRequestReceived, recorder.KindRouted, recorder.KindDispatched, recorder.KindRequestAnswered,
		}))
	})

	// Guards against forwarding pieces in the order of their arrival: pieces that cross
	// on two connections, one of which fails, would reach the caller missing,
	// duplicated or out of order.
	It("puts late, duplicated and swapped pieces of a stream in order", func() {
		c := newCompanion("engine-1")
		c.dispatch = func(conn *messenger.Conn, d messenger.Dispatch) error {
			p := streamedAnswer(d.Request, d.Attempt, "one", "two", "three")
			send(conn, p[1], p[0], p[0], p[3], p[1], p[2])
			return nil
		}
		a := newDeployment(c).entry(nil).chat(streamBody)
		Expect(a.err).NotTo(HaveOccurred())
		Expect(a.Header.Get("Content-Type")).To(Equal("text/event-stream"))
		Expect(strings.Index(a.body, "one")).To(BeNumerically("<", strings.Index(a.body, "two")))
		Expect(strings.Count(a.body, "data: ")).To(Equal(4))
		Expect(a.body).To(HaveSuffix("data: [DONE]\n\n: Marigoldpoint-Outcome Completed\n\n"))
		Expect(a.Trailer.Get("Marigoldpoint-Outcome")).To(Equal("Completed"))
	})

	// Guards against trusting the dispatch instead of the version that the engine
	// reports: an engine that confuses two adapters would answer with a version that
	// was not asked for. The head or only the end of the answer shows it.
	It("withholds the answer of another version", func() {
		c := newCompanion("engine-1")
		c.dispatch = func(conn *messenger.Conn, d messenger.Dispatch) error {
			p := wholeAnswer(d.Request, d.Attempt, "secret")
			p[0].End = completed("town/lyrics@2")
			send(conn, p...)
			return nil
		}
		a := newDeployment(c).entry(nil).chat(chatBody)
		Expect(a.StatusCode).To(Equal(http.StatusBadGateway))
		Expect(a.outcome()).To(Equal("Unknown"))
		Expect(a.body).To(And(ContainSubstring("wrong_model"), Not(ContainSubstring("secret"))))
		Expect(c.dispatched.Load()).To(Equal(int64(1)), "a wrong answer is not retried")
	})

	It("ends a stream that is cut with an error event, never as if it were complete", func() {
		c := newCompanion("engine-1")
		c.dispatch = func(conn *messenger.Conn, d messenger.Dispatch) error {
			p := streamedAnswer(d.Request, d.Attempt, "one", "two")
			p[1].End = &messenger.End{Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonEngine}
			send(conn, p[:2]...)
			return nil
		}
		a := newDeployment(c).entry(nil).chat(streamBody)
		Expect(a.body).To(And(ContainSubstring("two"), ContainSubstring("event: error"), ContainSubstring("answer_cut"), Not(ContainSubstring("[DONE]"))))
		Expect(a.Trailer.Get("Marigoldpoint-Outcome")).To(Equal("Unknown"))
	})

	It("serves OpenAI's own client library unchanged", func() {
		c := newCompanion("engine-1")
		c.dispatch = func(conn *messenger.Conn, d messenger.Dispatch) error {
			if d.Stream {
				send(conn, streamedAnswer(d.Request, d.Attempt, "good ", "day")...)
			} else {
				send(conn, wholeAnswer(d.Request, d.Attempt, "good day")...)
			}
			return nil
		}
		e := newDeployment(c).entry(nil)
		client := openai.NewClient(option.WithBaseURL(e.url+"/v1"), option.WithAPIKey(bearer))
		ctx := context.Background()
		ask := openai.ChatCompletionNewParams{Model: "town/lyrics@3", Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("?")}}
		got, err := client.Chat.Completions.New(ctx, ask)
		Expect(err).NotTo(HaveOccurred())
		Expect(got.Choices[0].Message.Content).To(Equal("good day"))

		text := ""
		stream := client.Chat.Completions.NewStreaming(ctx, ask)
		for stream.Next() {
			text += stream.Current().Choices[0].Delta.Content
		}
		Expect(stream.Err()).NotTo(HaveOccurred())
		Expect(text).To(Equal("good day"))

		models, err := client.Models.List(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(models.Data).To(HaveLen(2))
		one, err := client.Models.Get(ctx, "town/lyrics@3")
		Expect(err).NotTo(HaveOccurred())
		Expect(one.ID).To(Equal(version))

		ask.Model = "town/nobody@1"
		_, err = client.Chat.Completions.New(ctx, ask)
		var fault *openai.Error
		Expect(errors.As(err, &fault)).To(BeTrue())
		Expect(fault.Code).To(Equal("model_not_found"))
	})
})
