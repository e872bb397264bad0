package exchanger_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/protocol/exchanger"
)

// counted is a connection that counts the bytes read.
type counted struct {
	net.Conn
	read *atomic.Int64
}

func (c counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// Guards against memory that is used up by bytes that come without end.
var _ = DescribeTable("An answer without end",
	func(head, repeated string, maxRead int) {
		s := serve(func(conn net.Conn, reader *bufio.Reader) {
			if !answer(conn, reader, head) {
				return
			}
			piece := strings.Repeat(repeated, 1+4096/len(repeated))
			for {
				if _, err := io.WriteString(conn, piece); err != nil {
					return
				}
			}
		})
		var read atomic.Int64
		p := exchanger.NewPool(exchanger.Settings{Dial: func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			return counted{conn, &read}, err
		}})
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		defer cancel()
		_, _, err := p.Exchange(ctx, s.address(), func() *http.Request { return request("1") }, func(h http.Header) bool { return h.Get("Id") == "1" })
		Expect(err).To(Or(MatchError(exchanger.ErrSent), MatchError(exchanger.ErrAnswerMismatch)))
		Expect(ctx.Err()).NotTo(HaveOccurred())
		Expect(read.Load()).To(BeNumerically("<=", maxRead))
		Expect(p.Connections(s.address())).To(BeZero())
	},
	Entry("in its first line", "", "x", 64<<10),
	Entry("in a field", "HTTP/1.1 200 OK\r\nField: ", "x", 64<<10),
	Entry("in the number of its fields", "HTTP/1.1 200 OK\r\n", "Field: x\r\n", 64<<10),
	Entry("in the number of interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n", 64<<10),
	Entry("to another request, until the connection ends", "HTTP/1.1 200 OK\r\nId: 2\r\n\r\n", "x", 1<<20+64<<10),
	Entry("to another request, in chunks", "HTTP/1.1 200 OK\r\nId: 2\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 1<<20+64<<10),
	Entry("to another request, with a length", "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 9000000000000000000\r\n\r\n", "x", 1<<20+64<<10),
	Entry("to no request", "HTTP/1.1 200 OK\r\n\r\n", "x", 1<<20+64<<10),
)
