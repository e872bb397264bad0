package gatekeeper_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"marigoldpoint.example/marigoldpoint/internal/coordination/bucketer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/registrar"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/configurer"
	"marigoldpoint.example/marigoldpoint/internal/state/indexer"
	"marigoldpoint.example/marigoldpoint/internal/state/recorder"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/transport/dialer"
	"marigoldpoint.example/marigoldpoint/internal/transport/gatekeeper"
	"marigoldpoint.example/marigoldpoint/internal/transport/listener"
	"marigoldpoint.example/marigoldpoint/internal/transport/subscriber"
)

const (
	bearer               = "secret-of-town"
	stranger             = "secret-of-rival"
	version              = "town/lyrics@3"
	companionIncarnation = "first-life"
	// heartbeat and silence are the heartbeat interval and the silence limit of the
	// connections.
	heartbeat = 20 * time.Millisecond
	silence   = 200 * time.Millisecond
)

// gates holds the functions that open the gates of a spec.
var gates []func()

// Opens the gates at the end of a spec, before entries and companions are closed. Those
// wait for their requests and handlers, so that a gate left closed by a failed
// expectation would block the test run until its timeout.
var _ = AfterEach(func() {
	for _, open := range gates {
		open()
	}
	gates = nil
})

// gate returns a channel to wait on, and the function that closes it.
func gate() (wait <-chan struct{}, open func()) {
	c := make(chan struct{})
	open = sync.OnceFunc(func() { close(c) })
	gates = append(gates, open)
	return c, open
}

// cleanUp registers f to run at the end of a spec; a benchmark replaces it.
var cleanUp = func(f func()) { DeferCleanup(f) }

// control is the state machine of the control hosts, without a replicated log.
type control struct {
	mu    sync.Mutex
	store *storer.Store
	index uint64
	// before and after may fail a proposal before or after it is applied.
	before, after func(storer.Command) error
	lost          atomic.Bool
	// quota is the decision for calls with a quota, and balance the amount spent minus
	// the amount refunded; guarded by mu.
	quota   bucketer.Decision
	balance float64
}

func (c *control) Propose(_ context.Context, e storer.Envelope) (storer.Result, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.before != nil {
		if err := c.before(e.Command); err != nil {
			return storer.Result{}, err
		}
	}
	data, err := storer.Encode(e)
	if err != nil {
		return storer.Result{}, err
	}
	c.index++
	r := c.store.Apply(c.index, data).(storer.Result)
	if c.after != nil {
		if err := c.after(e.Command); err != nil {
			return storer.Result{}, err
		}
	}
	return r, nil
}

// Spend returns the decision that the test has set.
func (c *control) Spend(_ string, _ bucketer.Limit, cost float64, _ time.Duration) bucketer.Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.quota.Admitted {
		c.balance += cost
	}
	return c.quota
}

func (c *control) Refund(_ string, cost float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.balance -= cost
}

func (c *control) AwaitReport(context.Context) bool { return false }

func (c *control) spent() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.balance
}

func (c *control) decide(d bucketer.Decision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quota = d
}

func (c *control) LeaseValid() bool                { return !c.lost.Load() }
func (c *control) OnDigest(func(registrar.Digest)) {}

func (c *control) claim(key string) storer.ClaimState {
	held, ok := c.store.Claim("town", key)
	if !ok {
		return -1
	}
	return held.State
}

var errLost = subscriber.ErrOutcomeUnknown

// companion is a scripted companion. By default it answers "hello".
type companion struct {
	name       string
	server     *listener.Listener
	dispatch   func(c *messenger.Conn, d messenger.Dispatch) error
	resume     func(c *messenger.Conn, r messenger.Resume) error
	dispatched atomic.Int64
	cancelled  atomic.Int64
	bodies     chan messenger.Dispatch

	mu sync.Mutex
	// conns holds the accepted connections; guarded by mu.
	conns []*droppable
}

// droppable is a connection that can be made to drop all writes, as when a middlebox
// has lost track of it.
type droppable struct {
	net.Conn
	dropping atomic.Bool
}

func (f *droppable) Write(data []byte) (int, error) {
	if f.dropping.Load() {
		return len(data), nil
	}
	return f.Conn.Write(data)
}

// trackingListener records the accepted connections at the companion.
type trackingListener struct {
	net.Listener
	companion *companion
}

func (n trackingListener) Accept() (net.Conn, error) {
	conn, err := n.Listener.Accept()
	if err != nil {
		return nil, err
	}
	f := &droppable{Conn: conn}
	n.companion.mu.Lock()
	defer n.companion.mu.Unlock()
	n.companion.conns = append(n.companion.conns, f)
	return f, nil
}

