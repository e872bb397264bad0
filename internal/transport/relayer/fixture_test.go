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
	"marigoldpoint.example/marigoldpoint/internal/protocol/exchanger"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
	"marigoldpoint.example/marigoldpoint/internal/transport/dialer"
	"marigoldpoint.example/marigoldpoint/internal/transport/listener"
	"marigoldpoint.example/marigoldpoint/internal/transport/relayer"
)

// translator is a small protocol of its own.
type translator struct{}

func (translator) Call(r *http.Request) (relayer.Call, error) {
	ms, err := strconv.Atoi(r.Header.Get("Deadline"))
	c := relayer.Call{ID: r.Header.Get("Id"), Host: r.Host, Path: r.URL.Path, Deadline: time.Duration(ms) * time.Millisecond}
	c.Model, c.Adapter, _ = strings.Cut(r.Header.Get("Model"), "/")
	c.PromptTokens, c.AnswerTokens, c.TokensKnown = 100, 100, true
	c.Key = tracker.DigestKey(r.Header.Get("Key"))
	// A guess that isn't told is 0.
	c.ExpectedTokens, _ = strconv.Atoi(r.Header.Get("Expected"))
	return c, err
}

func (translator) Header(received http.Header, a relayer.Attempt) http.Header {
	h := received.Clone()
	h.Set("Workspace", a.Workspace)
	h.Set("Expect-Life", a.Incarnation)
	h.Set("Backup", a.Backup)
	h.Set("From", a.ResumeFrom)
	h.Set("Version", strconv.FormatUint(a.Version, 10))
	if a.LastEvent != "" {
		h.Set("After", a.LastEvent)
	}
	return h
}

func (translator) Head(_ int, h http.Header) relayer.Head {
	return relayer.Head{Request: h.Get("Id"), NotRun: h.Get("Not-Run") != "", OtherIncarnation: h.Get("Not-Run") == "elsewhere", Signed: h.Get("Signed") != "", Calls: -1}
}

func (translator) AnswerHeader(h http.Header) http.Header {
	out := h.Clone()
	out.Del("Content-Length")
	return out
}

// backend is a backend server that answers by a script.
type backend struct {
	network net.Listener
	// runs counts the requests that it began.
	runs   atomic.Int64
	script func(c net.Conn, r *http.Request)
	// left is given a value when a connection ends.
	left chan struct{}
}

func newBackend(script func(c net.Conn, r *http.Request)) *backend {
	GinkgoHelper()
	network, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = network.Close() })
	b := &backend{network: network, script: script, left: make(chan struct{}, 64)}
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
		b.left <- struct{}{}
	}()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		b.runs.Add(1)
		b.script(conn, r)
	}
}

// end ends the process: nobody takes connections any more.
func (b *backend) end(c net.Conn) {
	_ = b.network.Close()
	_ = c.Close()
}

// text writes a whole answer.
func text(status, header, body string) func(net.Conn, *http.Request) {
	return func(c net.Conn, r *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 "+status+" x\r\nId: "+r.Header.Get("Id")+"\r\n"+header+
			"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	}
}

const signed = "Signed: yes\r\n"

// events begins a stream and writes the events from first to last.
func events(c net.Conn, r *http.Request, first, last int) {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\n"+signed+"Transfer-Encoding: chunked\r\n\r\n")
	for i := first; i <= last; i++ {
		e := "id: " + strconv.Itoa(i) + "\ndata: x\n\n"
		_, _ = io.WriteString(c, strconv.FormatInt(int64(len(e)), 16)+"\r\n"+e+"\r\n")
	}
}

func endStream(c net.Conn) { _, _ = io.WriteString(c, "0\r\n\r\n") }

// entry is a relayer behind an HTTP server, before backend servers.
type entry struct {
	relayer *relayer.Relayer
	server  *httptest.Server
	tracker *tracker.Tracker
	view    uint64
	// untrusted means that what is known may be old.
	untrusted atomic.Bool
	// later is added to the relayer's clock, in nanoseconds.
	later    atomic.Int64
	mu       sync.Mutex
	admitted []messenger.Admit
	placer   *placer.Placer
	released []string
	// admit is what companions do.
	admit func(messenger.Admit) (messenger.Admitted, error)
	// companions holds the addresses of companions that are not the common one, by the
	// backend server's name; guarded by mu.
	companions map[string]string
	// unansweredDials counts the dials to unanswered.
	unansweredDials atomic.Int64
	// spoiled counts down with each request written to a backend server; the connection
	// of the one that brings it to 0 ends before any byte is taken.
	spoiled atomic.Int64
	// sent is what companions were sent.
	sent *gbytes.Buffer
	// log is what the relayer writes.
	log *gbytes.Buffer
	// told are the changes that the replicated state was asked to take in, and tellErr is
	// what it answers; guarded by mu.
	told    []storer.Command
	tellErr error
	// keyed are the workspaces; nil means that callers need no key. Guarded by mu.
	keyed []tracker.Workspace
	// control stands in for the control hosts.
	control control
}

// newEntry returns an entry before the backends, of which the route tells more.
func newEntry(route tracker.Route, engine *tracker.Engine, backends ...*backend) *entry {
	GinkgoHelper()
	e := &entry{
		admit: func(m messenger.Admit) (messenger.Admitted, error) {
			return messenger.Admitted{Version: m.Version}, nil
		},
		companions: make(map[string]string), sent: gbytes.NewBuffer(), log: gbytes.NewBuffer(),
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
			r := &tracker.Routing{
				Number: e.view, Routes: []tracker.Route{route}, Services: []tracker.Service{{Name: "s", Engine: engine}},
				Keyed: e.keyed != nil, Workspaces: e.keyed,
			}
			err := r.Compile()
			return r, err
		},
		Changed: func(v *tracker.View) { e.relayer.ViewChanged(v) },
	})
	companion := e.companion()
	random := rand.New(rand.NewPCG(1, 2))
	e.placer = placer.NewPlacer(placer.Settings{Random: rand.New(rand.NewPCG(5, 6))})
	pool := exchanger.NewPool(exchanger.Settings{Dial: e.dialBackend})
	companions := dialer.NewPool(dialer.Settings{
		Random: rand.New(rand.NewPCG(3, 4)), Dial: e.dial, Messenger: messenger.Settings{QuietInterval: quietInterval},
	})
	e.relayer = relayer.NewRelayer(relayer.Settings{
		Translator: translator{}, View: func() *tracker.View { return e.tracker.View() }, Trusted: func() bool { return !e.untrusted.Load() }, Pool: pool, Companions: companions,
		Placer: e.placer,
		CompanionAddress: func(m tracker.Member) string {
			e.mu.Lock()
			defer e.mu.Unlock()
			return cmp.Or(e.companions[m.Name], companion)
		},
		Random: random, Log: zerolog.New(e.log), Propose: e.tell, Control: &e.control, KeyLease: keyLease,
		Now: func() time.Time { return time.Now().Add(time.Duration(e.later.Load())) },
	})
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

