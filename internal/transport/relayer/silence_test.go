package relayer_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

// newPair returns an entry with two engines, of which b0 is chosen first.
func newPair(route tracker.Route, b0, b1 *backend) *entry {
	GinkgoHelper()
	e := newEntry(route, engine, b0, b1)
	for i, running := range []int{0, 100} {
		m := e.tracker.View().Members("s")[i]
		e.placer.Report(time.Now(), "s", placer.EngineState{
			Name: m.Name, Incarnation: m.Spec.Incarnation, Life: 1, Sequence: 1, Whole: true,
			Models: []string{"m"}, MaxAdapters: 8, Running: running,
		})
	}
	return e
}

// callAsync sends a request, and returns a channel that receives the answer's body.
func (e *entry) callAsync() <-chan string {
	answered := make(chan string, 1)
	go func() {
		defer GinkgoRecover()
		answered <- read(e.call(ctx, map[string]string{"Model": "m/a1"}))
	}()
	return answered
}

// neverAnswers is the script of a backend server that sends no answer.
func neverAnswers(net.Conn, *http.Request) {}

// silentListener accepts connections and never writes to them. It returns its address.
func silentListener() string {
	GinkgoHelper()
	network, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(network.Close)
	go func() {
		for {
			conn, err := network.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(io.Discard, conn)
				_ = conn.Close()
			}()
		}
	}()
	return network.Addr().String()
}

var stream = func(c net.Conn, r *http.Request) {
	events(c, r, 1, 2)
	endStream(c)
}

var _ = Describe("When a host falls silent", func() {
	It("a call that waits for its admission there moves to another", func() {
		// Guards against taking a silent companion for one that crashed beside a
		// healthy engine. When companions' hosts stalled for three seconds, callers of
		// streams left after two seconds without an event; 0.7 s later, when the silent
		// connections were closed and the hosts recovered, the requests were sent to
		// the engines without admission.
		b0, b1 := newBackend(stream), newBackend(stream)
		e := newPair(streamed, b0, b1)
		e.setCompanion("b0", silentListener())
		answered := e.callAsync()
		var got string
		Eventually(func() bool {
			e.relayer.MarkSilent("s", "b0")
			select {
			case got = <-answered:
				return true
			default:
				return false
			}
		}).Should(BeTrue())
		Expect(got).To(HaveSuffix("id: 2\ndata: x\n\n"))
		Expect(b0.runs.Load()).To(BeZero())
	})

	It("a call that can't dial its companion moves to another host, and the next calls avoid it", func() {
		// Guards against repeated dials to a partitioned host: a dial that gets neither
		// an answer nor a refusal was taken for a refusal by the engine, which does not
		// make the host suspect, so that every call waited for a dial.
		b0, b1 := newBackend(stream), newBackend(stream)
		e := newPair(streamed, b0, b1)
		e.setCompanion("b0", unansweredAddress)
		Expect(read(e.call(ctx, map[string]string{"Model": "m/a1"}))).NotTo(BeEmpty())
		dials := e.unansweredDialCount.Load()
		Expect(dials).To(BeNumerically(">", 0))
		var choice placer.Choice
		c := &placer.Call{Service: "s", Model: "m", Adapter: "a2"}
		Expect(e.placer.Choose(time.Now(), c, &choice)).To(Succeed())
		Expect(choice.Name).To(Equal("b1"))
		Expect(b0.runs.Load()).To(BeZero())
	})

	It("a call that was sent and has no answer yet moves to another", func() {
		// Guards against calls that wait until their callers leave, although other
		// engines are free, because the engine's host stalls after the call was sent
		// and before the first event.
		b0, b1 := newBackend(neverAnswers), newBackend(stream)
		e := newPair(resumable, b0, b1)
		answered := e.callAsync()
		Eventually(b0.runs.Load).Should(BeEquivalentTo(1))
		e.relayer.MarkSilent("s", "b0")
		Eventually(answered).Should(Receive(HaveSuffix("id: 2\ndata: x\n\n")))
		Eventually(b0.disconnected).Should(Receive(), "the engine is notified")
	})

	It("a call that may run once stays", func() {
		answer := make(chan struct{})
		b0, b1 := newBackend(func(c net.Conn, r *http.Request) {
			<-answer
			stream(c, r)
		}), newBackend(stream)
		e := newPair(streamed, b0, b1)
		answered := e.callAsync()
		Eventually(b0.runs.Load).Should(BeEquivalentTo(1))
		e.relayer.MarkSilent("s", "b0")
		close(answer)
		Eventually(answered).Should(Receive(HaveSuffix("id: 2\ndata: x\n\n")))
		Expect(b1.runs.Load()).To(BeZero())
	})

	It("a stream that has begun stays", func() {
		// Guards against two engines running one stream: the host of an engine stalls
		// in the middle of a stream, which is resumed at another engine; the host
		// recovers, and its engine continues since it could not be notified.
		resume := make(chan struct{})
		b0, b1 := newBackend(func(c net.Conn, r *http.Request) {
			events(c, r, 1, 1)
			<-resume
			_, _ = io.WriteString(c, "f\r\nid: 2\ndata: x\n\n\r\n")
			endStream(c)
		}), newBackend(stream)
		e := newPair(resumable, b0, b1)
		answer := e.call(ctx, map[string]string{"Model": "m/a1"})
		first := make([]byte, len("id: 1\ndata: x\n\n"))
		_, err := io.ReadFull(answer.Body, first)
		Expect(err).NotTo(HaveOccurred())
		e.relayer.MarkSilent("s", "b0")
		close(resume)
		Expect(read(answer)).To(HaveSuffix("id: 2\ndata: x\n\n"))
		Expect(b1.runs.Load()).To(BeZero())
	})

	It("a call of an incarnation that has ended moves to another at once", func() {
		// Guards against callers that wait until their deadline for an engine that is
		// known to have restarted: an engine crashes behind a network partition and
		// restarts under the same id, and calls of its previous incarnation waited for
		// the partition to heal.
		b0, b1 := newBackend(neverAnswers), newBackend(stream)
		e := newPair(resumable, b0, b1)
		answered := e.callAsync()
		Eventually(b0.runs.Load).Should(BeEquivalentTo(1))
		e.put(storer.KindMember, "b0", storer.MemberSpec{
			Service: "s", Address: b0.network.Addr().String(), Instance: "i-0", Incarnation: "i-0 2", Born: 2, Slots: 8, BaseModel: "m",
		})
		Eventually(answered).Should(Receive(HaveSuffix("id: 2\ndata: x\n\n")))
		Expect(b1.runs.Load()).To(BeEquivalentTo(1))
	})

	It("new calls avoid it", func() {
		b0, b1 := newBackend(stream), newBackend(stream)
		e := newPair(streamed, b0, b1)
		e.relayer.MarkSilent("s", "b0")
		Expect(read(e.call(ctx, map[string]string{"Model": "m/a1"}))).NotTo(BeEmpty())
		Expect(b0.runs.Load()).To(BeZero())
	})
})

