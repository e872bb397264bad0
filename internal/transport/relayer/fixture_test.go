package relayer_test

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/rs/zerolog"

	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/coordination/regulator"
	"marigoldpoint.example/marigoldpoint/internal/protocol/exchanger"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
	"marigoldpoint.example/marigoldpoint/internal/transport/dialer"
	"marigoldpoint.example/marigoldpoint/internal/transport/listener"
	"marigoldpoint.example/marigoldpoint/internal/transport/relayer"
)

// translator implements a minimal protocol for tests.
type translator struct{}

func (translator) Call(r *http.Request) (relayer.Call, error) {
	ms, err := strconv.Atoi(r.Header.Get("Deadline"))
	c := relayer.Call{ID: r.Header.Get("Id"), Host: r.Host, Path: r.URL.Path, Deadline: time.Duration(ms) * time.Millisecond}
	c.Model, c.Adapter, _ = strings.Cut(r.Header.Get("Model"), "/")
	c.PromptTokens, c.AnswerTokens, c.TokensKnown = 100, 100, true
	c.Key = tracker.DigestKey(r.Header.Get("Key"))
	// A missing estimate is 0.
	c.ExpectedTokens, _ = strconv.Atoi(r.Header.Get("Expected"))
	for part := range strings.SplitSeq(r.Header.Get("Parts"), ",") {
		// A part without a length has 10 tokens.
		name, length, _ := strings.Cut(part, ":")
		tokens, err := strconv.Atoi(length)
		if err != nil {
			tokens = 10
		}
		if id, err := strconv.ParseUint(name, 16, 64); err == nil {
			c.Parts = append(c.Parts, messenger.Part{ID: id, Tokens: tokens})
			c.PromptTokens += tokens
		}
	}
	c.Resumes, c.LastEvent = r.Header.Get("Resumes"), r.Header.Get("Last-Event-Id")
	return c, err
}

func (translator) Header(received http.Header, a relayer.Attempt) http.Header {
	h := received.Clone()
	h.Set("Workspace", a.Workspace)
	h.Set("Expect-Life", a.Incarnation)
	h.Set("Backup", a.Backup)
	h.Set("From", a.ResumeFrom)
	h.Set("Fetch", a.FetchFrom)
	h.Set("Version", strconv.FormatUint(a.Version, 10))
	h.Set("Time-Left", strconv.FormatInt(a.TimeLeft.Milliseconds(), 10))
	if a.LastEvent != "" {
		h.Set("After", a.LastEvent)
	}
	return h
}

func (translator) Head(_ int, h http.Header) relayer.Head {
	head := relayer.Head{Request: h.Get("Id"), NotRun: h.Get("Not-Run") != "", OtherIncarnation: h.Get("Not-Run") == "elsewhere", Signed: h.Get("Signed") != "", Calls: -1}
	// A missing factor is 0.
	head.Slowdown, _ = strconv.ParseFloat(h.Get("Slowdown"), 64)
	// Missing weights are 0.
	head.Weights, _ = strconv.ParseUint(h.Get("Weights"), 10, 64)
	if rate, err := strconv.ParseFloat(h.Get("Limit"), 64); err == nil {
		head.Limit = regulator.Notice{Kind: regulator.NoticeLimited, Rate: rate}
	} else if head.Signed {
		head.Limit = regulator.Notice{Kind: regulator.NoticeUnlimited}
	}
	return head
}

func (translator) AnswerHeader(h http.Header) http.Header {
	out := h.Clone()
	out.Del("Content-Length")
	return out
}

// backend is a backend server that answers with a script.
type backend struct {
	network net.Listener
	// runs counts the requests that were read.
	runs   atomic.Int64
	script func(c net.Conn, r *http.Request)
	// duringUpload answers a request before its body is read, and ends the connection; nil means that
	// there are none.
	duringUpload func(c net.Conn, r *http.Request)
	// software is the software version that is announced; empty means none.
	software string
	// stop answers requests to stop a run; nil means that there are none.
	stop func(c net.Conn, r *http.Request)
	// disconnected receives a value when a connection ends.
	disconnected chan struct{}
}

