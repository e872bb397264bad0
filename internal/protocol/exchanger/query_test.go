package exchanger_test

import (
	"bufio"
	"context"
	"net"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/protocol/exchanger"
)

var _ = Describe("A query", func() {
	query := func(address string) (exchanger.Answer, error) {
		pool := exchanger.NewPool(exchanger.Settings{})
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		a, err := pool.Query(ctx, address, request("1"))
		Expect(pool.Connections(address)).To(BeZero())
		return a, err
	}

	It("returns the complete answer and closes its connection", func() {
		a, err := query(serve(serveNormally).address())
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Status).To(Equal(200))
		Expect(string(a.Body)).To(Equal("ok"))
	})

	It("tells a refused connection from others", func() {
		s := serve(serveNormally)
		Expect(s.network.Close()).To(Succeed())
		_, err := query(s.address())
		Expect(err).To(MatchError(exchanger.ErrNotSent))
		Expect(err).To(MatchError(syscall.ECONNREFUSED))
	})

	DescribeTable("fails without a complete answer",
		func(head, body string) {
			_, err := query(serve(func(conn net.Conn, reader *bufio.Reader) {
				defer conn.Close()
				answer(conn, reader, "HTTP/1.1 200 OK\r\n"+head+"\r\n"+body)
			}).address())
			Expect(err).To(MatchError(exchanger.ErrSent))
			Expect(err).NotTo(MatchError(syscall.ECONNREFUSED))
		},
		Entry("a truncated body", "Content-Length: 3\r\n", "ok"),
		Entry("a body that is too long", "", strings.Repeat("x", 1<<20)),
	)
})
