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

// newPair returns an entry before two engines, of which b0 is chosen first.
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

// askMeanwhile sends a request, and gives its answer's body when it comes.
func (e *entry) askMeanwhile() <-chan string {
	answered := make(chan string, 1)
	go func() {
		defer GinkgoRecover()
		answered <- read(e.ask(ctx, map[string]string{"Model": "m/a1"}))
	}()
	return answered
}

// never is a backend server that answers nothing until its caller has left.
func never(net.Conn, *http.Request) {}

// mute accepts connections, and says nothing on them.
func mute() string {
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

var _ = Describe("At a host that falls silent", func() {
	It("a call that waits for its admission goes elsewhere", func() {
		// Symptom: callers of streams leave after two seconds without an event; 0.7 s
		// later their requests reach engines, in the moment at which hosts wake.
		// Events: companions' hosts stand still for three seconds. Calls wait there
		// for their admission; in the end the connection is given up for its silence.
		// Cause: a companion that says nothing was taken for one that had died beside
		// a sound engine, and the calls were sent on to that engine unadmitted.
		b0, b1 := newBackend(stream), newBackend(stream)
		e := newPair(streamed, b0, b1)
		e.attend("b0", mute())
		answered := e.askMeanwhile()
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

	It("that can't be reached for its admission a call goes elsewhere, and the next pass it over", func() {
		// Symptom: after a host has been cut off, each call waits there for a dial.
		// Events: the companion's address does not answer a dial, nor refuse it.
		// Cause: it was taken for a refusal by the engine, which casts no doubt on it.
		b0, b1 := newBackend(stream), newBackend(stream)
		e := newPair(streamed, b0, b1)
		e.attend("b0", unanswered)
		Expect(read(e.ask(ctx, map[string]string{"Model": "m/a1"}))).NotTo(BeEmpty())
		dials := e.unansweredDials.Load()
		Expect(dials).To(BeNumerically(">", 0))
		var choice placer.Choice
		c := &placer.Call{Service: "s", Model: "m", Adapter: "a2"}
		Expect(e.placer.Choose(time.Now(), c, &choice)).To(Succeed())
		Expect(choice.Name).To(Equal("b1"))
		Expect(b0.runs.Load()).To(BeZero())
	})

	It("a call that was handed over and has no answer yet goes elsewhere", func() {
		// Symptom: of the calls that an engine has just been given, all wait until
		// their callers leave, though other engines are free.
		// Events: the engine's host stands still before the first event.
		// Cause: a call that was handed over waited for as long as its caller did.
		b0, b1 := newBackend(never), newBackend(stream)
		e := newPair(resumable, b0, b1)
		answered := e.askMeanwhile()
		Eventually(b0.runs.Load).Should(BeEquivalentTo(1))
		e.relayer.MarkSilent("s", "b0")
		Eventually(answered).Should(Receive(HaveSuffix("id: 2\ndata: x\n\n")))
		Eventually(b0.left).Should(Receive(), "the engine is told")
	})

	It("a call that may run once stays", func() {
		answer := make(chan struct{})
		b0, b1 := newBackend(func(c net.Conn, r *http.Request) {
			<-answer
			stream(c, r)
		}), newBackend(stream)
		e := newPair(streamed, b0, b1)
		answered := e.askMeanwhile()
		Eventually(b0.runs.Load).Should(BeEquivalentTo(1))
		e.relayer.MarkSilent("s", "b0")
		close(answer)
		Eventually(answered).Should(Receive(HaveSuffix("id: 2\ndata: x\n\n")))
		Expect(b1.runs.Load()).To(BeZero())
	})

	It("a stream that has begun stays", func() {
		// Symptom: two engines go on with one stream.
		// Events: an engine's host stands still in the middle of a stream, which is
		// resumed at another engine; the host wakes, and its engine goes on.
		// Cause: the stream was moved though its engine could not be told.
		resume := make(chan struct{})
		b0, b1 := newBackend(func(c net.Conn, r *http.Request) {
			events(c, r, 1, 1)
			<-resume
			_, _ = io.WriteString(c, "f\r\nid: 2\ndata: x\n\n\r\n")
			endStream(c)
		}), newBackend(stream)
		e := newPair(resumable, b0, b1)
		answer := e.ask(ctx, map[string]string{"Model": "m/a1"})
		first := make([]byte, len("id: 1\ndata: x\n\n"))
		_, err := io.ReadFull(answer.Body, first)
		Expect(err).NotTo(HaveOccurred())
		e.relayer.MarkSilent("s", "b0")
		close(resume)
		Expect(read(answer)).To(HaveSuffix("id: 2\ndata: x\n\n"))
		Expect(b1.runs.Load()).To(BeZero())
	})

	It("a call of a life that has ended since goes elsewhere at once", func() {
		// Symptom: callers wait until their deadline for an engine that is known to have
		// started again.
		// Events: an engine crashes behind a cut and starts again, under the same id.
		// Cause: calls of its former life waited for the cut to heal.
		b0, b1 := newBackend(never), newBackend(stream)
		e := newPair(resumable, b0, b1)
		answered := e.askMeanwhile()
		Eventually(b0.runs.Load).Should(BeEquivalentTo(1))
		e.put(storer.KindMember, "b0", storer.MemberSpec{
			Service: "s", Address: b0.network.Addr().String(), Instance: "i-0", Incarnation: "i-0 2", Born: 2, Slots: 8, BaseModel: "m",
		})
		Eventually(answered).Should(Receive(HaveSuffix("id: 2\ndata: x\n\n")))
		Expect(b1.runs.Load()).To(BeEquivalentTo(1))
	})

	It("calls go past it from then on", func() {
		b0, b1 := newBackend(stream), newBackend(stream)
		e := newPair(streamed, b0, b1)
		e.relayer.MarkSilent("s", "b0")
		Expect(read(e.ask(ctx, map[string]string{"Model": "m/a1"}))).NotTo(BeEmpty())
		Expect(b0.runs.Load()).To(BeZero())
	})
})

var _ = Describe("Beside an engine without a companion", func() {
	It("a call goes to the engine all the same", func() {
		// The port is closed: the host is there, and its engine knows what it holds.
		network, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(network.Close()).To(Succeed())
		b0, b1 := newBackend(stream), newBackend(stream)
		e := newPair(streamed, b0, b1)
		e.attend("b0", network.Addr().String())
		Expect(read(e.ask(ctx, map[string]string{"Model": "m/a1"}))).NotTo(BeEmpty())
		Expect(b0.runs.Load()).To(BeEquivalentTo(1))
	})

	It("a call whose caller has left in the meantime is not sent", func() {
		// Symptom: a request reaches an engine after its caller has left.
		// Events: the caller leaves while the call is admitted.
		// Cause: a connection kept idle was used without another look at the caller.
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
