package orderer_test

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/protocol/orderer"
)

// Guards against a companion that ends by its memory: heads of several megabytes were read and parsed for
// each call.
var _ = Describe("An engine whose heads have no end", func() {
	It("is read up to a limit", func(ctx SpecContext) {
		socket, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer socket.Close()
		go func() {
			c, err := socket.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
			for piece := strings.Repeat("Field: x\r\n", 1000); err == nil; {
				_, err = io.WriteString(c, piece)
			}
		}()
		var read atomic.Int64
		client := orderer.NewEngine(orderer.Settings{
			Address: socket.Addr().String(),
			Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := (&net.Dialer{}).DialContext(ctx, network, address)
				return counted{c, &read}, err
			},
		})
		defer client.Close()
		Expect(client.Unload(ctx, 1, adapter)).NotTo(Succeed())
		Expect(read.Load()).To(BeNumerically("<=", 64<<10))
	})
})

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
