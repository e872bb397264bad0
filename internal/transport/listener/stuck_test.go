package listener_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"marigoldpoint.example/marigoldpoint/internal/transport/listener"
)

// Guards against an entry that is killed since the operating system keeps megabytes for each caller
// that doesn't read its answer, also after the call has ended.
var _ = It("A caller that does not read gets few bytes buffered, and is reset when its time is over", func() {
	const buffer, longest = 16 << 10, 1 << 20
	written := make(chan int, 1)
	h := listener.NewHTTP(listen(), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		control := http.NewResponseController(w)
		_ = control.SetWriteDeadline(time.Now().Add(300 * time.Millisecond))
		n := 0
		for n < longest {
			m, err := w.Write(make([]byte, 1024))
			if n += m; err != nil {
				break
			}
		}
		written <- n
	}), listener.Limits{SocketBuffer: buffer}, zerolog.Nop())
	DeferCleanup(h.Close)
	conn, err := connect(h.Address())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	Expect(conn.(*net.TCPConn).SetReadBuffer(buffer)).To(Succeed())
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	Expect(err).NotTo(HaveOccurred())
	Eventually(written).WithContext(context.Background()).WithTimeout(20 * time.Second).Should(Receive(BeNumerically("<", longest)))
	Expect(conn.SetReadDeadline(time.Now().Add(20 * time.Second))).To(Succeed())
	Eventually(func() bool {
		_, err := io.Copy(io.Discard, conn)
		return errors.Is(err, syscall.ECONNRESET)
	}).WithTimeout(20 * time.Second).Should(BeTrue())
})