// reconfigure puts a configuration with some workspaces in force.
func (e *entry) reconfigure(keyed []tracker.Workspace) {
	GinkgoHelper()
	e.mu.Lock()
	e.keyed = keyed
	e.mu.Unlock()
	e.put(storer.KindRouting, storer.RoutingName, storer.RoutingSpec{Number: e.view + 1})
}

// tell keeps what the replicated state is told.
func (e *entry) tell(_ context.Context, c storer.Command) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.told = append(e.told, c)
	return e.tellErr
}

// ends returns the ends that were told.
func (e *entry) ends() []storer.CountEnds {
	e.mu.Lock()
	defer e.mu.Unlock()
	var all []storer.CountEnds
	for _, c := range e.told {
		if end, ok := c.(storer.CountEnds); ok {
			all = append(all, end)
		}
	}
	return all
}

// cleared returns the requests that were told to be answered.
func (e *entry) cleared() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var all []string
	for _, c := range e.told {
		if answered, ok := c.(storer.ClearSuspects); ok {
			all = append(all, answered.Names...)
		}
	}
	return all
}

func (e *entry) put(kind storer.Kind, name string, spec storer.Spec) {
	GinkgoHelper()
	e.view++
	Expect(e.tracker.Apply([]storer.Change{{Revision: e.view, Resource: storer.Resource{
		Kind: kind, Metadata: storer.Metadata{Name: name, Revision: e.view}, Spec: spec,
	}}}, e.view)).To(Succeed())
}

func (e *entry) announce(i int, b *backend, state storer.MemberState) {
	e.put(storer.KindMember, "b"+strconv.Itoa(i), storer.MemberSpec{
		Service: "s", Address: b.network.Addr().String(), Incarnation: "i-" + strconv.Itoa(i), State: state, Slots: 8, BaseModel: "m",
	})
}

// companion serves admissions for all backend servers.
func (e *entry) companion() string {
	GinkgoHelper()
	network, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	l := listener.NewListener(network, messenger.Settings{QuietInterval: quietInterval, Handler: messenger.HandlerFunc(
		func(_ context.Context, _ *messenger.Conn, method messenger.Method, params json.RawMessage) (any, error) {
			e.mu.Lock()
			defer e.mu.Unlock()
			switch method { //nolint:exhaustive // The others don't come here.
			case messenger.MethodAdmit:
				var m messenger.Admit
				if err := messenger.Decode(params, &m); err != nil {
					return nil, err
				}
				e.admitted = append(e.admitted, m)
				return e.admit(m)
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

// unanswered is an address at which nobody answers a dial.
const unanswered = "unanswered:1"

// dial opens a connection to a companion.
func (e *entry) dial(ctx context.Context, address string) (net.Conn, error) {
	if address == unanswered {
		e.unansweredDials.Add(1)
		return nil, os.ErrDeadlineExceeded
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return recorded{Conn: conn, sent: e.sent}, nil
}

// dialBackend opens a connection to a backend server.
func (e *entry) dialBackend(ctx context.Context, address string) (net.Conn, error) {
	conn, err := exchanger.Dialer(exchanger.DefaultSilence)(ctx, address)
	if err != nil {
		return nil, err
	}
	return spoilable{TCPConn: conn.(*net.TCPConn), entry: e}, nil
}

// spoilable is a connection that its other end may reset just before it is written to.
type spoilable struct {
	*net.TCPConn
	entry *entry
}

func (s spoilable) Write(p []byte) (int, error) {
	if s.entry.spoiled.Add(-1) == 0 {
		_ = s.Close()
		return 0, syscall.ECONNRESET
	}
	return s.TCPConn.Write(p)
}

// recorded is a connection that keeps what is written.
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

// attend has the companion of a backend server listen elsewhere.
func (e *entry) attend(name, address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.companions[name] = address
}

// ask sends a request and returns the answer's head; its body is the caller's to
// read.
func (e *entry) ask(ctx context.Context, header map[string]string) *http.Response {
	GinkgoHelper()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, e.server.URL+"/a/b?c", strings.NewReader("body"))
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

// place has an engine's companion report.
func (e *entry) place(m tracker.Member) {
	e.placer.Report(time.Now(), "s", placer.EngineState{
		Name: m.Name, Incarnation: m.Spec.Incarnation, Life: 1, Sequence: 1, Whole: true, Models: []string{"m"}, MaxAdapters: 8,
	})
}