func newBackend(script func(c net.Conn, r *http.Request)) *backend {
	GinkgoHelper()
	network, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = network.Close() })
	b := &backend{network: network, script: script, software: "v1", disconnected: make(chan struct{}, 64)}
	go func() {
		for {
			conn, err := network.Accept()
			if err != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	return b
}

func (b *backend) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		b.disconnected <- struct{}{}
	}()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if b.duringUpload != nil {
			b.runs.Add(1)
			b.duringUpload(conn, r)
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if r.URL.Path == stopPath {
			b.stop(conn, r)
			continue
		}
		b.runs.Add(1)
		b.script(conn, r)
	}
}

// shutDown simulates the end of the process: the connection is closed and no further
// connections are accepted.
func (b *backend) shutDown(c net.Conn) {
	_ = b.network.Close()
	_ = c.Close()
}

// text returns a script that writes a complete answer.
func text(status, header, body string) func(net.Conn, *http.Request) {
	return func(c net.Conn, r *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 "+status+" x\r\nId: "+r.Header.Get("Id")+"\r\n"+header+
			"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	}
}

const signed = "Signed: yes\r\n"

// events starts a stream and writes the events from first to last.
func events(c net.Conn, r *http.Request, first, last int) { eventsWith(c, r, "", first, last) }

// eventsWith is like events, with further header fields.
func eventsWith(c net.Conn, r *http.Request, header string, first, last int) {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\n"+signed+header+"Transfer-Encoding: chunked\r\n\r\n")
	for i := first; i <= last; i++ {
		e := "id: " + strconv.Itoa(i) + "\ndata: x\n\n"
		_, _ = io.WriteString(c, strconv.FormatInt(int64(len(e)), 16)+"\r\n"+e+"\r\n")
	}
}

func endStream(c net.Conn) { _, _ = io.WriteString(c, "0\r\n\r\n") }

// entry is a relayer behind an HTTP server, with its backend servers.
type entry struct {
	relayer *relayer.Relayer
	server  *httptest.Server
	tracker *tracker.Tracker
	view    uint64
	// untrusted means that the replicated state may be outdated.
	untrusted atomic.Bool
	// clockOffset is added to the relayer's clock, in nanoseconds.
	clockOffset atomic.Int64
	mu          sync.Mutex
	admitted    []messenger.Admit
	placer      *placer.Placer
	released    []string
	// limits holds the limits reported to companions; guarded by mu.
	limits []messenger.Limit
	// recorded holds the origins recorded at companions; guarded by mu.
	recorded []messenger.RecordOrigin
	// found holds the companions' answers to FindOrigin by attempt; guarded by mu.
	found map[string]messenger.FoundOrigin
	// inspect answers the questions whether an engine has ended; nil means that engines which refuse
	// connections have. Guarded by mu.
	inspect func(messenger.Inspect) (messenger.ProcessState, error)
	// backends holds the backend servers by incarnation.
	backends sync.Map
	// silent is an address of a backend server at which a dial gets no answer; nil if there is none.
	silent atomic.Pointer[string]
	// admit implements the admission of all companions.
	admit func(messenger.Admit) (messenger.Admitted, error)
	// companions overrides the addresses of companions, by the backend server's name;
	// guarded by mu.
	companions map[string]string
	// dialed counts the dials to companions by address; guarded by mu.
	dialed map[string]int
	// unansweredDialCount counts the dials to unansweredAddress.
	unansweredDialCount atomic.Int64
	// resetCountdown is decremented by each write to a backend server; the connection
	// of the write that brings it to 0 is reset before any byte is sent.
	resetCountdown atomic.Int64
	// readFromBackends counts the bytes read from backend servers.
	readFromBackends atomic.Int64
	// sent records the bytes sent to companions.
	sent *gbytes.Buffer
	// log records the relayer's log.
	log *gbytes.Buffer
	// proposed holds the commands proposed to the replicated state, and proposeErr the
	// error that they get; guarded by mu.
	proposed   []storer.Command
	proposeErr error
	// proposeResult returns the results of proposed commands; nil means that all are accepted.
	proposeResult func(storer.Command) storer.Result
	// workspaces are the configured workspaces; nil means that callers need no key.
	// Guarded by mu.
	workspaces []tracker.Workspace
	// prefix replaces the prefix of the route if it is not empty; guarded by mu.
	prefix string
	// control is a test double for the control hosts.
	control control
}

// newEntry returns an entry with the given route, engine and backend servers.
func newEntry(route tracker.Route, engine *tracker.Engine, backends ...*backend) *entry {
	GinkgoHelper()
	return newEntryWith(placer.Settings{}, route, engine, backends...)
}

// newEntryWith returns an entry whose placer has the given settings.
func newEntryWith(placing placer.Settings, route tracker.Route, engine *tracker.Engine, backends ...*backend) *entry {
	GinkgoHelper()
	return newEntryChanged(func(*relayer.Settings) {}, placing, route, engine, backends...)
}

// newEntryChanged returns an entry whose settings were changed.
func newEntryChanged(change func(*relayer.Settings), placing placer.Settings, route tracker.Route, engine *tracker.Engine, backends ...*backend) *entry {
	GinkgoHelper()
	e := &entry{
		admit: func(m messenger.Admit) (messenger.Admitted, error) {
			return messenger.Admitted{Version: m.Version}, nil
		},
		companions: make(map[string]string), dialed: make(map[string]int), sent: gbytes.NewBuffer(), log: gbytes.NewBuffer(),
	}
	route.Name, route.Host, route.Prefix = "r", "h", "/a/"
	route.Shares = []tracker.Share{{Service: "s", Weight: 1}}
	if route.Timeout == 0 {
		route.Timeout = 20 * time.Second
	}
	e.tracker = tracker.NewTracker(tracker.Settings{
		Decode: func([]byte) (*tracker.Routing, error) {
			e.mu.Lock()
			defer e.mu.Unlock()
			route := route
			route.Prefix = cmp.Or(e.prefix, route.Prefix)
			r := &tracker.Routing{
				Number: e.view, Routes: []tracker.Route{route}, Services: []tracker.Service{{Name: "s", Engine: engine}},
				Keyed: e.workspaces != nil, Workspaces: e.workspaces,
			}
			err := r.Compile()
			return r, err
		},
		OnChange: func(v *tracker.View) { e.relayer.ViewChanged(v) },
	})
	companion := e.companion()
	random := rand.New(rand.NewPCG(1, 2))
	placing.Random = rand.New(rand.NewPCG(5, 6))
	e.placer = placer.NewPlacer(placing)
	pool := exchanger.NewPool(exchanger.Settings{Dial: e.dialBackend})
	companions := dialer.NewPool(dialer.Settings{
		Random: rand.New(rand.NewPCG(3, 4)), Dial: e.dial, Messenger: messenger.Settings{QuietInterval: quietInterval},
	})
	settings := relayer.Settings{
		Translator: translator{}, View: func() *tracker.View { return e.tracker.View() }, Trusted: func() bool { return !e.untrusted.Load() }, Pool: pool, Companions: companions,
		Placer: e.placer,
		CompanionAddress: func(m tracker.Member) string {
			e.mu.Lock()
			defer e.mu.Unlock()
			return cmp.Or(e.companions[m.Name], companion)
		},
		Random: random, Log: zerolog.New(e.log), Submit: e.propose, Control: &e.control, KeyLease: keyLease,
		Now: func() time.Time { return time.Now().Add(time.Duration(e.clockOffset.Load())) },
	}
	change(&settings)
	e.relayer = relayer.NewRelayer(settings)
	e.server = httptest.NewServer(e.relayer)
	DeferCleanup(func() {
		e.server.CloseClientConnections()
		e.server.Close()
		Expect(e.relayer.Close()).To(Succeed())
		Expect(companions.Close()).To(Succeed())
		Expect(pool.Close()).To(Succeed())
	})
	if len(backends) == 0 {
		return e
	}
	e.reconfigure(nil)
	for i, b := range backends {
		e.announce(i, b, storer.MemberStateServing)
	}
	return e
}

// reconfigure applies a configuration with the given workspaces.
func (e *entry) reconfigure(workspaces []tracker.Workspace) {
	GinkgoHelper()
	e.mu.Lock()
	e.workspaces = workspaces
	e.mu.Unlock()
	e.put(storer.KindRouting, storer.RoutingName, storer.RoutingSpec{Number: e.view + 1})
}

// propose records the command.
func (e *entry) propose(_ context.Context, c storer.Command) (storer.Result, error) {
	e.mu.Lock()
	e.proposed = append(e.proposed, c)
	err := e.proposeErr
	e.mu.Unlock()
	if e.proposeResult != nil {
		return e.proposeResult(c), err
	}
	return storer.Result{}, err
}

// crashes returns the ends of incarnations that were proposed.
func (e *entry) crashes() []storer.CountEnds {
	e.mu.Lock()
	defer e.mu.Unlock()
	var all []storer.CountEnds
	for _, c := range e.proposed {
		if end, ok := c.(storer.CountEnds); ok {
			all = append(all, end)
		}
	}
	return all
}

// cleared returns the names of the requests whose suspicion was cleared.
func (e *entry) cleared() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var all []string
	for _, c := range e.proposed {
		if answered, ok := c.(storer.ClearSuspects); ok {
			all = append(all, answered.Names...)
		}
	}
	return all
}

