package relayer_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
)

// framing is a way to delimit a body. Its function returns the header fields and the encoded
// body.
type framing struct {
	name  string
	frame func(pieces []string) (head, body string)
}

var framings = []framing{
	{"length", func(pieces []string) (string, string) {
		body := strings.Join(pieces, "")
		return fmt.Sprintf("Content-Length: %d\r\n", len(body)), body
	}},
	{"chunks", func(pieces []string) (string, string) {
		body := ""
		for _, p := range pieces {
			body += fmt.Sprintf("%x\r\n%s\r\n", len(p), p)
		}
		return "Transfer-Encoding: chunked\r\n", body + "0\r\n\r\n"
	}},
	{"connection", func(pieces []string) (string, string) { return "", strings.Join(pieces, "") }},
}

// truncatedAnswer is an answer of a backend server that ends early.
type truncatedAnswer struct {
	head, body string
	// cut is the number of bytes that are sent, and reset means that the connection is
	// reset after them rather than closed.
	cut   int
	reset bool
}

func (a truncatedAnswer) script(c net.Conn, r *http.Request) {
	head := strings.ReplaceAll(a.head, "%s", r.Header.Get("Id"))
	_, _ = io.WriteString(c, (head + a.body)[:a.cut])
	if a.reset {
		reset(c)
		return
	}
	_ = c.Close()
}

// bodyCut returns the number of bytes of the body that are sent; negative means that the head
// is truncated.
func (a truncatedAnswer) bodyCut() int { return a.cut - len(strings.ReplaceAll(a.head, "%s", "1")) }

// completeness is whether a truncated answer is complete according to its framing.
type completeness int

const (
	broken completeness = iota
	complete
	// undecided means that the reset may discard the last bytes.
	undecided
)

// completeness returns whether the answer is complete in the given framing.
func (a truncatedAnswer) completeness(framing string, events bool) completeness {
	n := a.bodyCut()
	switch {
	case n < 0 || framing != "connection" && n < len(a.body):
		return broken
	case framing != "connection" && a.reset:
		return undecided
	case framing != "connection":
		return complete
	case a.reset || events && !strings.HasSuffix(a.body[:n], "\n\n") && !strings.HasSuffix(a.body[:n], "\n\r\n"):
		return broken
	}
	return complete
}

// socketAnswer is an answer as read from a caller's socket.
type socketAnswer struct {
	status   int
	body     string
	complete bool
}

// callOnSocket sends a request on a new connection, in the given protocol version and with
// the given header fields, and reads the answer to its end.
func (e *entry) callOnSocket(protocol, fields string) socketAnswer {
	GinkgoHelper()
	conn, err := net.Dial("tcp", e.server.Listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	Expect(conn.SetDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
	_, err = io.WriteString(conn, "POST /a/b?c "+protocol+"\r\nHost: h\r\nId: 1\r\nDeadline: 20000\r\n"+fields+"Content-Length: 4\r\n\r\nbody")
	Expect(err).NotTo(HaveOccurred())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return socketAnswer{}
	}
	body, err := io.ReadAll(response.Body)
	return socketAnswer{status: response.StatusCode, body: string(body), complete: err == nil}
}

// answers are the kinds of answers under test.
var answers = []struct {
	kind   string
	route  tracker.Route
	status string
	fields string
	pieces []string
	events bool
}{
	{"a stream", streamed, "200", "Content-Type: text/event-stream\r\n", []string{"id: 1\ndata: x\n\n", "id: 2\n", "data: y\n\n"}, true},
	{"a stream of no stated type", streamed, "200", "", []string{"id: 1\r\ndata: x\r\n\r\n", "data: y\r\n\r\n"}, true},
	{"a stream that may go on", tracker.Route{Stream: true, Resumable: true, MaxAttempts: 1}, "200", "", []string{"id: 1\ndata: x\n\n", "id: 2\ndata: y\n\n"}, true},
	{"an answer", runOnce, "200", "", []string{"one ", "two"}, false},
	{"events that are no stream", runOnce, "200", "Content-Type: text/event-stream; charset=utf-8\r\n", []string{"data: x\n\n", "data: y\n\n"}, true},
	{"a failure", runOnce, "500", "", []string{"it ", "failed"}, false},
	{"a failure instead of events", streamed, "500", "", []string{"it ", "failed"}, false},
}

var _ = Describe("An answer that ends early", func() {
	// Guards against a truncated answer that its caller receives as a complete one after the
	// backend server has crashed.
	It("is broken to its caller", func() { checkEveryCut("HTTP/1.1", "") })

	// Guards against an orderly close of a connection that delimits the answer.
	It("is broken to a caller of HTTP/1.0", func() { checkEveryCut("HTTP/1.0", "") })

	It("is broken to a caller that asked for the end of the connection", func() { checkEveryCut("HTTP/1.1", "Connection: close\r\n") })
})

// checkEveryCut truncates answers of all kinds and framings at every byte, and checks that the
// caller receives a complete answer if and only if that of the backend server is complete.
func checkEveryCut(protocol, fields string) {
	GinkgoHelper()
	for _, a := range answers {
		for _, f := range framings {
			By(a.kind + " framed by " + f.name)
			field, body := f.frame(a.pieces)
			sent := truncatedAnswer{head: "HTTP/1.1 " + a.status + " x\r\nId: %s\r\n" + signed + a.fields + field + "\r\n", body: body}
			b := newBackend(nil)
			b.script = func(c net.Conn, r *http.Request) { sent.script(c, r) }
			e := newEntry(a.route, nil, b)
			for sent.cut = range len(sent.head) + len(body) {
				for _, sent.reset = range []bool{false, true} {
					// Backend servers are avoided for a while after a broken connection.
					e.clockOffset.Add(int64(time.Minute))
					got := e.callOnSocket(protocol, fields)
					delivered := got.complete && strconv.Itoa(got.status) == a.status
					if want := sent.completeness(f.name, a.events); want != undecided {
						Expect(delivered).To(Equal(want == complete), "%s framed by %s, cut at %d of the body, reset %t: %+v", a.kind, f.name, sent.bodyCut(), sent.reset, got)
					}
				}
			}
		}
	}
}
