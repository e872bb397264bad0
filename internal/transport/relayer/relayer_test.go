package relayer_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

var (
	once       = tracker.Route{MaxAttempts: 3}
	repeatable = tracker.Route{Repeat: tracker.RepeatFreely, MaxAttempts: 3}
	streamed   = tracker.Route{Stream: true, MaxAttempts: 1}
	resumable  = tracker.Route{Stream: true, Resumable: true, MaxAttempts: 3}
	engine     = &tracker.Engine{Slots: 8, MaxAdapters: 8, Models: []tracker.Model{{Name: "m"}}}
	ctx        = context.Background()
)

// hangUp ends the connection without an answer.
func hangUp(c net.Conn, _ *http.Request) { _ = c.Close() }

// reset ends the connection as the crash of its other end does.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

var well = text("200", signed, "answer")

func runs(backends ...*backend) int {
	n := 0
	for _, b := range backends {
		n += int(b.runs.Load())
	}
	return n
}

var _ = Describe("A call", func() {
	It("reaches its backend server unchanged, and its answer the caller", func() {
		got := make(chan *http.Request, 1)
		b := newBackend(func(c net.Conn, r *http.Request) {
			got <- r
			text("201", signed+"Kept: as is\r\n", "answer")(c, r)
		})
		answer := newEntry(once, nil, b).ask(ctx, map[string]string{"Other": "kept"})
		Expect(answer.StatusCode).To(Equal(201))
		Expect(answer.Header.Get("Kept")).To(Equal("as is"))
		Expect(read(answer)).To(Equal("answer"))
		r := <-got
		Expect(r.RequestURI).To(Equal("/a/b?c"))
		Expect(r.Host).To(Equal("h"))
		Expect(r.Header.Get("Other")).To(Equal("kept"))
		Expect(r.Header.Get("Expect-Life")).To(Equal("i-0"))
	})

	It("without a configuration is told to come back", func() {
		answer := newEntry(once, nil).ask(ctx, map[string]string{"Deadline": "200"})
		Expect(answer.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(answer.Header.Get("Retry-After")).NotTo(BeEmpty())
	})

	It("is not served by what may be old, right after the start", func() {
		// Symptom: a call goes by a route that was dropped seconds before.
		// Events: all processes are killed; a control host is back first and tells
		// an entry the state that it has read so far.
		// Cause: the first state that came was taken for the one in force.
		e := newEntry(once, nil, newBackend(well))
		e.untrusted.Store(true)
		Expect(e.ask(ctx, map[string]string{"Deadline": "200"}).StatusCode).To(Equal(http.StatusServiceUnavailable))
		e.untrusted.Store(false)
		Expect(e.ask(ctx, nil).StatusCode).To(Equal(200))
		e.untrusted.Store(true)
		Expect(e.ask(ctx, nil).StatusCode).To(Equal(200), "what was known stays in use without contact")
	})

	It("without a route is told so", func() {
		e := newEntry(once, nil, newBackend(well))
		r, err := http.NewRequest(http.MethodGet, e.server.URL+"/other/", nil)
		Expect(err).NotTo(HaveOccurred())
		r.Host = "h"
		r.Header.Set("Deadline", "1000")
		answer, err := e.server.Client().Do(r)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Body.Close()).To(Succeed())
		Expect(answer.StatusCode).To(Equal(http.StatusNotFound))
	})

	It("that may run once runs once, though its answer is lost", func() {
		// Symptom: a review is filed twice.
		// Events: the backend server runs the call, and the connection breaks
		// before its answer; the call is sent again to another.
		// Cause: a broken connection was taken for "not run".
		a, b := newBackend(hangUp), newBackend(hangUp)
		answer := newEntry(once, nil, a, b).ask(ctx, nil)
		Expect(answer.StatusCode).To(Equal(http.StatusBadGateway))
		Expect(runs(a, b)).To(Equal(1))
	})

	It("that may run once goes on where it was refused unread", func() {
		refuses := text("503", "Not-Run: 1\r\n", "")
		a, b := newBackend(refuses), newBackend(refuses)
		answer := newEntry(once, nil, a, b).ask(ctx, nil)
		Expect(answer.StatusCode).To(Equal(http.StatusServiceUnavailable), "nobody has run it")
		Expect(runs(a, b)).To(Equal(2))
	})

	It("passes no backend server over for the end of a kept connection", func() {
		// Symptom: a call is refused as not run ("no backend server") though a server
		// was free that never got it, and for 0.3 s others pass that server over.
		// Events: one of two backend servers refuses the call unread; the connection
		// kept to the other one is reset, as by a middle box or a server that closes
		// idle ones, after it was looked at and before it is written to.
		// Cause: "not sent" was taken for word from the server. It was word from a
		// connection of before; a new one would have reached it. The line: "not sent",
		// with "connection reset by peer", and then "no backend server" after one sending.
		refuses := text("503", "Not-Run: 1\r\n", "")
		a, b := newBackend(refuses), newBackend(refuses)
		e := newEntry(once, nil, a, b)
		for _, spoiled := range []int64{0, 1, 2} {
			before := runs(a, b)
			e.spoiled.Store(spoiled)
			Expect(e.ask(ctx, nil).StatusCode).To(Equal(http.StatusServiceUnavailable))
			Expect(runs(a, b)).To(Equal(before+2), "the connection of sending %d ended", spoiled)
		}
	})

	It("whose caller leaves while it is given its answer ends no other call", func() {
		// Symptom: a call that may run once gets 502, its outcome unknown, though its
		// backend server is well and answers it.
		// Events: a caller reads a long answer slowly. The backend server's part is
		// over; its connection is kept, and carries the next call. The first caller
		// leaves, or its time is over.
		// Cause: the end of a call reset the connection that it had used, also once
		// that was another call's.
		long := strings.Repeat("x", 16<<20)
		hold := make(chan struct{})
		release := sync.OnceFunc(func() { close(hold) })
		b := newBackend(nil)
		b.script = func(c net.Conn, r *http.Request) {
			if b.runs.Load() == 1 {
				text("200", signed, long)(c, r)
				return
			}
			<-hold
			well(c, r)
		}
		e := newEntry(once, nil, b)
		DeferCleanup(release)
		leaving, leave := context.WithCancel(ctx)
		Expect(e.ask(leaving, nil).StatusCode).To(Equal(200))
		other := make(chan *http.Response, 1)
		go func() {
			defer GinkgoRecover()
			other <- e.ask(ctx, nil)
		}()
		Eventually(func() int { return runs(b) }).Should(Equal(2))
		leave()
		Eventually(e.relayer.InFlight).Should(BeNumerically("<", 2))
		Consistently(e.relayer.InFlight).Should(Equal(1), "the other call goes on")
		release()
		answer := <-other
		Expect(answer.StatusCode).To(Equal(200))
		Expect(read(answer)).To(Equal("answer"))
	})

	It("that finds another life at its backend server's address goes to one that is there", func() {
		// Symptom: calls are refused for a second after a backend server has
		// restarted, though others are free.
		// Events: the call is sent by what was known of the former life; the new
		// one refuses it; the route allows one attempt.
		// Cause: the refusal counted as an attempt at the backend server meant.
		route := once
		route.MaxAttempts = 1
		elsewhere := text("421", "Not-Run: elsewhere\r\n", "")
		a, b := newBackend(elsewhere), newBackend(elsewhere)
		e := newEntry(route, nil, a, b)
		Expect(e.ask(ctx, map[string]string{"Deadline": "200"}).StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(a.runs.Load()).NotTo(BeZero())
		Expect(b.runs.Load()).NotTo(BeZero())
	})

	It("that may run once is answered by the failure of who ran it", func() {
		a, b := newBackend(text("500", signed, "mine")), newBackend(text("500", signed, "mine"))
		answer := newEntry(once, nil, a, b).ask(ctx, nil)
		Expect(answer.StatusCode).To(Equal(500))
		Expect(answer.Header.Get("Signed")).To(Equal("yes"))
		Expect(read(answer)).To(Equal("mine"))
		Expect(runs(a, b)).To(Equal(1))
	})

	It("that may run again does, after a failure, a loss, and half an answer", func() {
		turn := make(chan int, 3)
		script := func(c net.Conn, r *http.Request) {
			switch len(turn) {
			case 0:
				turn <- 1
				text("500", signed, "")(c, r)
			case 1:
				turn <- 2
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n"+signed+"Content-Length: 9\r\n\r\nhal")
				_ = c.Close()
			default:
				well(c, r)
			}
		}
		a, b, c := newBackend(script), newBackend(script), newBackend(script)
		answer := newEntry(repeatable, nil, a, b, c).ask(ctx, nil)
		Expect(answer.StatusCode).To(Equal(200))
		Expect(read(answer)).To(Equal("answer"))
	})

	It("goes to no more backend servers than its route allows", func() {
		route := repeatable
		route.MaxAttempts = 2
		a, b, c := newBackend(hangUp), newBackend(hangUp), newBackend(hangUp)
		answer := newEntry(route, nil, a, b, c).ask(ctx, nil)
		Expect(answer.StatusCode).To(Equal(http.StatusBadGateway))
		Expect(runs(a, b, c)).To(Equal(2))
	})

	It("whose answer breaks off has no answer that looks whole", func() {
		half := func(c net.Conn, _ *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n"+signed+"Content-Length: 9\r\n\r\nhal")
			_ = c.Close()
		}
		answer := newEntry(once, nil, newBackend(half)).ask(ctx, nil)
		Expect(answer.StatusCode).To(Equal(http.StatusBadGateway))
	})

	It("ends with its time", func() {
		route := once
		route.Timeout = 50 * time.Millisecond
		b := newBackend(func(_ net.Conn, _ *http.Request) {})
		answer := newEntry(route, nil, b).ask(ctx, nil)
		Expect(answer.StatusCode).To(Equal(http.StatusGatewayTimeout))
		Eventually(b.left).Should(Receive(), "the backend server is told by the end of its connection")
	})

	It("ends with its caller", func() {
		reached := make(chan struct{})
		b := newBackend(func(net.Conn, *http.Request) { close(reached) })
		e := newEntry(once, nil, b)
		leaving, leave := context.WithCancel(ctx)
		go func() {
			<-reached
			leave()
		}()
		r, err := http.NewRequestWithContext(leaving, http.MethodPost, e.server.URL+"/a/", http.NoBody)
		Expect(err).NotTo(HaveOccurred())
		r.Host = "h"
		r.Header.Set("Deadline", "20000")
		_, err = e.server.Client().Do(r)
		Expect(err).To(MatchError(context.Canceled))
		Eventually(b.left).Should(Receive())
		Eventually(e.relayer.InFlight).Should(BeZero())
	})
})

var _ = Describe("A stream", func() {
	It("goes on as it comes", func() {
		next := make(chan struct{})
		b := newBackend(func(c net.Conn, r *http.Request) {
			events(c, r, 1, 1)
			<-next
			_, _ = io.WriteString(c, "d\r\nid: 2\ndata:x\n\n\r\n")
			endStream(c)
		})
		answer := newEntry(streamed, nil, b).ask(ctx, nil)
		first := make([]byte, len("id: 1\ndata: x\n\n"))
		_, err := io.ReadFull(answer.Body, first)
		Expect(err).NotTo(HaveOccurred())
		close(next)
		Expect(string(first)).To(HavePrefix("id: 1\n"))
		_, err = io.ReadAll(answer.Body)
		Expect(err).To(HaveOccurred(), "its last chunk was spoiled, which must not look like an end")
	})

	It("that breaks off is cut for its caller too", func() {
		b := newBackend(func(c net.Conn, r *http.Request) {
			events(c, r, 1, 2)
			_ = c.Close()
		})
		answer := newEntry(streamed, nil, b).ask(ctx, nil)
		_, err := io.ReadAll(answer.Body)
		Expect(err).To(HaveOccurred())
		Expect(runs(b)).To(Equal(1))
	})

	It("that may be resumed goes on at another backend server, each event once", func() {
		// The first backend server breaks off in the middle of the third event.
		script := func(c net.Conn, r *http.Request) {
			if r.Header.Get("After") == "" {
				events(c, r, 1, 2)
				_, _ = io.WriteString(c, "8\r\nid: 3\nda\r\n")
				_ = c.Close()
				return
			}
			Expect(r.Header.Get("After")).To(Equal("2"))
			events(c, r, 3, 4)
			endStream(c)
		}
		answer := newEntry(resumable, nil, newBackend(script), newBackend(script)).ask(ctx, nil)
		Expect(read(answer)).To(Equal("id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\n"))
	})

	It("of an engine that is lost goes on from the copy of its memory", func() {
		// Symptom: long answers are cut off when an engine crashes, and may not be
		// asked for again.
		// Events: an engine crashes in the middle of a stream that may run once.
		// Cause: what had been generated was lost with it.
		lost := make(chan struct{})
		script := func(c net.Conn, r *http.Request) {
			if r.Header.Get("Id") == "before" {
				hangUp(c, r)
				return
			}
			if r.Header.Get("From") == "" {
				events(c, r, 1, 2)
				<-lost
				reset(c)
				return
			}
			Expect(r.Header.Get("After")).To(Equal("2"))
			Expect(r.Header.Get("From")).To(HaveSuffix("/1"))
			events(c, r, 3, 3)
			endStream(c)
		}
		a, b := newBackend(script), newBackend(script)
		e := newEntry(streamed, engine, a, b)
		e.reportAll(a, b)
		// Copies are kept once streams are seen to break.
		before := e.ask(ctx, map[string]string{"Model": "m/a1", "Id": "before"})
		Expect(before.StatusCode).To(Equal(http.StatusBadGateway))
		answer := e.ask(ctx, map[string]string{"Model": "m/a1"})
		begun := make([]byte, 2*len("id: 1\ndata: x\n\n"))
		_, err := io.ReadFull(answer.Body, begun)
		Expect(err).NotTo(HaveOccurred())
		e.later.Store(int64(time.Second))
		close(lost)
		Expect(read(answer)).To(Equal("id: 3\ndata: x\n\n"))
		Expect(runs(a, b)).To(Equal(3))
	})

	It("that broke before its copy can have come does not run again", func() {
		script := func(c net.Conn, r *http.Request) {
			events(c, r, 1, 1)
			_ = c.Close()
		}
		a, b := newBackend(script), newBackend(script)
		e := newEntry(streamed, engine, a, b)
		e.reportAll(a, b)
		for i, id := range []string{"before", "now"} {
			// The first one that breaks makes the entry keep copies of the next.
			answer := e.ask(ctx, map[string]string{"Model": "m/a1", "Id": id})
			_, err := io.ReadAll(answer.Body)
			Expect(err).To(HaveOccurred())
			Expect(runs(a, b)).To(Equal(i + 1))
		}
	})
})

// reportAll has the engines report to the entry, as companions do.
func (e *entry) reportAll(backends ...*backend) {
	for i := range backends {
		v := e.tracker.View().Members("s")[i]
		e.place(v)
	}
}

var _ = Describe("A planned stop", func() {
	It("sends long streams elsewhere, and serves what ends in time", func() {
		// Symptom: long answers are cut at the end of a planned stop.
		// Events: an entry is told to stop; until the balancer notices, it is given
		// new calls; a stream among them lasts longer than the time that is left.
		// Cause: what was in progress when the stop began was looked at only.
		b := newBackend(func(c net.Conn, r *http.Request) {
			events(c, r, 1, 1)
			endStream(c)
		})
		e := newEntry(streamed, nil, b)
		e.relayer.SetStopTime(time.Now().Add(time.Second))
		answer := e.ask(ctx, nil)
		Expect(answer.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(answer.Header.Get("Retry-After")).NotTo(BeEmpty())
		e.relayer.SetStopTime(time.Now().Add(time.Minute))
		Expect(read(e.ask(ctx, nil))).NotTo(BeEmpty())
		Expect(runs(b)).To(Equal(1))
	})

	It("believes the caller's guess at the size of the answer", func() {
		// Symptom: while the only entry of a failure domain stops, all its streams are
		// refused, and refused again when their callers come back.
		// Events: streams may have 100 tokens and are expected to have 10, as their
		// callers tell; a second is left.
		// Cause: each stream was taken for as long as it may become.
		b := newBackend(func(c net.Conn, r *http.Request) {
			events(c, r, 1, 1)
			endStream(c)
		})
		e := newEntry(streamed, nil, b)
		e.relayer.SetStopTime(time.Now().Add(time.Second))
		Expect(e.ask(ctx, map[string]string{"Expected": "200"}).StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(read(e.ask(ctx, map[string]string{"Expected": "10"}))).NotTo(BeEmpty())
		Expect(runs(b)).To(Equal(1))
	})
})

var _ = Describe("An admission", func() {
	It("comes before the call and ends with it", func() {
		b := newBackend(func(c net.Conn, r *http.Request) {
			events(c, r, 1, 1)
			endStream(c)
		})
		e := newEntry(streamed, engine, b)
		e.admit = func(messenger.Admit) (messenger.Admitted, error) { return messenger.Admitted{Version: 5}, nil }
		Expect(read(e.ask(ctx, map[string]string{"Model": "m/a1"}))).NotTo(BeEmpty())
		Eventually(func() []string { e.mu.Lock(); defer e.mu.Unlock(); return e.released }).Should(Equal([]string{"1"}))
		Expect(e.admitted[0].Adapter).To(Equal("a1"))
	})

	It("that took until the backend server leaves sends nothing there", func() {
		// Symptom: a backend server gets a request two seconds after it has said
		// that it leaves.
		// Events: the request waits at its companion; the backend server announces
		// that it leaves; the wait ends well.
		// Cause: whether it still serves was looked at before the wait only.
		b := newBackend(well)
		e := newEntry(streamed, engine, b)
		e.admit = func(m messenger.Admit) (messenger.Admitted, error) {
			e.announce(0, b, storer.MemberStateLeaving)
			return messenger.Admitted{Version: m.Version}, nil
		}
		answer := e.ask(ctx, map[string]string{"Model": "m/a1", "Deadline": "200"})
		Expect(answer.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(runs(b)).To(BeZero())
	})

	It("that would wait much longer than expected goes elsewhere, once", func() {
		// Symptom: callers leave while their call waits at a crowded engine.
		// Events: an entry chooses by what it heard most of a second ago.
		// Cause: what an engine knew better was told with the next state only.
		b0, b1 := newBackend(stream), newBackend(stream)
		e := newPair(streamed, b0, b1)
		var movable []bool
		e.admit = func(m messenger.Admit) (messenger.Admitted, error) {
			if movable = append(movable, m.Movable); m.Movable {
				refusal := messenger.NewRefusal(messenger.ReasonMisled, "crowded")
				refusal.RetryAfterMillis = 5000
				return messenger.Admitted{}, refusal
			}
			return messenger.Admitted{Version: m.Version}, nil
		}
		Expect(read(e.ask(ctx, map[string]string{"Model": "m/a1"}))).To(HaveSuffix("id: 2\ndata: x\n\n"))
		Expect(b0.runs.Load()).To(BeZero())
		Expect(b1.runs.Load()).To(BeEquivalentTo(1))
		Expect(movable).To(Equal([]bool{true, false}))
		var choice placer.Choice
		Expect(e.placer.Choose(time.Now(), &placer.Call{Service: "s", Model: "m", Adapter: "a2"}, &choice)).To(Succeed())
		Expect(choice.Name).To(Equal("b1"), "the next one is told of the wait")
	})

	It("that is refused sends the call elsewhere, and in the end back", func() {
		b := newBackend(well)
		e := newEntry(streamed, engine, b)
		e.admit = func(messenger.Admit) (messenger.Admitted, error) {
			return messenger.Admitted{}, messenger.NewRefusal(messenger.ReasonUnavailable, "full")
		}
		answer := e.ask(ctx, map[string]string{"Model": "m/a1", "Deadline": "200"})
		Expect(answer.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(answer.Header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(runs(b)).To(BeZero())
	})
})
