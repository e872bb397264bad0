package gatekeeper_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// socketCall is a request on a connection of its own.
type socketCall struct {
	net.Conn
	method string
}

// callOnSocket sends a request in the given version of the protocol and with the given header
// fields.
func (e *entry) callOnSocket(protocol, fields, method, path, body string) socketCall {
	GinkgoHelper()
	conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", strings.TrimPrefix(e.url, "http://"))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close() })
	Expect(conn.SetDeadline(time.Now().Add(time.Minute))).To(Succeed())
	_, err = fmt.Fprintf(conn, "%s %s %s\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n%s\r\n%s",
		method, path, protocol, bearer, len(body), fields, body)
	Expect(err).NotTo(HaveOccurred())
	return socketCall{conn, method}
}

// readHead reads the head of the answer.
func (c socketCall) readHead() *http.Response {
	GinkgoHelper()
	got, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: c.method})
	Expect(err).NotTo(HaveOccurred())
	return got
}

// read reads the whole answer. The answer is complete to its caller if err is nil.
func (c socketCall) read() (got *http.Response, body string, err error) {
	GinkgoHelper()
	got = c.readHead()
	data, err := io.ReadAll(got.Body)
	return got, string(data), err
}

var serviceHead = &messenger.Head{Status: http.StatusOK, ContentType: "text/plain"}

// servicePieces returns the pieces of a service's answer without its end.
func servicePieces(d messenger.Dispatch, texts ...string) []messenger.Piece {
	pieces, offset := []messenger.Piece{}, int64(0)
	for _, text := range texts {
		pieces = append(pieces, messenger.Piece{Request: d.Request, Attempt: d.Attempt, Offset: offset, Head: serviceHead, Data: []byte(text)})
		offset += int64(len(text))
	}
	return pieces
}

// cutEnd is the end of an answer that broke after n bytes.
func cutEnd(d messenger.Dispatch, n int) messenger.Piece {
	return messenger.Piece{Request: d.Request, Attempt: d.Attempt, Offset: int64(n), End: &messenger.End{
		Outcome: messenger.OutcomeUnknown, Reason: messenger.ReasonEngine, Detail: "unexpected EOF",
	}}
}

// large returns texts of 1 MiB, which together exceed the part of an answer that an entry
// holds back.
func large() []string {
	texts := []string{}
	for i := range 6 {
		texts = append(texts, strings.Repeat(string(rune('a'+i)), 1<<20))
	}
	return texts
}

