package relayer_test

import (
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/protocol/exchanger"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
	"marigoldpoint.example/marigoldpoint/internal/transport/relayer"
)

const stopPath = "/stop"

func (translator) StopRequest(s relayer.StopRun) *http.Request {
	return &http.Request{
		Method: http.MethodPost, Host: s.Address, URL: &url.URL{Opaque: stopPath}, ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{"Id": {s.Request}, "Expect-Life": {s.Incarnation}, "Target": {s.Target}},
	}
}

func (translator) StopReply(a exchanger.Answer) relayer.StopReply {
	end, handle, _ := strings.Cut(string(a.Body), " ")
	switch end {
	case "stopped":
		return relayer.StopReply{End: relayer.RunEndStopped, Handle: handle, Copied: handle != ""}
	case "kept":
		return relayer.StopReply{End: relayer.RunEndStopped, Handle: handle}
	case "absent":
		return relayer.StopReply{End: relayer.RunEndAbsent}
	case "replaced":
		return relayer.StopReply{End: relayer.RunEndReplaced}
	case "busy":
		return relayer.StopReply{Busy: true}
	}
	return relayer.StopReply{}
}

// resumption is where a stream is resumed.
type resumption int

const (
	resumedNowhere resumption = iota
	// resumedAtSource means at the engine that has stopped it.
	resumedAtSource
	resumedElsewhere
)

// streamedTwice is a route whose streams may run at two engines.
var streamedTwice = tracker.Route{Stream: true, MaxAttempts: 2}

// moving is an engine that can stop runs.
var moving = &tracker.Engine{Slots: 8, MaxAdapters: 8, Models: []tracker.Model{{Name: "m"}}, Moves: true}

// interruption is a stream that breaks after two events at one of two engines.
type interruption struct {
	entry   *entry
	engines [2]*backend
	// lose ends the connection of the stream.
	lose func(b *backend, c net.Conn)
	lost chan struct{}
	// model is the model that the stream needs, with its adapter.
	model string
	// header holds further header fields of the answers of the first and the second engine.
	header [2]string

	mu sync.Mutex
	// first is the index of the engine that began the stream, and from the names of the copies
	// from which it was resumed. Both are guarded by mu.
	first int
	from  []string
	// at are the indices of the engines that resumed the stream; guarded by mu.
	at []int
	// versions are the versions that the attempts required, and kept the addresses of the engines that
	// were to keep a copy. Both are guarded by mu.
	versions, kept []string
}

// newInterruption returns an entry that keeps a copy of the KV cache of each stream, which may run at
// one engine. The engines answer the requests to stop a run with stop, in order; the last one is used
// for all further ones.
func newInterruption(service *tracker.Engine, lose func(b *backend, c net.Conn), stop ...func(c net.Conn, r *http.Request)) *interruption {
	GinkgoHelper()
	return newInterruptionOf(streamed, service, lose, stop...)
}

// newInterruptionOf is like newInterruption for a route.
func newInterruptionOf(route tracker.Route, service *tracker.Engine, lose func(b *backend, c net.Conn), stop ...func(c net.Conn, r *http.Request)) *interruption {
	GinkgoHelper()
	i := &interruption{lose: lose, lost: make(chan struct{}), model: "m/a1"}
	asked := 0
	if len(stop) == 0 {
		stop = append(stop, text("500", "", "failed"))
	}
	for n := range i.engines {
		i.engines[n] = newBackend(func(c net.Conn, r *http.Request) { i.run(n, c, r) })
		i.engines[n].stop = func(c net.Conn, r *http.Request) {
			i.mu.Lock()
			answer := stop[min(asked, len(stop)-1)]
			asked++
			i.mu.Unlock()
			answer(c, r)
		}
	}
	i.entry = newEntry(route, service, i.engines[:]...)
	i.entry.reportAll(i.engines[:]...)
	// Copies are kept only after a stream was lost.
	before := i.entry.call(ctx, map[string]string{"Model": "m/a1", "Id": "before"})
	Expect(before.StatusCode).To(Equal(http.StatusBadGateway))
	return i
}

func (i *interruption) run(n int, c net.Conn, r *http.Request) {
	if r.Header.Get("Id") != "before" {
		i.mu.Lock()
		i.versions = append(i.versions, r.Header.Get("Version"))
		if backup := r.Header.Get("Backup"); backup != "" {
			i.kept = append(i.kept, backup)
		}
		i.mu.Unlock()
	}
	switch from := r.Header.Get("From"); {
	case r.Header.Get("Id") == "before":
		_ = c.Close()
	case from == "":
		i.mu.Lock()
		i.first = n
		i.mu.Unlock()
		eventsWith(c, r, i.header[0], 1, 2)
		<-i.lost
		i.lose(i.engines[n], c)
	default:
		i.mu.Lock()
		i.from, i.at = append(i.from, from), append(i.at, n)
		i.mu.Unlock()
		eventsWith(c, r, i.header[1], 3, 3)
		endStream(c)
	}
}

