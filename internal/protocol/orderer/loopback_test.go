package orderer_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
	"marigoldpoint.example/marigoldpoint/internal/standin/generator"
	"marigoldpoint.example/marigoldpoint/internal/standin/responder"
)

// Over TCP the kernel buffers data that a pipe transfers synchronously, so connections
// break in other ways. The outcome must not depend on this.
var _ = Describe("Engine over TCP", func() {
	It("receives the complete answer if connections break and become silent", func(ctx SpecContext) {
		engine := generator.NewEngine(generator.Settings{TimeScale: 0.2, HeartbeatInterval: 20 * time.Millisecond})
		defer func() { Expect(engine.Close()).To(Succeed()) }()
		address, err := engine.Listen("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		client := orderer.NewEngine(orderer.Settings{
			Address: address, SilenceLimit: 300 * time.Millisecond, ResumeAttempts: 50, ResumePause: time.Millisecond,
		})
		defer client.Close()
		Expect(client.Load(ctx, 1, adapter, adapter)).To(Succeed())
		engine.Inject(generator.Faults{DropStreams: 3, DropAfter: 5})
		var a answer
		add := func(p orderer.Piece) error {
			if p.Number == 25 {
				engine.Inject(generator.Faults{Silence: true})
			}
			return a.add(p)
		}
		Expect(client.Generate(ctx, call("r1"), add)).To(Succeed())
		Expect(a.text).To(Equal(expectedText))
		Expect(engine.Record().Runs).To(HaveLen(1))
	})

	It("returns ErrNotRun if the engine has stopped", func(ctx SpecContext) {
		engine := generator.NewEngine(generator.Settings{})
		address, err := engine.Listen("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		client := orderer.NewEngine(orderer.Settings{Address: address})
		defer client.Close()
		Expect(engine.Close()).To(Succeed())
		Expect(client.Generate(ctx, call("r1"), (&answer{}).add)).To(MatchError(orderer.ErrNotRun))
	})
})

func BenchmarkGenerate(b *testing.B) {
	for _, tokens := range []int{1, 100, 1000} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			engine := generator.NewEngine(generator.Settings{TimeScale: 1e-9})
			defer func() { _ = engine.Close() }()
			address, err := engine.Listen("127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			client := orderer.NewEngine(orderer.Settings{Address: address})
			defer client.Close()
			body := fmt.Appendf(nil, `{"prompt":"p","max_tokens":%d}`, tokens)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				c := orderer.Call{Request: fmt.Sprint(i), Model: "base", Body: body}
				if err := client.Generate(context.Background(), c, func(orderer.Piece) error { return nil }); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkForward(b *testing.B) {
	for _, idempotent := range []bool{false, true} {
		b.Run(fmt.Sprintf("idempotent=%t", idempotent), func(b *testing.B) {
			backend := responder.NewService(responder.Settings{})
			defer func() { _ = backend.Close() }()
			address, err := backend.Listen("127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			service := orderer.NewService(orderer.Settings{Address: address})
			defer service.Close()
			c := orderer.ServiceCall{Method: http.MethodPost, Target: "/x", Body: make([]byte, 1000), Idempotent: idempotent}
			b.ReportAllocs()
			for b.Loop() {
				a, err := service.Forward(context.Background(), c)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, a.Body)
				_ = a.Body.Close()
			}
		})
	}
}
