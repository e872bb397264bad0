package orderer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
	"marigoldpoint.example/marigoldpoint/internal/standin/generator"
)

func TestGenerateWholeAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := newPair(t, generator.Settings{})
		var a answer
		g.Expect(p.client.Generate(t.Context(), call("r1"), a.add)).To(Succeed())
		g.Expect(a.text).To(Equal(expectedText))
		g.Expect(a.done).To(BeTrue())
		g.Expect(a.usage.CompletionTokens).To(Equal(50))
		chat := call("r2")
		chat.Endpoint = orderer.ChatCompletions
		chat.Body = []byte(`{"messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}],"max_tokens":3,"temperature":0.5}`)
		var b answer
		g.Expect(p.client.Generate(t.Context(), chat, b.add)).To(Succeed())
		g.Expect(b.text).To(Equal(generator.Expected(adapter, "user: hi\nassistant:", 3)))
		g.Expect(p.engine.Record().Runs).To(HaveLen(2))
	})
}

// TestResumeAfterSilentConnection guards against a caller that waits forever for the rest
// of an answer or receives a part of it twice. A middlebox between companion and engine
// loses the state of all connections during a stream, and both ends still consider them
// open. Only the missing heartbeats show this, and the stream must be resumed, not the
// request resent.
func TestResumeAfterSilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := newPair(t, generator.Settings{})
		time.AfterFunc(300*time.Millisecond, func() { p.engine.Inject(generator.Faults{Silence: true}) })
		var a answer
		g.Expect(p.client.Generate(t.Context(), call("r1"), a.add)).To(Succeed())
		g.Expect(a.text).To(Equal(expectedText))
		g.Expect(p.engine.Record().Runs).To(HaveLen(1))
	})
}

// TestResumeAfterSilenceBeforeFirstByte guards against a request that runs twice. The
// connection becomes silent after the request was written and before anything was
// received; a client must not conclude that the request was lost and resend it.
func TestResumeAfterSilenceBeforeFirstByte(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := newPair(t, generator.Settings{})
		p.engine.Inject(generator.Faults{Frozen: true})
		time.AfterFunc(time.Second, func() {
			p.engine.Inject(generator.Faults{Silence: true})
		})
		var a answer
		g.Expect(p.client.Generate(t.Context(), call("r1"), a.add)).To(Succeed())
		g.Expect(a.text).To(Equal(expectedText))
		g.Expect(p.engine.Record().Runs).To(HaveLen(1))
	})
}

// TestRestartInMidStream guards against a truncated answer that looks complete. The engine
// restarts during a stream and loses its state. The client must distinguish the end of
// the stream from its interruption; the new incarnation doesn't know the request.
func TestRestartInMidStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := newPair(t, generator.Settings{})
		time.AfterFunc(300*time.Millisecond, p.engine.Restart)
		var a answer
		err := p.client.Generate(t.Context(), call("r1"), a.add)
		g.Expect(errors.Is(err, orderer.ErrUnknown)).To(BeTrue(), "%v", err)
		g.Expect(errors.Is(err, orderer.ErrRequestNotFound)).To(BeTrue(), "%v", err)
		g.Expect(a.done).To(BeFalse())
		g.Expect(p.engine.Record().Runs[0].Outcome).To(Equal(generator.Lost))
		g.Expect(errors.Is(p.client.Generate(t.Context(), call("r2"), a.add), orderer.ErrNotResident)).To(BeTrue())
	})
}

// TestResumeAfterEachCut guards against an answer with a missing or duplicate token when
// the connection is closed after every few events. Each new connection must continue
// directly after the last event that was delivered.
func TestResumeAfterEachCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := newPair(t, generator.Settings{})
		p.engine.Inject(generator.Faults{DropStreams: 10, DropAfter: 4})
		var a answer
		g.Expect(p.client.Generate(t.Context(), call("r1"), a.add)).To(Succeed())
		g.Expect(a.text).To(Equal(expectedText))
		g.Expect(p.engine.Record().Runs).To(HaveLen(1))
	})
}