var _ = Describe("An answer that breaks", func() {
	const connectionClose = "Connection: close\r\n"

	// Guards against a part of a plain service's answer that its caller takes for the whole:
	// its header was sent before it broke, and the entry ends its own answer in order.
	DescribeTable("after its header was sent is not complete to its caller",
		func(protocol, fields, method, path string, want error) {
			c := newCompanion("service-1")
			wait, open := gate()
			texts := large()
			c.dispatch = func(conn *messenger.Conn, d messenger.Dispatch) error {
				go func() {
					send(conn, servicePieces(d, texts...)...)
					<-wait
					send(conn, cutEnd(d, len(texts)<<20))
				}()
				return nil
			}
			call := newDeployment(c).entry(nil).callOnSocket(protocol, fields, method, path, "")
			got := call.readHead()
			Expect(got.StatusCode).To(Equal(http.StatusOK))
			part := make([]byte, 5<<20)
			_, err := io.ReadFull(got.Body, part)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(part)).To(Equal(strings.Join(texts[:5], "")))
			open()
			_, err = io.Copy(io.Discard, got.Body)
			Expect(err).To(MatchError(want))
			Expect(c.dispatched.Load()).To(BeEquivalentTo(1), "the caller has a part of this answer")
		},
		Entry("HTTP/1.1", "HTTP/1.1", "", http.MethodPost, "/services/booking/print", io.ErrUnexpectedEOF),
		Entry("HTTP/1.1, a call that may run again", "HTTP/1.1", "", http.MethodGet, "/services/booking/print", io.ErrUnexpectedEOF),
		Entry("HTTP/1.1, last on its connection", "HTTP/1.1", connectionClose, http.MethodPost, "/services/booking/print", syscall.ECONNRESET),
		Entry("HTTP/1.0", "HTTP/1.0", "", http.MethodPost, "/services/booking/print", syscall.ECONNRESET),
		Entry("HTTP/1.0, a call that may run again", "HTTP/1.0", "", http.MethodGet, "/services/booking/print", syscall.ECONNRESET),
		Entry("HTTP/1.0, kept alive", "HTTP/1.0", "Connection: keep-alive\r\n", http.MethodPost, "/services/booking/print", syscall.ECONNRESET),
	)

	// Guards against a part of an answer that is sent because it had arrived: what the entry
	// holds back when an answer breaks is dropped.
	DescribeTable("before its header was sent is replaced by an error",
		func(protocol string) {
			c := newCompanion("service-1")
			c.dispatch = func(conn *messenger.Conn, d messenger.Dispatch) error {
				send(conn, append(servicePieces(d, "part"), cutEnd(d, len("part")))...)
				return nil
			}
			got, body, err := newDeployment(c).entry(nil).callOnSocket(protocol, "", http.MethodPost, "/services/booking/print", "").read()
			Expect(err).NotTo(HaveOccurred())
			Expect(got.StatusCode).To(Equal(http.StatusBadGateway))
			Expect(got.Header.Get("Marigoldpoint-Outcome")).To(Equal("Unknown"))
			Expect(body).To(And(ContainSubstring("outcome_unknown"), Not(ContainSubstring("part"))))
		},
		Entry("HTTP/1.1", "HTTP/1.1"),
		Entry("HTTP/1.0", "HTTP/1.0"),
	)

	// Guards against an engine's event stream that ends without a sign that it broke.
	DescribeTable("in an engine's stream of events ends with an error",
		func(protocol, fields string) {
			c := newCompanion("engine-1")
			c.dispatch = func(conn *messenger.Conn, d messenger.Dispatch) error {
				p := streamedAnswer(d.Request, d.Attempt, "one", "two")
				send(conn, p[0], p[1], cutEnd(d, int(p[2].Offset)))
				return nil
			}
			got, body, err := newDeployment(c).entry(nil).callOnSocket(protocol, fields, http.MethodPost, "/v1/chat/completions", streamBody).read()
			Expect(err).NotTo(HaveOccurred())
			Expect(got.StatusCode).To(Equal(http.StatusOK))
			Expect(body).To(MatchRegexp(`(?s)two.*\n\nevent: error\ndata: \{"error":.*answer_cut.*\n\n$`))
			Expect(body).NotTo(ContainSubstring("[DONE]"))
		},
		Entry("HTTP/1.1", "HTTP/1.1", ""),
		Entry("HTTP/1.1, last on its connection", "HTTP/1.1", connectionClose),
		Entry("HTTP/1.0", "HTTP/1.0", ""),
	)
})

