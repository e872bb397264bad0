package requester_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/transport/requester"
)

// Guards against a change that is reported as accepted although nothing has accepted it.
var _ = DescribeTable("A malformed answer accepts no change", func(ctx SpecContext, text string) {
	network, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer network.Close()
	go func() {
		for {
			conn, err := network.Accept()
			if err != nil {
				return
			}
			if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(conn, text)
			}
			_ = conn.Close()
		}
	}()
	c := requester.NewClient(requester.Settings{Address: network.Addr().String(), Attempts: 2, Pause: time.Millisecond})
	_, err = c.Put(ctx, "w", []byte("{}"), requester.Conditions{})
	Expect(err).To(HaveOccurred())
	_, err = c.Get(ctx, "w")
	Expect(err).To(HaveOccurred())
	_, err = c.Group(ctx)
	Expect(err).To(HaveOccurred())
},
	Entry("status 000", "HTTP/1.1 000 x\r\nContent-Length: 2\r\n\r\n{}"),
	Entry("status 099", "HTTP/1.1 099 x\r\nContent-Length: 2\r\n\r\n{}"),
	Entry("a blank in the name of a field", "HTTP/1.1 200 OK\r\nA b: c\r\nContent-Length: 2\r\n\r\n{}"),
	Entry("a control byte in the name of a field", "HTTP/1.1 200 OK\r\nA\x01: c\r\nContent-Length: 2\r\n\r\n{}"),
)