// dropConnections makes all existing connections go silent permanently.
func (c *companion) dropConnections() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range c.conns {
		f.dropping.Store(true)
	}
}

func newCompanion(name string) *companion {
	c := &companion{name: name, dispatch: answerHello, bodies: make(chan messenger.Dispatch, 100)}
	c.resume = func(*messenger.Conn, messenger.Resume) error {
		return refuse(messenger.ReasonCompacted, "not scripted")
	}
	// The heartbeats come well within the entries' silence limit.
	c.server = listener.NewListener(trackingListener{listen(), c}, messenger.Settings{
		Handler: c, Log: zerolog.Nop(), HeartbeatInterval: heartbeat,
	})
	cleanUp(func() { Expect(c.server.Close()).To(Succeed()) })
	return c
}

func answerHello(conn *messenger.Conn, d messenger.Dispatch) error {
	send(conn, wholeAnswer(d.Request, d.Attempt, "hello")...)
	return nil
}

// listen opens a port at a loopback address that is specific to this process. Otherwise
// another test process could get a port that a spec had closed, and receive requests
// that the spec still sent there.
func listen() net.Listener {
	id := os.Getpid()
	address := net.IPv4(127, byte(1+id>>16&0x7f), byte(id>>8), byte(id))
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: address})
	Expect(err).NotTo(HaveOccurred())
	return l
}

func (c *companion) Handle(_ context.Context, conn *messenger.Conn, m messenger.Method, p json.RawMessage) (any, error) {
	switch m {
	case messenger.MethodDispatch:
		var d messenger.Dispatch
		if err := messenger.Decode(p, &d); err != nil {
			return nil, err
		}
		c.dispatched.Add(1)
		select {
		case c.bodies <- d:
		default:
		}
		return messenger.Accepted{Incarnation: companionIncarnation}, c.dispatch(conn, d)
	case messenger.MethodResume:
		var r messenger.Resume
		if err := messenger.Decode(p, &r); err != nil {
			return nil, err
		}
		return messenger.Accepted{Incarnation: companionIncarnation}, c.resume(conn, r)
	case messenger.MethodCancel:
		c.cancelled.Add(1)
		return nil, nil
	default:
		return nil, nil
	}
}

func send(conn *messenger.Conn, pieces ...messenger.Piece) {
	for _, p := range pieces {
		_ = conn.Notify(context.Background(), messenger.MethodPiece, p)
	}
}

var head = &messenger.Head{Status: 200, ContentType: "application/json", Model: version}

func completed(model string) *messenger.End {
	return &messenger.End{Outcome: messenger.OutcomeCompleted, Model: model}
}

// wholeAnswer returns the pieces of an answer with the text.
func wholeAnswer(request string, attempt int, text string) []messenger.Piece {
	data := []byte(`{"id":"1","object":"chat.completion","model":"` + version + `","choices":[{"index":0,"message":{"role":"assistant","content":"` + text + `"},"finish_reason":"stop"}]}`)
	return []messenger.Piece{{Request: request, Attempt: attempt, Head: head, Data: data, End: completed(version)}}
}

// streamedAnswer returns the pieces of a streamed answer, one for each text and one for
// its end.
func streamedAnswer(request string, attempt int, texts ...string) []messenger.Piece {
	var pieces []messenger.Piece
	offset := int64(0)
	add := func(text string) {
		pieces = append(pieces, messenger.Piece{Request: request, Attempt: attempt, Offset: offset, Data: []byte("data: " + text + "\n\n")})
		offset += int64(len(text) + len("data: \n\n"))
	}
	for _, text := range texts {
		add(`{"id":"1","object":"chat.completion.chunk","model":"` + version + `","choices":[{"index":0,"delta":{"content":"` + text + `"}}]}`)
	}
	add("[DONE]")
	pieces[0].Head = &messenger.Head{Status: 200, ContentType: "text/event-stream", Model: version}
	pieces[len(pieces)-1].End = completed(version)
	return pieces
}

// deployment consists of scripted companions and one or more entries.
type deployment struct {
	control  *control
	index    *indexer.Index
	revision uint64
	random   *rand.Rand
	// now is the entries' clock.
	now func() time.Time
}

