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

// dialFunc opens a connection.
type dialFunc = func(ctx context.Context, address string) (net.Conn, error)

// pieces is a connection of which each Read returns a few bytes.
type pieces struct{ net.Conn }

func (c pieces) Read(p []byte) (int, error) { return c.Conn.Read(p[:min(len(p), 100)]) }

// dialPieces opens a connection whose bytes arrive a few at a time.
func dialPieces(ctx context.Context, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	return pieces{conn}, err
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
	Entry("in its first line", "", "x", 20<<10),
	Entry("in a field", "HTTP/1.1 200 OK\r\nField: ", "x", 20<<10),
	Entry("in the number of its fields", "HTTP/1.1 200 OK\r\n", "Field: x\r\n", 20<<10),
	Entry("in the number of interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n", 20<<10),
	Entry("to another request, until the connection ends", "HTTP/1.1 200 OK\r\nId: 2\r\n\r\n", "x", 1<<20+64<<10),
	Entry("to another request, in chunks", "HTTP/1.1 200 OK\r\nId: 2\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 1<<20+64<<10),
	Entry("to another request, with a length", "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 9000000000000000000\r\n\r\n", "x", 1<<20+64<<10),
	Entry("to no request", "HTTP/1.1 200 OK\r\n\r\n", "x", 1<<20+64<<10),
)

// Guards against heads that take many times their bytes once they are parsed, and against an answer that is
// lost or mixed with the next one since its head did not arrive at once.
var _ = DescribeTable("A head",
	func(fields, length, pause int, dial dialFunc, want error) {
		head := strings.Repeat("F: "+strings.Repeat("x", length)+"\r\n", fields)
		s := serve(func(conn net.Conn, reader *bufio.Reader) {
			for answer(conn, reader, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n"+head[:pause], head[pause:]+"\r", "\nok") {
			}
		})
		p := exchanger.NewPool(exchanger.Settings{Dial: dial})
		DeferCleanup(p.Close)
		for _, id := range []string{"1", "2", "3"} {
			body, conn, err := exchange(p, s.address(), id)
			if want != nil {
				Expect(err).To(MatchError(want))
				continue
			}
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal("ok"))
			Expect(conn.Reused()).To(BeTrue())
		}
		if want == nil {
			Expect(s.accepted).To(HaveLen(1), "the connection is used again")
		}
	},
	Entry("that is short", 1, 10, 0, nil, nil),
	Entry("with many fields", 124, 1, 0, nil, nil),
	Entry("with too many fields", 125, 1, 0, nil, exchanger.ErrSent),
	Entry("with many fields, in pieces", 124, 1, 0, dialPieces, nil),
	Entry("with too many fields, in pieces", 125, 1, 0, dialPieces, exchanger.ErrSent),
	Entry("longer than a buffer", 10, 1000, 0, nil, nil),
	Entry("that arrives in parts", 10, 1000, 5000, nil, nil),
	Entry("with a line longer than a buffer", 1, 12000, 4050, nil, nil),
	Entry("that is too long", 20, 1000, 0, nil, exchanger.ErrSent),
	Entry("with a line that is too long", 1, 17000, 0, nil, exchanger.ErrSent),
)

// Guards against bytes that nobody reads, on idle connections that are not used again for a while.
var _ = Describe("An idle connection that receives bytes", func() {
	It("is closed by the next sweep", func() {
		sent := make(chan struct{})
		s := serve(func(conn net.Conn, reader *bufio.Reader) {
			answer(conn, reader, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok")
			<-sent
			_, _ = io.WriteString(conn, "surplus")
		})
		p := exchanger.NewPool(exchanger.Settings{})
		DeferCleanup(p.Close)
		_, _, err := exchange(p, s.address(), "1")
		Expect(err).NotTo(HaveOccurred())
		all := func(string) bool { return true }
		p.Sweep(all)
		Expect(p.Connections(s.address())).To(Equal(1))
		close(sent)
		Eventually(func() int {
			p.Sweep(all)
			return p.Connections(s.address())
		}).Should(BeZero())
	})
})
