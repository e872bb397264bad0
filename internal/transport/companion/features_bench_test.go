package companion

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"

	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
	"marigoldpoint.example/marigoldpoint/internal/standin/generator"
)

// enginePair is two simulated engines on which w/a@1 is resident; on the second one only
// unless cold.
type enginePair struct {
	b       *testing.B
	engines [2]*generator.Engine
	clients [2]*orderer.Engine

	mu     sync.Mutex
	fence  uint64
	firsts []time.Duration
	gaps   []time.Duration
	ends   []time.Duration
}

// benchScale scales the simulated times; reported times are scaled back.
const benchScale = 0.2

func newEnginePair(b *testing.B, roles [2]orderer.Role, cold bool) *enginePair {
	b.Helper()
	p := &enginePair{b: b}
	for i, role := range roles {
		p.engines[i] = generator.NewEngine(generator.Settings{TimeScale: benchScale, Role: role, MaxBatch: 24})
		address, err := p.engines[i].Listen("127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		p.clients[i] = orderer.NewEngine(orderer.Settings{Address: address})
		if i == 0 || !cold {
			p.load(i)
		}
	}
	return p
}

func (p *enginePair) load(i int) {
	if err := p.clients[i].Load(context.Background(), p.next(), "w/a@1", "weights"); err != nil {
		p.b.Error(err)
	}
}

func (p *enginePair) next() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fence++
	return p.fence
}

func (p *enginePair) close() {
	for i := range p.engines {
		p.clients[i].Close()
		if err := p.engines[i].Close(); err != nil {
			p.b.Error(err)
		}
	}
}

// run runs one request, starting at engine i and following it when it is moved.
func (p *enginePair) run(i int, request string, prompt, tokens int) {
	began := time.Now()
	last := began
	var number int64
	give := func(piece orderer.Piece) error {
		now := time.Now()
		p.mu.Lock()
		defer p.mu.Unlock()
		if piece.Number == 1 {
			p.firsts = append(p.firsts, now.Sub(began))
		} else {
			p.gaps = append(p.gaps, now.Sub(last))
		}
		number, last = piece.Number, now
		return nil
	}
	text := request + strings.Repeat(" word", prompt)
	err := p.clients[i].Generate(context.Background(), orderer.Call{
		Request: request, Endpoint: orderer.Completions, Model: "w/a@1",
		Body: fmt.Appendf(nil, `{"prompt":%q,"max_tokens":%d}`, text, tokens),
	}, give)
	if errors.Is(err, orderer.ErrMoved) {
		err = p.follow(1-i, request, &number, give)
	}
	if err != nil {
		p.b.Errorf("%s: %v", request, err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ends = append(p.ends, time.Since(began))
}

// follow resumes the request at engine i, and retries until its import has arrived.
func (p *enginePair) follow(i int, request string, number *int64, give func(orderer.Piece) error) error {
	for {
		err := p.clients[i].Resume(context.Background(), request, "w/a@1", *number, give)
		if !errors.Is(err, orderer.ErrRequestNotFound) {
			return err
		}
	}
}

// move moves a request from engine i to the other one.
func (p *enginePair) move(i int, request string) {
	data, err := p.clients[i].ExportKV(context.Background(), p.next(), request)
	if err == nil {
		err = p.clients[1-i].ImportKV(context.Background(), p.next(), data)
	}
	if err != nil {
		p.b.Errorf("moving %s: %v", request, err)
	}
}

func report(b *testing.B, name string, ds []time.Duration, q float64) {
	b.Helper()
	if len(ds) == 0 {
		return
	}
	slices.Sort(ds)
	b.ReportMetric(float64(ds[int(q*float64(len(ds)-1))].Milliseconds())/benchScale, name)
}

// BenchmarkLeaving compares two strategies for a leaving engine: finishing its streams, and
// moving them by KV export and import. The number of remaining tokens varies, and the
// adapter is resident or cold on the busy target engine.
func BenchmarkLeaving(b *testing.B) {
	for _, left := range []int{200, 1000} {
		for _, strategy := range []string{"Finish", "Move", "MoveCold"} {
			b.Run(fmt.Sprintf("%s/streams=8/left=%d", strategy, left), func(b *testing.B) {
				var empty time.Duration
				p := &enginePair{}
				for range b.N {
					p = newEnginePair(b, [2]orderer.Role{}, strategy == "MoveCold")
					var streams sync.WaitGroup
					for i := range 8 {
						streams.Go(func() { p.run(0, fmt.Sprint("a", i), 500, left+50) })
						if strategy != "MoveCold" {
							streams.Go(func() { p.run(1, fmt.Sprint("b", i), 500, left+50) })
						}
					}
					for steps(p.engines[0]) < 50 {
						<-time.After(time.Millisecond)
					}
					began := time.Now()
					if strategy == "MoveCold" {
						p.load(1)
					}
					if strategy != "Finish" {
						for i := range 8 {
							p.move(0, fmt.Sprint("a", i))
						}
					} else {
						streams.Wait()
					}
					empty += time.Since(began)
					streams.Wait()
					p.close()
				}
				b.ReportMetric(float64(empty.Milliseconds())/benchScale/float64(b.N), "until-empty-ms")
				report(b, "longest-gap-ms", p.gaps, 1)
				report(b, "p50-end-ms", p.ends, 0.5)
			})
		}
	}
}

func steps(e *generator.Engine) int64 { return e.Record().Steps }

// BenchmarkRoles compares two engines that both prefill and decode with one engine for each
// role, at Poisson arrivals with long prompts.
func BenchmarkRoles(b *testing.B) {
	for _, split := range []bool{false, true} {
		for _, perSecond := range []float64{2, 4} {
			b.Run(fmt.Sprintf("split=%v/perSecond=%v/prompt=1000/answer=100", split, perSecond), func(b *testing.B) {
				p := &enginePair{}
				for range b.N {
					roles := [2]orderer.Role{}
					if split {
						roles = [2]orderer.Role{orderer.Prefill, orderer.Decode}
					}
					p = newEnginePair(b, roles, false)
					runArrivals(p, split, perSecond)
					p.close()
				}
				report(b, "first-p50-ms", p.firsts, 0.5)
				report(b, "first-p95-ms", p.firsts, 0.95)
				report(b, "gap-p95-ms", p.gaps, 0.95)
				report(b, "gap-p99-ms", p.gaps, 0.99)
				report(b, "end-p95-ms", p.ends, 0.95)
			})
		}
	}
}

func runArrivals(p *enginePair, split bool, perSecond float64) {
	random := rand.New(rand.NewPCG(1, 1))
	var streams sync.WaitGroup
	for i := range 60 {
		request := fmt.Sprint("r", i)
		at := i % 2
		if split {
			at = 0
		}
		streams.Go(func() { p.run(at, request, 1000, 100) })
		if split {
			streams.Go(func() {
				for !hasFirstToken(p.engines[0], request) {
					<-time.After(time.Millisecond)
				}
				p.move(0, request)
			})
		}
		<-time.After(time.Duration(random.ExpFloat64() / perSecond * benchScale * float64(time.Second)))
	}
	streams.Wait()
}

// hasFirstToken reports whether the engine has generated the request's first token.
func hasFirstToken(e *generator.Engine, request string) bool {
	for _, r := range e.Record().Runs {
		if r.Request == request {
			return r.Tokens > 0
		}
	}
	return false
}