var _ = Describe("The event that ends an engine's stream", func() {
	const done = "data: [DONE]\n\n"

	// Guards against a complete stream without its outcome, as the caller received it from an entry
	// that was killed before the companion had reported the outcome.
	It("is not sent before the outcome is known", func() {
		c := newCompanion("engine-1")
		c.dispatch = func(conn *messenger.Conn, d messenger.Dispatch) error {
			p := streamedAnswer(d.Request, d.Attempt, "one")
			last := p[len(p)-1]
			last.End = nil
			send(conn, p[0], last, cutEnd(d, int(last.Offset)+len(last.Data)))
			return nil
		}
		got := newDeployment(c).entry(nil).chat(streamBody)
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.outcome()).To(Equal("Unknown"))
		Expect(got.body).To(MatchRegexp(`(?s)one.*\n\nevent: error\n`))
		Expect(got.body).NotTo(ContainSubstring("[DONE]"))
	})

	// Guards against bytes that are lost or reordered where the event is split between pieces, or
	// where a text looks like its start.
	DescribeTable("is forwarded with its outcome however the stream is split",
		func(size int, stream string) {
			c := newCompanion("engine-1")
			c.dispatch = func(conn *messenger.Conn, d messenger.Dispatch) error {
				head := streamedAnswer(d.Request, d.Attempt, "one")[0].Head
				for offset := 0; offset < len(stream); offset += size {
					send(conn, messenger.Piece{Request: d.Request, Attempt: d.Attempt, Offset: int64(offset), Head: head, Data: []byte(stream[offset:min(len(stream), offset+size)])})
				}
				send(conn, messenger.Piece{Request: d.Request, Attempt: d.Attempt, Offset: int64(len(stream)), Head: head, End: completed(version)})
				return nil
			}
			got, body, err := newDeployment(c).entry(nil).callOnSocket("HTTP/1.1", "", http.MethodPost, "/v1/chat/completions", streamBody).read()
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal(stream + ": Marigoldpoint-Outcome Completed\n\n"))
			Expect(got.Trailer.Get("Marigoldpoint-Outcome")).To(Equal("Completed"))
		},
		Entry("at once", 1000, "data: {}\n\n"+done),
		Entry("by byte", 1, "data: {}\n\n"+done),
		Entry("in threes", 3, "data: {}\n\ndata: [1]\n\n"+done),
		Entry("with nothing before it", 1000, done),
		Entry("with the event in a text", 7, "data: {\"text\":\"data: [DONE]\"}\n\n"+done),
		Entry("with bytes after it", 5, done+": comment\n\n"),
	)
})

// failingWriter fails to flush an answer after the given number of bytes, like the connection
// of a caller that does not read in time.
type failingWriter struct {
	*httptest.ResponseRecorder
	limit int
}

func (w *failingWriter) FlushError() error {
	if w.Body.Len() > w.limit {
		return os.ErrDeadlineExceeded
	}
	return nil
}

var _ = Describe("An answer whose last write fails", func() {
	// Guards against an orderly end of the connection behind the part that was sent: the entry
	// can write neither the rest nor an error.
	DescribeTable("is not ended as a complete one",
		func(name, path, body string, limit int, answer func(messenger.Dispatch) []messenger.Piece) {
			c := newCompanion(name)
			c.dispatch = func(conn *messenger.Conn, d messenger.Dispatch) error {
				send(conn, answer(d)...)
				return nil
			}
			e := newDeployment(c).entry(nil)
			r := httptest.NewRequestWithContext(context.Background(), http.MethodPost, path, strings.NewReader(body))
			r.Header.Set("Authorization", "Bearer "+bearer)
			w := &failingWriter{httptest.NewRecorder(), limit}
			Expect(func() { e.Handler().ServeHTTP(w, r) }).To(PanicWith(http.ErrAbortHandler))
			Expect(w.Body.Len()).To(BeNumerically(">", limit))
		},
		Entry("if it is of a call that may run only once", "service-1", "/services/booking/print", "", 6<<20,
			func(d messenger.Dispatch) []messenger.Piece {
				pieces := servicePieces(d, append(large(), "last")...)
				pieces[len(pieces)-1].End = completed("")
				return pieces
			}),
		Entry("if it is a stream of events", "engine-1", "/v1/chat/completions", streamBody, 0,
			func(d messenger.Dispatch) []messenger.Piece { return streamedAnswer(d.Request, d.Attempt, "one") }),
	)
})

var _ = Describe("An answer that is sent whole", func() {
	// Guards against an end of the connection that a caller of HTTP/1.0 takes for the end of
	// the answer, after the entry has crashed while it sent it.
	It("states its length", func() {
		c := newCompanion("service-1")
		c.dispatch = func(conn *messenger.Conn, d messenger.Dispatch) error {
			pieces := servicePieces(d, large()[:2]...)
			pieces[1].End = completed("")
			send(conn, pieces...)
			return nil
		}
		got, body, err := newDeployment(c).entry(nil).callOnSocket("HTTP/1.0", "", http.MethodPost, "/services/booking/print", "").read()
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(HaveLen(2 << 20))
		Expect(got.ContentLength).To(BeEquivalentTo(2 << 20))
	})
})