// setMember changes the announcement of an engine.
func (i *interruption) setMember(n int, change func(*storer.MemberSpec)) {
	GinkgoHelper()
	m := member(n, i.engines[n], storer.MemberStateServing)
	change(&m)
	i.entry.put(storer.KindMember, "b"+strconv.Itoa(n), m)
}

// firstEngine returns the index of the engine that began the stream.
func (i *interruption) firstEngine() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.first
}

// read reads the stream, and breaks its connection after the copy must have arrived.
func (i *interruption) read() (string, error) {
	GinkgoHelper()
	answer := i.entry.call(ctx, map[string]string{"Model": i.model})
	begun := make([]byte, 2*len("id: 1\ndata: x\n\n"))
	_, err := io.ReadFull(answer.Body, begun)
	Expect(err).NotTo(HaveOccurred())
	i.entry.clockOffset.Store(int64(time.Second))
	close(i.lost)
	rest, err := io.ReadAll(answer.Body)
	return string(rest), err
}

// mustResume reads the stream, and checks whether it is resumed.
func (i *interruption) mustResume(want resumption) {
	GinkgoHelper()
	rest, err := i.read()
	if want == resumedNowhere {
		Expect(err).To(HaveOccurred())
		Expect(i.at).To(BeEmpty())
		return
	}
	Expect(err).NotTo(HaveOccurred())
	Expect(rest).To(Equal("id: 3\ndata: x\n\n"))
}

// backups returns the addresses of the engines that were to keep a copy.
func (i *interruption) backups() []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.kept
}

// copies returns the names of the copy that the entry has requested and of one that the first engine
// made when it was stopped.
func (i *interruption) copies(handle string) (kept, made string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.engines[1-i.first].network.Addr().String() + "/1", i.engines[i.first].network.Addr().String() + "/" + handle
}

