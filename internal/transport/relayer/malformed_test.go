package relayer_test

import (
	"io"
	"net"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/prometheus/client_golang/prometheus"

	"marigoldpoint.example/marigoldpoint/internal/coordination/placer"
	"marigoldpoint.example/marigoldpoint/internal/state/storer"
	"marigoldpoint.example/marigoldpoint/internal/state/tracker"
	"marigoldpoint.example/marigoldpoint/internal/transport/relayer"
)

// writes returns a script that writes a text, with %s replaced by the id of the request.
func writes(text string) func(net.Conn, *http.Request) {
	return func(c net.Conn, r *http.Request) {
		_, _ = io.WriteString(c, strings.ReplaceAll(text, "%s", r.Header.Get("Id")))
	}
}

// resets returns a script that writes a text and resets the connection.
func resets(text string) func(net.Conn, *http.Request) {
	return func(c net.Conn, r *http.Request) {
		writes(text)(c, r)
		_ = c.(*net.TCPConn).SetLinger(0)
	}
}

var _ = Describe("A malformed or incomplete answer", func() {
	const body = "Content-Length: 4\r\n\r\nbody"
	resumable := tracker.Route{Stream: true, Resumable: true, MaxAttempts: 3}
	upload := strings.Repeat("x", 4<<20)

	// Guards against a broken answer that reaches a caller, against a second run of a call that may have run, and
	// against an operator who can't tell which backend server sends such answers.
	DescribeTable("is not forwarded, and is counted and logged by its defect",
		func(route tracker.Route, script func(net.Conn, *http.Request), duringUpload bool, defect string) {
			first, second := newBackend(script), newBackend(script)
			sent := "body"
			if duringUpload {
				first.duringUpload, second.duringUpload, sent = script, script, upload
			}
			registry := prometheus.NewRegistry()
			e := newEntryChanged(func(s *relayer.Settings) { s.Registerer = registry }, placer.Settings{}, route, nil, first, second)
			answer := e.upload(ctx, nil, sent)
			_, err := io.Copy(io.Discard, answer.Body)
			Expect(err != nil && answer.StatusCode == http.StatusOK || answer.StatusCode == http.StatusBadGateway).To(BeTrue())
			Expect(runs(first, second)).To(Equal(1))
			Expect(metric(registry, "marigoldpoint_relayer_defective_answers_total", "defect", defect)).To(BeEquivalentTo(1))
			for line := range strings.Lines(string(e.log.Contents())) {
				if strings.Contains(line, `"Defect":"`+defect+`"`) {
					Expect(line).To(MatchRegexp(`"Request":"1","Backend":"b[01]","Incarnation":"i-[01]"`))
					Expect(len(line)).To(BeNumerically("<", 1000))
					return
				}
			}
			Fail("no line names the defect")
		},
		Entry("a status of 000", runOnce, writes("HTTP/1.1 000 x\r\nId: %s\r\n"+signed+body), false, "Status"),
		Entry("a status of 000 of a stream", streamed, writes("HTTP/1.1 000 x\r\nId: %s\r\n"+signed+body), false, "Status"),
		Entry("a status of 099", runOnce, writes("HTTP/1.1 099 x\r\nId: %s\r\n"+signed+body), false, "Status"),
		Entry("a blank in the name of a field", runOnce, writes("HTTP/1.1 200 OK\r\nId: %s\r\n"+signed+"A b: c\r\n"+body), false, "FieldName"),
		Entry("a blank after the name of a field", runOnce, writes("HTTP/1.1 200 OK\r\nId: %s\r\nSigned : no\r\n"+signed+body), false, "FieldName"),
		Entry("a blank after the name of a field that is long", runOnce, writes("HTTP/1.1 200 OK\r\nId: %s\r\n"+strings.Repeat("A", 9000)+" : x\r\n"+signed+body), false, "FieldName"),
		Entry("a control byte in the name of a field", runOnce, writes("HTTP/1.1 200 OK\r\nId: %s\r\nA\x01"+strings.Repeat("A", 9000)+": x\r\n"+signed+body), false, "Syntax"),
		Entry("a head that is too long", runOnce, writes("HTTP/1.1 200 OK\r\nId: %s\r\nA: "+strings.Repeat("A", 17<<10)), false, "Length"),
		Entry("a reset during the upload", runOnce, resets("HTTP/1.1 200 OK\r\nId: %s\r\n"+signed+"\r\npart"), true, "WriteFailed"),
		Entry("a reset during the upload, after a failure", runOnce, resets("HTTP/1.1 500 x\r\nId: %s\r\n"+signed+"\r\npart"), true, "WriteFailed"),
		Entry("a reset during the upload, of a stream", streamed, resets("HTTP/1.1 200 OK\r\nId: %s\r\n"+signed+"\r\nid: 1\ndata: x\n\n"), true, "WriteFailed"),
	)

	// Guards against an operator who looks for malformed answers where connections break.
	It("is not counted where a connection is reset without an answer", func() {
		b := newBackend(nil)
		b.duringUpload = resets("")
		registry := prometheus.NewRegistry()
		e := newEntryChanged(func(s *relayer.Settings) { s.Registerer = registry }, placer.Settings{}, runOnce, nil, b)
		Expect(e.upload(ctx, nil, upload).StatusCode).To(Equal(http.StatusBadGateway))
		Expect(metric(registry, "marigoldpoint_relayer_defective_answers_total", "service", "s")).To(BeEquivalentTo(-1))
		Expect(e.log).To(gbytes.Say("request sent without an answer.*no answer"))
	})

	// Guards against a call that fails although it may be repeated, or its stream resumed.
	DescribeTable("is made up for by another backend server",
		func(route tracker.Route, script func(net.Conn, *http.Request), second func(net.Conn, *http.Request), want string) {
			broken, sound := newBackend(nil), newBackend(second)
			broken.duringUpload = script
			e := newEntry(route, nil, broken)
			e.announce(1, sound, storer.MemberStateServing)
			for runs(broken) == 0 {
				Expect(read(e.upload(ctx, nil, upload))).To(Equal(want))
			}
			Expect(runs(sound)).To(BeNumerically(">=", 1))
		},
		Entry("if the call may be repeated", repeatable, resets("HTTP/1.1 200 OK\r\nId: %s\r\n"+signed+"\r\npart"), text("200", signed, "whole"), "whole"),
		Entry("if the status is 000", repeatable, resets("HTTP/1.1 000 x\r\nId: %s\r\n"+signed+body), text("200", signed, "whole"), "whole"),
		Entry("if the stream may be resumed", resumable, resets("HTTP/1.1 200 OK\r\nId: %s\r\n"+signed+"\r\nid: 1\ndata: x\n\n"),
			func(c net.Conn, r *http.Request) {
				first := 1
				if r.Header.Get("After") == "1" {
					first = 2
				}
				events(c, r, first, 2)
				endStream(c)
			}, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n"),
	)
})