var _ = Describe("Beside an engine without a companion", func() {
	It("a call is sent to the engine without admission", func() {
		// The port is closed: the host is reachable, and its engine knows which
		// adapters it holds.
		network, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(network.Close()).To(Succeed())
		b0, b1 := newBackend(stream), newBackend(stream)
		e := newPair(streamed, b0, b1)
		e.setCompanion("b0", network.Addr().String())
		Expect(read(e.call(ctx, map[string]string{"Model": "m/a1"}))).NotTo(BeEmpty())
		Expect(b0.runs.Load()).To(BeEquivalentTo(1))
	})

	It("a call whose caller has left in the meantime is not sent", func() {
		// Guards against sending a request after its caller has left: the caller leaves
		// while the call is being admitted, and an idle connection was reused without
		// checking for it.
		b0 := newBackend(stream)
		e := newEntry(streamed, engine, b0)
		leaving, leave := context.WithCancel(ctx)
		e.admit = func(m messenger.Admit) (messenger.Admitted, error) {
			leave()
			Eventually(e.relayer.InFlight).Should(BeZero())
			return messenger.Admitted{Version: m.Version}, nil
		}
		r, err := http.NewRequestWithContext(leaving, http.MethodPost, e.server.URL+"/a/", http.NoBody)
		Expect(err).NotTo(HaveOccurred())
		r.Host = "h"
		r.Header.Set("Deadline", "20000")
		r.Header.Set("Model", "m/a1")
		_, err = e.server.Client().Do(r)
		Expect(err).To(HaveOccurred())
		Expect(b0.runs.Load()).To(BeZero())
	})
})
