package orderer_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
)

// Guards against a malformed answer that reaches a caller, or counts as the answer to an order: net/http accepts
// any three digits as a status, and names of fields that contain blanks.
var _ = DescribeTable("A malformed answer is no answer", func(ctx SpecContext, text string) {
	script := func(conn net.Conn, reader *bufio.Reader) {
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(conn, text)
		}
	}
	service := orderer.NewService(serveConnections(script))
	defer service.Close()
	for _, idempotent := range []bool{false, true} {
		_, err := service.Forward(ctx, orderer.ServiceCall{Request: "1", Method: http.MethodPost, Target: "/a", Idempotent: idempotent})
		Expect(err).To(MatchError(orderer.ErrUnknown))
	}
	settings := serveConnections(script)
	settings.ResumePause = time.Millisecond
	engine := orderer.NewEngine(settings)
	defer engine.Close()
	_, err := engine.Report(ctx)
	Expect(err).To(MatchError(orderer.ErrUnknown))
	_, err = engine.Cancel(ctx, "r1")
	Expect(err).To(MatchError(orderer.ErrUnknown))
	Expect(engine.Unload(ctx, 1, adapter)).To(MatchError(orderer.ErrUnknown))
	Expect(engine.Generate(ctx, call("r1"), (&answer{}).add)).To(MatchError(orderer.ErrUnknown))
},
	Entry("status 000", "HTTP/1.1 000 x\r\nContent-Length: 2\r\n\r\n{}"),
	Entry("status 099", "HTTP/1.1 099 x\r\nContent-Length: 2\r\n\r\n{}"),
	Entry("a signed status", "HTTP/1.1 +99 x\r\nContent-Length: 2\r\n\r\n{}"),
	Entry("a blank in a name", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nA b: c\r\n\r\n{}"),
	Entry("a blank after a name", "HTTP/1.1 200 OK\r\nA : c\r\nContent-Length: 2\r\n\r\n{}"),
	Entry("a control byte in a name", "HTTP/1.1 200 OK\r\nA\x01: c\r\nContent-Length: 2\r\n\r\n{}"),
)
