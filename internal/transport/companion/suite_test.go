package companion

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"marigoldpoint.example/marigoldpoint/internal/coordination/permitter"
	"marigoldpoint.example/marigoldpoint/internal/coordination/registrar"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
	"marigoldpoint.example/marigoldpoint/internal/standin/generator"
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/transport/streamer"
)

func TestCompanion(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Companion")
}

const testTimeout = 20 * time.Second

// fakeControl grants memberships and permits at once, unless lost or permitsFull is set.
type fakeControl struct {
	// permitsFull makes requests for permits wait until they are withdrawn.
	permitsFull atomic.Bool
	// asked and withdrawn count the requests for permits and their withdrawals.
	asked, withdrawn atomic.Int32

	// joins counts the calls of Join, including those in progress.
	joins atomic.Int32
	// joinGate, if not nil, blocks Join until it is closed.
	joinGate chan struct{}

	mu    sync.Mutex
	epoch uint64
	lost  bool
	// leaving holds the ended argument of each call of Leave.
	leaving []bool
	// endedEpochs holds the epochs of the memberships announced as ended.
	endedEpochs   []uint64
	membershipEnd func(string, uint64)
	renewal       registrar.Renewal
}

func (f *fakeControl) Join(_ context.Context, name string, _ storer.MemberSpec) (registrar.Lease, error) {
	f.joins.Add(1)
	if f.joinGate != nil {
		<-f.joinGate
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.epoch++
	return registrar.Lease{Name: name, Epoch: f.epoch, Until: time.Minute}, nil
}

func (f *fakeControl) Renew(r registrar.Renewal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.renewal = r
}

func (f *fakeControl) resident() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.renewal.Resident
}

func (f *fakeControl) Leave(_ context.Context, _ string, epoch uint64, ended bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving = append(f.leaving, ended)
	if ended {
		f.endedEpochs = append(f.endedEpochs, epoch)
	}
	return nil
}

func (f *fakeControl) OnMembershipEnd(g func(string, uint64)) { f.membershipEnd = g }

func (f *fakeControl) RequestPermit(ctx context.Context, r permitter.Request) (permitter.Grant, error) {
	f.asked.Add(1)
	if f.permitsFull.Load() {
		<-ctx.Done()
		f.withdrawn.Add(1)
		return permitter.Grant{}, ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lost {
		return permitter.Grant{}, fmt.Errorf("no control host")
	}
	return permitter.Grant{Number: 1, Companion: r.Companion, Version: r.Version}, nil
}

func (f *fakeControl) LeaseValid() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.lost
}

func (f *fakeControl) FinishPermit(permitter.Grant) {}

// fakeLink is an entry's connection that assembles and acknowledges answers.
type fakeLink struct {
	companion *Companion
	// maxPieces limits the pieces that are processed before the link goes silent; 0 means
	// no limit.
	maxPieces int

	mu     sync.Mutex
	pieces int
	done   chan struct{}
	calls  map[streamer.ID]*receivedAnswer
}

type receivedAnswer struct {
	text      strings.Builder
	head      *messenger.Head
	assembler *streamer.Assembler
	end       *messenger.End
	err       error
}

func newLink(c *Companion) *fakeLink {
	return &fakeLink{companion: c, done: make(chan struct{}), calls: map[streamer.ID]*receivedAnswer{}}
}

func (l *fakeLink) Done() <-chan struct{} { return l.done }

