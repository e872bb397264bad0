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
		g.Expect(p.client.Generate(t.Context(), call("r1"), a.take)).To(Succeed())
		g.Expect(a.text).To(Equal(whole))
		g.Expect(a.done).To(BeTrue())
		g.Expect(a.usage.CompletionTokens).To(Equal(50))
		chat := call("r2")
		chat.Endpoint = orderer.ChatCompletions
		chat.Body = []byte(`{"messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}],"max_tokens":3,"temperature":0.5}`)
		var b answer
		g.Expect(p.client.Generate(t.Context(), chat, b.take)).To(Succeed())
		g.Expect(b.text).To(Equal(generator.Expected(adapter, "user: hi\nassistant:", 3)))
		g.Expect(p.engine.Record().Runs).To(HaveLen(2))
	})
}

// Symptom: a caller waits for ever on a half-delivered answer, or gets a part of
// it twice. Sequence: something between companion and engine forgets all present
// connections in mid-stream; both ends still think them open. Cause: nothing but
// the missing heartbeat tells, and the request must be asked after, not sent again.
func TestResumeAfterSilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := newPair(t, generator.Settings{})
		time.AfterFunc(300*time.Millisecond, func() { p.engine.Inject(generator.Faults{Silence: true}) })
		var a answer
		g.Expect(p.client.Generate(t.Context(), call("r1"), a.take)).To(Succeed())
		g.Expect(a.text).To(Equal(whole))
		g.Expect(p.engine.Record().Runs).To(HaveLen(1))
	})
}

// Symptom: a request runs twice. Sequence: the connection goes silent after the
// request was written and before anything came back. Cause: a client that takes
// the silence for a lost request sends it again.
func TestSilenceBeforeFirstByteIsAskedAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := newPair(t, generator.Settings{})
		p.engine.Inject(generator.Faults{Frozen: true})
		time.AfterFunc(time.Second, func() {
			p.engine.Inject(generator.Faults{Silence: true})
		})
		var a answer
		g.Expect(p.client.Generate(t.Context(), call("r1"), a.take)).To(Succeed())
		g.Expect(a.text).To(Equal(whole))
		g.Expect(p.engine.Record().Runs).To(HaveLen(1))
	})
}

// Symptom: an answer looks complete but lacks its end. Sequence: the engine
// restarts in mid-stream and comes back empty. Cause: the stream's end must be
// told from its break, and the new incarnation knows nothing of the request.
func TestRestartInMidStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := newPair(t, generator.Settings{})
		time.AfterFunc(300*time.Millisecond, p.engine.Restart)
		var a answer
		err := p.client.Generate(t.Context(), call("r1"), a.take)
		g.Expect(errors.Is(err, orderer.ErrUnknown)).To(BeTrue(), "%v", err)
		g.Expect(errors.Is(err, orderer.ErrRequestNotFound)).To(BeTrue(), "%v", err)
		g.Expect(a.done).To(BeFalse())
		g.Expect(p.engine.Record().Runs[0].Outcome).To(Equal(generator.Lost))
		g.Expect(errors.Is(p.client.Generate(t.Context(), call("r2"), a.take), orderer.ErrNotResident)).To(BeTrue())
	})
}

// Symptom: one answer arrives with a gap or a doubled token. Sequence: the
// connection is cut after every few events. Cause: each new connection must start
// right after the last event that was given on.
func TestResumeAfterEachCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := newPair(t, generator.Settings{})
		p.engine.Inject(generator.Faults{DropStreams: 10, DropAfter: 4})
		var a answer
		g.Expect(p.client.Generate(t.Context(), call("r1"), a.take)).To(Succeed())
		g.Expect(a.text).To(Equal(whole))
		g.Expect(p.engine.Record().Runs).To(HaveLen(1))
	})
}