func (e *entry) put(kind storer.Kind, name string, spec storer.Spec) {
	GinkgoHelper()
	e.view++
	e.apply(e.change(kind, name, spec))
}

// change returns a change at the current revision.
func (e *entry) change(kind storer.Kind, name string, spec storer.Spec) storer.Change {
	return storer.Change{Revision: e.view, Resource: storer.Resource{
		Kind: kind, Metadata: storer.Metadata{Name: name, Revision: e.view}, Spec: spec,
	}}
}

func (e *entry) apply(changes ...storer.Change) {
	GinkgoHelper()
	Expect(e.tracker.Apply(changes, e.view)).To(Succeed())
}

func (e *entry) announce(i int, b *backend, state storer.MemberState) {
	GinkgoHelper()
	e.backends.Store("i-"+strconv.Itoa(i), b)
	e.put(storer.KindMember, "b"+strconv.Itoa(i), member(i, b, state))
}

// processState answers a question whether an engine has ended. The caller holds mu.
func (e *entry) processState(ctx context.Context, m messenger.Inspect) (messenger.Inspected, error) {
	if e.inspect != nil {
		state, err := e.inspect(m)
		return messenger.Inspected{State: state}, err
	}
	b, ok := e.backends.Load(m.Incarnation)
	if !ok {
		return messenger.Inspected{}, nil
	}
	pool := exchanger.NewPool(exchanger.Settings{})
	listens, err := pool.IsListening(ctx, b.(*backend).network.Addr().String())
	if err == nil && !listens {
		return messenger.Inspected{State: messenger.ProcessExited}, pool.Close()
	}
	return messenger.Inspected{State: messenger.ProcessRunning}, pool.Close()
}