var _ = Describe("A stream whose connection to its engine is lost", func() {
	loseAnswer := func(_ *backend, c net.Conn) { reset(c) }
	crash := func(b *backend, c net.Conn) { b.shutDown(c) }
	replies := func(body string) func(net.Conn, *http.Request) { return text("200", "", body) }
	hangs := func(c net.Conn, _ *http.Request) { _, _ = io.Copy(io.Discard, c) }

	// Guards against a request that runs at two engines at the same time: the end of its
	// connection was taken for the end of its run.
	DescribeTable("is not resumed while its run may be in progress",
		func(service *tracker.Engine, stop func(net.Conn, *http.Request)) {
			i := newInterruption(service, loseAnswer, stop)
			_, err := i.read()
			Expect(err).To(HaveOccurred())
			Expect(i.from).To(BeEmpty())
		},
		Entry("the engine can't stop runs", engine, nil),
		Entry("the engine refuses to stop it", moving, replies("refused")),
		Entry("the engine fails", moving, text("500", "", "failed")),
		Entry("the answer is truncated", moving, func(c net.Conn, _ *http.Request) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nstopped 7")
			_ = c.Close()
		}),
		Entry("the answer never ends", moving, func(c net.Conn, _ *http.Request) {
			_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nstopped 7")
			for err == nil {
				_, err = io.WriteString(c, strings.Repeat("x", 4096))
			}
		}),
		Entry("the engine does not answer", moving, hangs),
	)

	// Guards against a stream that may run only once and breaks although its run has ended.
	DescribeTable("is resumed once its run has ended",
		func(service *tracker.Engine, lose func(*backend, net.Conn), handle string, stops ...func(net.Conn, *http.Request)) {
			i := newInterruptionOf(streamedTwice, service, lose, stops...)
			rest, err := i.read()
			Expect(err).NotTo(HaveOccurred())
			Expect(rest).To(Equal("id: 3\ndata: x\n\n"))
			kept, made := i.copies(handle)
			if handle == "" {
				made = kept
			}
			Expect(i.from).To(Equal([]string{made}))
			Expect(i.at).To(Equal([]int{1 - i.first}))
		},
		Entry("the engine has crashed", moving, crash, ""),
		Entry("an engine that can't stop runs has crashed", engine, crash, ""),
		Entry("the engine stops it and copies its KV cache", moving, loseAnswer, "7", replies("stopped 7")),
		Entry("the engine stops it and has no room for the copy", moving, loseAnswer, "", replies("stopped")),
		Entry("the engine does not have it", moving, loseAnswer, "", replies("absent")),
		Entry("another incarnation answers", moving, loseAnswer, "", replies("replaced")),
		Entry("the engine is busy at first", moving, loseAnswer, "7", replies("busy"), replies("stopped 7")),
		Entry("the connection is lost again at first", moving, loseAnswer, "7", hangUp, replies("stopped 7")),
	)

	// Guards against a stream that runs at more engines than its route allows: an attempt that resumed from
	// a copy of the KV cache did not count, or an engine did not that seemed to have ended and lived on.
	DescribeTable("is not resumed at more engines than allowed",
		func(service *tracker.Engine, lose func(*backend, net.Conn), stop func(net.Conn, *http.Request), want resumption) {
			i := newInterruptionOf(streamed, service, lose, stop)
			i.mustResume(want)
			Expect(i.backups()).To(BeEmpty(), "no copy is kept that can't be used")
			if want == resumedNowhere {
				return
			}
			_, made := i.copies("7")
			Expect(i.from).To(Equal([]string{made}))
			Expect(i.at).To(Equal([]int{i.first}))
		},
		Entry("the engine seems to have crashed", moving, crash, nil, resumedNowhere),
		Entry("an engine that can't stop runs seems to have crashed", engine, crash, nil, resumedNowhere),
		Entry("another incarnation answers", moving, loseAnswer, replies("replaced"), resumedNowhere),
		Entry("the engine stops it and copies its KV cache", moving, loseAnswer, replies("stopped 7"), resumedAtSource),
		Entry("the engine stops it, and there is no room for the copy", moving, loseAnswer, replies("kept 7"), resumedAtSource),
		Entry("the engine stops it and keeps nothing", moving, loseAnswer, replies("stopped"), resumedNowhere),
		Entry("the engine does not have it", moving, loseAnswer, replies("absent"), resumedNowhere),
	)

	// Guards against a stream that runs at more engines than its route allows, or at two at the same
	// time: a refused connection was taken for the end of the engine's process, which lived on.
	DescribeTable("is not resumed elsewhere if its engine refuses connections",
		func(service *tracker.Engine, route tracker.Route, state messenger.ProcessState, inspectErr error) {
			i := newInterruptionOf(route, service, crash)
			i.entry.setInspect(state, inspectErr)
			_, err := i.read()
			Expect(err).To(HaveOccurred())
			Expect(i.at).To(BeEmpty())
		},
		Entry("and runs", moving, streamed, messenger.ProcessRunning, nil),
		Entry("and runs, below the limit", moving, streamedTwice, messenger.ProcessRunning, nil),
		Entry("and can't stop runs", engine, streamed, messenger.ProcessRunning, nil),
		Entry("and leaves", moving, streamed, messenger.ProcessLeaving, nil),
		Entry("and its companion has no evidence", moving, streamed, messenger.ProcessUnknown, nil),
		Entry("and its companion is of an earlier version", moving, streamed, messenger.ProcessUnknown, messenger.NewRefusal(messenger.ReasonUnsupported, "")),
	)

	It("asks the companion how long ago the engine was heard of", func() {
		i := newInterruptionOf(streamedTwice, moving, crash)
		var asked messenger.Inspect
		i.entry.mu.Lock()
		i.entry.inspect = func(m messenger.Inspect) (messenger.ProcessState, error) {
			asked = m
			return messenger.ProcessExited, nil
		}
		i.entry.mu.Unlock()
		_, err := i.read()
		Expect(err).NotTo(HaveOccurred())
		Expect(asked.Incarnation).To(Equal("i-" + strconv.Itoa(i.first)))
		Expect(time.Duration(asked.QuietMillis) * time.Millisecond).To(And(BeNumerically(">=", time.Second), BeNumerically("<", 10*time.Second)))
	})

	// An announcement may arrive late: the engine that answers is the one that runs the stream.
	DescribeTable("and of whose engine another incarnation is known",
		func(silent bool, want resumption) {
			var i *interruption
			i = newInterruptionOf(streamedTwice, moving, func(b *backend, c net.Conn) {
				if silent {
					address := b.network.Addr().String()
					i.entry.silent.Store(&address)
				}
				i.setMember(i.firstEngine(), func(m *storer.MemberSpec) { m.Incarnation = "i-next" })
				reset(c)
			}, replies("refused"))
			i.mustResume(want)
		},
		Entry("is resumed elsewhere if the engine is silent", true, resumedElsewhere),
		Entry("is not resumed while the engine answers", false, resumedNowhere),
	)
})
