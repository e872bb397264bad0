package exchanger_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/protocol/exchanger"
)

// socketBytes is the size of the socket buffers, so that a far longer upload blocks while the server does not
// read.
const socketBytes = 64 << 10

// upload returns a request with a body of the given length.
func upload(id string, length int) *http.Request {
	return &http.Request{
		Method: http.MethodPost, Host: "h", URL: &url.URL{Opaque: "/a"}, ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{"Id": {id}}, Body: io.NopCloser(bytes.NewReader(make([]byte, length))), ContentLength: int64(length),
	}
}

// duringUpload returns a script that reads a part of an upload, writes an answer and then calls end. On a kept
// connection, another exchange precedes.
func duringUpload(kept bool, read int, answered string, end func(net.Conn, io.Reader)) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, reader *bufio.Reader) {
		if kept && !answer(conn, reader, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok") {
			return
		}
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.CopyN(io.Discard, r.Body, int64(read)); err != nil {
			return
		}
		if _, err := io.WriteString(conn, strings.ReplaceAll(answered, "%s", r.Header.Get("Id"))); err == nil {
			end(conn, r.Body)
		}
	}
}

// reset ends a connection at once. What was sent before arrives all the same.
func reset(conn net.Conn, _ io.Reader) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// closeUnread closes a connection on which more has arrived than was read, which resets it too.
func closeUnread(conn net.Conn, _ io.Reader) { _ = conn.Close() }

// sendUpload sends an upload and returns the body of its answer.
func sendUpload(script func(net.Conn, *bufio.Reader), kept bool, length int) (string, error) {
	GinkgoHelper()
	s := serve(script)
	p := exchanger.NewPool(exchanger.Settings{SocketBuffer: socketBytes})
	DeferCleanup(p.Close)
	if kept {
		_, _, err := exchange(p, s.address(), "0")
		Expect(err).NotTo(HaveOccurred())
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	conn, response, err := p.Exchange(ctx, s.address(), func() *http.Request { return upload("1", length) }, hasID("1"))
	if err != nil {
		Expect(err).To(MatchError(exchanger.ErrSent))
		return "", err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		conn.Abort()
	} else {
		conn.Finish(response, 0)
	}
	Expect(ctx.Err()).NotTo(HaveOccurred())
	return string(body), err
}

// Guards against a part of an answer that is taken for the complete one: its connection was reset while the
// request was still being written.
var _ = DescribeTable("An answer without a length whose connection is reset during the upload",
	func(head, part string, end func(net.Conn, io.Reader)) {
		for _, kept := range []bool{false, true} {
			for _, length := range []int{1 << 20, 8 << 20} {
				for _, read := range []int{0, 1, 100 << 10} {
					script := duringUpload(kept, read, head+"Id: %s\r\n\r\n"+part, end)
					body, err := sendUpload(script, kept, length)
					Expect(err).To(HaveOccurred(), "%q of %d bytes, %d read, kept %t", body, length, read, kept)
				}
			}
		}
	},
	Entry("200", "HTTP/1.1 200 OK\r\n", "part", reset),
	Entry("200 without a body", "HTTP/1.1 200 OK\r\n", "", reset),
	Entry("400", "HTTP/1.1 400 x\r\n", "part", reset),
	Entry("500", "HTTP/1.1 500 x\r\n", "part", reset),
	Entry("HTTP/1.0", "HTTP/1.0 200 OK\r\n", "part", reset),
	Entry("Connection: close", "HTTP/1.1 200 OK\r\nConnection: close\r\n", "part", reset),
	Entry("a stream", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n", "data: x\n\n", reset),
	Entry("a close with the upload unread", "HTTP/1.1 200 OK\r\n", "part", closeUnread),
	Entry("a body longer than a buffer", "HTTP/1.1 200 OK\r\n", strings.Repeat("x", 10<<10), reset),
)

// Guards against a sound answer that is discarded since its server did not wait for the end of the upload.
var _ = DescribeTable("An answer that begins before the end of the upload is complete",
	func(head string, end func(net.Conn, io.Reader)) {
		for _, kept := range []bool{false, true} {
			for _, read := range []int{0, 1, 100 << 10} {
				script := duringUpload(kept, read, head+"Id: %s\r\n\r\n", end)
				body, err := sendUpload(script, kept, 1<<20)
				Expect(err).NotTo(HaveOccurred(), "%d read, kept %t", read, kept)
				Expect(body).To(Equal("body"))
			}
		}
	},
	Entry("a refusal with a length, before a reset", "HTTP/1.1 413 x\r\nContent-Length: 4\r\n", func(conn net.Conn, upload io.Reader) {
		_, _ = io.WriteString(conn, "body")
		reset(conn, upload)
	}),
	Entry("a refusal in chunks, before a reset", "HTTP/1.1 413 x\r\nTransfer-Encoding: chunked\r\n", func(conn net.Conn, upload io.Reader) {
		_, _ = io.WriteString(conn, "4\r\nbody\r\n0\r\n\r\n")
		reset(conn, upload)
	}),
	Entry("without a length, closed after the upload", "HTTP/1.1 200 OK\r\n", func(conn net.Conn, upload io.Reader) {
		_, _ = io.WriteString(conn, "body")
		_, _ = io.Copy(io.Discard, upload)
		_ = conn.Close()
	}),
	Entry("without a length, shut down before the upload is read", "HTTP/1.1 200 OK\r\n", func(conn net.Conn, upload io.Reader) {
		_, _ = io.WriteString(conn, "body")
		_ = conn.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, upload)
		_ = conn.Close()
	}),
	Entry("with a length, its body after the upload", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n", func(conn net.Conn, upload io.Reader) {
		_, _ = io.Copy(io.Discard, upload)
		_, _ = io.WriteString(conn, "body")
	}),
)