// setInspect sets the answer to the questions whether an engine has ended.
func (e *entry) setInspect(state messenger.ProcessState, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inspect = func(messenger.Inspect) (messenger.ProcessState, error) { return state, err }
}

// announceTogether announces the backend servers in one view, so that the entry never knows only
// some of them.
func (e *entry) announceTogether(backends ...*backend) {
	GinkgoHelper()
	e.view++
	var changes []storer.Change
	for i, b := range backends {
		e.backends.Store("i-"+strconv.Itoa(i), b)
		changes = append(changes, e.change(storer.KindMember, "b"+strconv.Itoa(i), member(i, b, storer.MemberStateServing)))
	}
	e.apply(changes...)
}

func member(i int, b *backend, state storer.MemberState) storer.MemberSpec {
	return storer.MemberSpec{
		Service: "s", Address: b.network.Addr().String(), Incarnation: "i-" + strconv.Itoa(i), State: state, Slots: 8, BaseModel: "m", Weights: 1, Software: b.software,
	}
}

// companion starts a companion that admits calls for all backend servers, and returns
// its address.
func (e *entry) companion() string {
	GinkgoHelper()
	network, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	l := listener.NewListener(network, messenger.Settings{QuietInterval: quietInterval, Handler: messenger.HandlerFunc(
		func(ctx context.Context, _ *messenger.Conn, method messenger.Method, params json.RawMessage) (any, error) {
			e.mu.Lock()
			defer e.mu.Unlock()
			switch method { //nolint:exhaustive // No other method is sent here.
			case messenger.MethodAdmit:
				var m messenger.Admit
				if err := messenger.Decode(params, &m); err != nil {
					return nil, err
				}
				e.admitted = append(e.admitted, m)
				return e.admit(m)
			case messenger.MethodInspect:
				var m messenger.Inspect
				if err := messenger.Decode(params, &m); err != nil {
					return nil, err
				}
				return e.processState(ctx, m)
			case messenger.MethodLimit:
				var m messenger.Limit
				if err := messenger.Decode(params, &m); err != nil {
					return nil, err
				}
				e.limits = append(e.limits, m)
			case messenger.MethodRecordOrigin:
				var m messenger.RecordOrigin
				if err := messenger.Decode(params, &m); err != nil {
					return nil, err
				}
				e.recorded = append(e.recorded, m)
			case messenger.MethodFindOrigin:
				var m messenger.FindOrigin
				if err := messenger.Decode(params, &m); err != nil {
					return nil, err
				}
				return e.found[m.Attempt], nil
			case messenger.MethodRelease:
				var m messenger.Release
				if err := messenger.Decode(params, &m); err != nil {
					return nil, err
				}
				e.released = append(e.released, m.Request)
			}
			return nil, nil
		})})
	DeferCleanup(l.Close)
	return network.Addr().String()
}