func newDeployment(companions ...*companion) *deployment {
	w := &deployment{
		control: &control{store: storer.NewStore(storer.Settings{}), index: 1000},
		index:   indexer.NewIndex(indexer.Settings{}), random: rand.New(rand.NewPCG(1, 1)),
		now: time.Now,
	}
	w.put(storer.KindWorkspace, "town", "town", storer.WorkspaceSpec{})
	w.put(storer.KindWorkspace, "rival", "rival", storer.WorkspaceSpec{})
	w.put(storer.KindAdapter, "town", "lyrics", storer.AdapterSpec{BaseModel: "base"})
	w.put(storer.KindVersion, "town", "lyrics@3", storer.VersionSpec{Source: "s"})
	w.put(storer.KindAdapter, "town", "lyrics", storer.AdapterSpec{BaseModel: "base", Current: "3"})
	w.put(storer.KindAdapter, "town", "undecided", storer.AdapterSpec{BaseModel: "base"})
	w.put(storer.KindService, "town", "booking", storer.ServiceSpec{IdempotentMethods: []string{"GET"}, IdempotentPaths: []string{"/lookup"}})
	for name, secret := range map[string]string{"town": bearer, "rival": stranger} {
		hash := sha256.Sum256([]byte(secret))
		w.put(storer.KindKey, name, "desk", storer.KeySpec{Hash: hex.EncodeToString(hash[:])})
	}
	for _, c := range companions {
		spec := storer.MemberSpec{Address: c.server.Address(), BaseModel: "base", Slots: 4, MaxBatch: 8, Incarnation: companionIncarnation, Epoch: 7}
		if strings.HasPrefix(c.name, "service") {
			spec.Kind, spec.BaseModel, spec.Service = storer.MemberKindService, "", "booking"
		}
		w.put(storer.KindMember, "", c.name, spec)
	}
	return w
}

func (w *deployment) put(kind storer.Kind, workspace, name string, spec storer.Spec) {
	w.revision++
	r := storer.Resource{Kind: kind, Metadata: storer.Metadata{Workspace: workspace, Name: name, Revision: w.revision}, Spec: spec}
	Expect(w.index.Apply([]storer.Change{{Revision: w.revision, Resource: r}}, w.revision)).To(Succeed())
}

type entry struct {
	*gatekeeper.Entry
	url      string
	recorder *recorder.Recorder
	pieces   *gatekeeper.PieceRouter
}

// entry starts an entry with an HTTP server.
func (w *deployment) entry(change func(*configurer.EntrySettings)) *entry {
	s := configurer.Settings{}.WithDefaults().Entry
	if change != nil {
		change(&s)
	}
	pieces := gatekeeper.NewPieceRouter()
	fork := func() *rand.Rand { return rand.New(rand.NewPCG(w.random.Uint64(), 2)) }
	events := recorder.NewRecorder(recorder.Settings{Node: "entry"})
	pool := dialer.NewPool(dialer.Settings{Random: fork(), Messenger: messenger.Settings{
		Handler: pieces, Log: zerolog.Nop(), HeartbeatInterval: heartbeat, SilenceLimit: silence,
	}})
	e := gatekeeper.NewEntry(gatekeeper.Settings{
		Node: "entry", Entry: s, Index: w.index, Control: w.control, Pool: pool, PieceRouter: pieces,
		Recorder: events, Log: zerolog.Nop(), Now: w.now, Random: fork(),
	})
	server := httptest.NewUnstartedServer(e.Handler())
	limits := gatekeeper.Limits(s)
	server.Config.MaxHeaderBytes, server.Config.ReadHeaderTimeout = limits.MaxHeaderBytes, limits.HeaderTimeout
	server.Start()
	cleanUp(func() {
		server.Close()
		Expect(e.Close()).To(Succeed())
		Expect(pool.Close()).To(Succeed())
	})
	return &entry{Entry: e, url: server.URL, recorder: events, pieces: pieces}
}

// answer is the answer that a caller received.
type answer struct {
	*http.Response
	body string
	err  error
}

func (a answer) outcome() string {
	if o := a.Header.Get("Marigoldpoint-Outcome"); o != "" {
		return o
	}
	return a.Trailer.Get("Marigoldpoint-Outcome")
}

// caller is the HTTP client of the tests.
var caller = &http.Client{Timeout: time.Minute}

// call sends a request. The fields are pairs of header names and values.
func (e *entry) call(method, path, body string, fields ...string) answer {
	r, err := http.NewRequestWithContext(context.Background(), method, e.url+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	r.Header.Set("Authorization", "Bearer "+bearer)
	for i := 0; i < len(fields); i += 2 {
		r.Header.Set(fields[i], fields[i+1])
	}
	got, err := caller.Do(r)
	Expect(err).NotTo(HaveOccurred())
	defer got.Body.Close()
	data, err := io.ReadAll(got.Body)
	return answer{Response: got, body: string(data), err: err}
}

const chatBody = `{"model":"town/lyrics@3","messages":[{"role":"user","content":"may we reprint this?"}]}`

const streamBody = `{"model":"town/lyrics@3","stream":true,"messages":[{"role":"user","content":"may we reprint this?"}]}`

func (e *entry) chat(body string, fields ...string) answer {
	return e.call(http.MethodPost, "/v1/chat/completions", body, fields...)
}