func (l *fakeLink) Notify(_ context.Context, _ messenger.Method, params any) error {
	p, ok := params.(messenger.Piece)
	if !ok {
		return fmt.Errorf("not a piece")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pieces++
	if l.maxPieces > 0 && l.pieces > l.maxPieces {
		return nil
	}
	a := l.answer(streamer.ID{Request: p.Request, Attempt: p.Attempt})
	ready, end, _, err := a.assembler.Add(p)
	a.text.Write(ready)
	a.head = a.assembler.Head()
	if err != nil {
		a.err = err
	}
	if end != nil {
		a.end = end
	}
	l.companion.acknowledge(messenger.Acknowledge{
		Request: p.Request, Attempt: p.Attempt, Offset: a.assembler.Next(), Ended: end != nil,
	})
	return nil
}

func (l *fakeLink) answer(id streamer.ID) *receivedAnswer {
	a := l.calls[id]
	if a == nil {
		a = &receivedAnswer{assembler: streamer.NewAssembler(1 << 20)}
		l.calls[id] = a
	}
	return a
}

// send dispatches an attempt and fails the test if it is refused.
func (l *fakeLink) send(d messenger.Dispatch) {
	GinkgoHelper()
	if _, refusal := l.companion.dispatch(l, d); refusal != nil {
		Fail(refusal.Error())
	}
}

// refused dispatches an attempt that must be refused, and returns the refusal.
func (l *fakeLink) refused(d messenger.Dispatch) *messenger.Refusal {
	GinkgoHelper()
	_, refusal := l.companion.dispatch(l, d)
	if refusal == nil {
		Fail("not refused")
	}
	return refusal
}

// end returns the end of an attempt, or nil.
func (l *fakeLink) end(request string, attempt int) *messenger.End {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.answer(streamer.ID{Request: request, Attempt: attempt}).end
}

func (l *fakeLink) bytes(request string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.answer(streamer.ID{Request: request, Attempt: 1}).text.String()
}

// text returns the generated text of an answer, streamed or not.
func (l *fakeLink) text(request string) string {
	var text strings.Builder
	for line := range strings.SplitSeq(l.bytes(request), "\n") {
		line = strings.TrimPrefix(line, "data: ")
		var chunk orderer.Chunk
		if json.Unmarshal([]byte(line), &chunk) != nil {
			continue
		}
		for _, c := range chunk.Choices {
			if c.Text != nil {
				text.WriteString(*c.Text)
			}
		}
	}
	return text.String()
}

// wait waits for the end of the first attempt and returns it.
func (l *fakeLink) wait(request string) messenger.End {
	GinkgoHelper()
	Eventually(func() *messenger.End { return l.end(request, 1) }).WithTimeout(testTimeout).ShouldNot(BeNil(), request)
	return *l.end(request, 1)
}

// waitCancelled waits for the end of an attempt whose caller has left.
//
// If the answer was complete when the caller left, but not all sent, the rest is dropped
// and the end does not reach the link, since it would claim that all bytes were sent. An
// entry that resumes such an answer is told that it is gone. In all other cases the link
// must get the end.
func (l *fakeLink) waitCancelled(request string) {
	GinkgoHelper()
	id := streamer.ID{Request: request, Attempt: 1}
	Eventually(func() bool {
		if l.end(request, 1) != nil {
			return true
		}
		a := l.companion.buffer.Lookup(id)
		return a != nil && a.Ended() != nil && a.Ended().Outcome == messenger.OutcomeCompleted && a.Released() && a.Acknowledged() == a.Length()
	}).WithTimeout(testTimeout).Should(BeTrue(), request)
}

// bench is an engine with its companion.
type bench struct {
	engine    *generator.Engine
	address   string
	control   *fakeControl
	companion *Companion
	recorder  *recorder.Recorder
	// companions counts the companions started.
	companions uint64
}

func newBench(s generator.Settings) *bench {
	GinkgoHelper()
	s.TimeScale = max(s.TimeScale, 0.05)
	s.HeartbeatInterval = 50 * time.Millisecond
	b := &bench{engine: generator.NewEngine(s), control: &fakeControl{}}
	address, err := b.engine.Listen("127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	b.address = address
	DeferCleanup(func() { Expect(b.engine.Close()).To(Succeed()) })
	b.companion = b.start(s.ChecksFencing)
	return b
}

// start starts a companion for the engine.
func (b *bench) start(checksFencing bool) *Companion {
	GinkgoHelper()
	client := orderer.NewEngine(orderer.Settings{
		Address: b.address, ResumePause: 5 * time.Millisecond, ResumeAttempts: 2, SilenceLimit: 500 * time.Millisecond,
	})
	b.companions++
	c := b.compose(checksFencing, client, nil)
	Expect(c.Start(context.Background())).To(Succeed())
	DeferCleanup(func() {
		Expect(c.Close()).To(Succeed())
		client.Close()
	})
	return c
}

// compose returns a companion with short intervals.
func (b *bench) compose(checksFencing bool, engine Engine, service Service) *Companion {
	b.recorder = recorder.NewRecorder(recorder.Settings{Node: "atl-a-1"})
	settings := configurer.Settings{Companion: configurer.CompanionSettings{
		BaseModel: "base", ChecksFencing: checksFencing,
		OrderLife:         configurer.Duration(10 * time.Millisecond),
		HeartbeatInterval: configurer.Duration(20 * time.Millisecond),
		StaticLoadRate:    100,
		LoadBackoff: configurer.BackoffSettings{
			Initial: configurer.Duration(50 * time.Millisecond), Max: configurer.Duration(200 * time.Millisecond),
		},
	}}.WithDefaults()
	if service != nil {
		settings.Companion.Kind = configurer.BackendKindService
	}
	return NewCompanion(Settings{
		Node: "atl-a-1", Region: "atl", FailureDomain: "atl-a", Address: "127.0.0.1:1",
		Companion: settings.Companion, Stop: settings.Stop, Engine: engine, Service: service, Control: b.control,
		Recorder: b.recorder, Registerer: prometheus.NewRegistry(), Log: zerolog.Nop(),
		Now: time.Now, Random: rand.New(rand.NewPCG(1, b.companions)),
	})
}

// call returns a dispatch of a completion.
func (b *bench) call(request, version string, tokens int) messenger.Dispatch {
	workspace, _, _ := strings.Cut(version, "/")
	return messenger.Dispatch{
		Request: request, Attempt: 1, Kind: messenger.CallKindCompletion, Workspace: workspace,
		Version: version, Source: "weights/" + version, BaseModel: "base", Tokens: int64(tokens), Idempotent: true,
		Stream: true, Epoch: b.companion.epoch(),
		Body: fmt.Appendf(nil, `{"model":"x","prompt":%q,"max_tokens":%d}`, request, tokens),
	}
}

func (c *Companion) epoch() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease.Epoch
}

// tokensOf returns the number of tokens that a call asks for.
func tokensOf(d messenger.Dispatch) int { return int(d.Tokens) }

func (c *Companion) pins(version string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Pins(version)
}