// unansweredAddress is an address at which a dial gets no answer.
const unansweredAddress = "unanswered:1"

// dial opens a connection to a companion.
func (e *entry) dial(ctx context.Context, address string) (net.Conn, error) {
	if address == unansweredAddress {
		e.unansweredDialCount.Add(1)
		return nil, os.ErrDeadlineExceeded
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	e.mu.Lock()
	e.dialed[address]++
	e.mu.Unlock()
	return recorded{Conn: conn, sent: e.sent}, nil
}

// dialBackend opens a connection to a backend server.
func (e *entry) dialBackend(ctx context.Context, address string) (net.Conn, error) {
	if silent := e.silent.Load(); silent != nil && *silent == address {
		return nil, os.ErrDeadlineExceeded
	}
	conn, err := exchanger.Dialer(exchanger.DefaultUserTimeout)(ctx, address)
	if err != nil {
		return nil, err
	}
	return resettable{TCPConn: conn.(*net.TCPConn), entry: e}, nil
}

// resettable is a connection that may be reset just before a write.
type resettable struct {
	*net.TCPConn
	entry *entry
}

func (s resettable) Write(p []byte) (int, error) {
	if s.entry.resetCountdown.Add(-1) == 0 {
		_ = s.Close()
		return 0, syscall.ECONNRESET
	}
	return s.TCPConn.Write(p)
}

func (s resettable) Read(p []byte) (int, error) {
	n, err := s.TCPConn.Read(p)
	s.entry.readFromBackends.Add(int64(n))
	return n, err
}

// recorded is a connection that records the bytes written.
type recorded struct {
	net.Conn
	sent *gbytes.Buffer
}

func (r recorded) Write(p []byte) (int, error) {
	_, _ = r.sent.Write(p)
	return r.Conn.Write(p)
}

// quietInterval is longer than any test.
const quietInterval = time.Hour

// planStop plans a stop that has not been noticed yet and ends after a time.
func (e *entry) planStop(after time.Duration) {
	now := time.Now()
	e.relayer.PlanStop(relayer.Stop{Noticed: now.Add(after / 2), End: now.Add(after)})
}

// setCompanion sets the address of a backend server's companion.
func (e *entry) setCompanion(name, address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.companions[name] = address
}

// call sends a request and returns the answer. The caller reads its body.
func (e *entry) call(ctx context.Context, header map[string]string) *http.Response {
	GinkgoHelper()
	return e.upload(ctx, header, "body")
}

// upload is like call, with the given body of the request.
func (e *entry) upload(ctx context.Context, header map[string]string, body string) *http.Response {
	GinkgoHelper()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, e.server.URL+"/a/b?c", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	r.Host = "h"
	r.Header.Set("Id", "1")
	r.Header.Set("Deadline", "20000")
	for k, v := range header {
		r.Header.Set(k, v)
	}
	answer, err := e.server.Client().Do(r)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(answer.Body.Close)
	return answer
}

func read(answer *http.Response) string {
	GinkgoHelper()
	body, err := io.ReadAll(answer.Body)
	Expect(err).NotTo(HaveOccurred())
	return string(body)
}

// reportState reports an idle engine's state, as its companion does.
func (e *entry) reportState(m tracker.Member) {
	e.placer.Report(time.Now(), "s", placer.EngineState{
		Name: m.Name, Incarnation: m.Spec.Incarnation, Life: 1, Sequence: 1, Whole: true, Models: []string{"m"}, MaxAdapters: 8,
	})
}
