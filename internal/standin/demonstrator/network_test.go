package demonstrator

import (
	"context"
	"io"
	"net"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// startEcho starts a server that sends back what it receives.
func startEcho() (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	return l.Addr().String()
}

// roundTrip sends a word and returns what it reads back.
func roundTrip(c net.Conn, word string) string {
	GinkgoHelper()
	_, err := c.Write([]byte(word))
	Expect(err).NotTo(HaveOccurred())
	return receive(c, len(word))
}

// receive reads length bytes.
func receive(c net.Conn, length int) string {
	GinkgoHelper()
	answer := make([]byte, length)
	_, err := io.ReadFull(c, answer)
	Expect(err).NotTo(HaveOccurred())
	return string(answer)
}

// receivesNothing reports whether no data arrives for d. Data that arrives later
// is missed, so it may return true wrongly but never false.
func receivesNothing(c net.Conn, d time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(d))
	defer c.SetReadDeadline(time.Time{})
	n, err := c.Read(make([]byte, 1))
	return n == 0 && err != nil
}

var _ = Describe("a network", func() {
	var n *network
	var address string
	const silenceTime = 100 * time.Millisecond

	BeforeEach(func() {
		n = newNetwork()
		DeferCleanup(n.close)
		address = startEcho()
		n.setOwner(address, "b")
	})
	dial := func(ctx context.Context) net.Conn {
		GinkgoHelper()
		c, err := n.dialFrom("a")(ctx, address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = c.Close() })
		return c
	}

	// Guards against a relay that keeps a blackholed connection partly alive, so that
	// faults are milder than behind a real middlebox.
	It("blackholes open connections, and serves new ones", func(ctx SpecContext) {
		old := dial(ctx)
		Expect(roundTrip(old, "before")).To(Equal("before"))
		Expect(n.blackhole(func(from, to string) bool { return from == "a" && to == "b" })).To(Equal(1))
		_, err := old.Write([]byte("lost"))
		Expect(err).NotTo(HaveOccurred())
		Expect(roundTrip(dial(ctx), "new")).To(Equal("new"))
		Expect(receivesNothing(old, silenceTime)).To(BeTrue())
	}, NodeTimeout(testLimit))

	// Guards against a relay that ends a reset connection in order, which completes an answer
	// that ends with its connection.
	It("propagates a reset", func(ctx SpecContext) {
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		n.setOwner(l.Addr().String(), "b")
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = io.ReadFull(c, make([]byte, len("reset")))
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}()
		c, err := n.dialFrom("a")(ctx, l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		_, err = c.Write([]byte("reset"))
		Expect(err).NotTo(HaveOccurred())
		_, err = c.Read(make([]byte, 1))
		Expect(err).To(MatchError(syscall.ECONNRESET))
	}, NodeTimeout(testLimit))

	It("refuses a connection that the host refuses", func(ctx SpecContext) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Close()).To(Succeed())
		n.setOwner(l.Addr().String(), "down")
		_, err = n.dialFrom("a")(ctx, l.Addr().String())
		Expect(err).To(MatchError(ContainSubstring("refused")))
	}, NodeTimeout(testLimit))

	DescribeTable("holds back data in a cut direction, and delivers it after the cut",
		func(ctx SpecContext, process string, c cut) {
			conn := dial(ctx)
			Expect(roundTrip(conn, "before")).To(Equal("before"))
			n.setCut(process, c)
			_, err := conn.Write([]byte("late"))
			Expect(err).NotTo(HaveOccurred())
			Expect(receivesNothing(conn, silenceTime)).To(BeTrue())
			short, cancel := context.WithTimeout(ctx, silenceTime)
			defer cancel()
			_, err = n.dialFrom("a")(short, address)
			Expect(err).To(MatchError(context.DeadlineExceeded))
			n.setCut(process, cut{})
			Expect(receive(conn, len("late"))).To(Equal("late"))
		},
		Entry("of the dialler, both directions", NodeTimeout(testLimit), "a", cut{outbound: true, inbound: true}),
		Entry("of data from the dialler", NodeTimeout(testLimit), "a", cut{outbound: true}),
		Entry("of data to the dialler", NodeTimeout(testLimit), "a", cut{inbound: true}),
		Entry("of the listener, both directions", NodeTimeout(testLimit), "b", cut{outbound: true, inbound: true}),
		Entry("of data from the listener", NodeTimeout(testLimit), "b", cut{outbound: true}),
	)

	It("propagates the end of a connection, unless it was blackholed", func(ctx SpecContext) {
		c := dial(ctx)
		Expect(c.(*net.TCPConn).CloseWrite()).To(Succeed())
		_, err := c.Read(make([]byte, 1))
		Expect(err).To(MatchError(io.EOF))
		blackholed := dial(ctx)
		Expect(roundTrip(blackholed, "x")).To(Equal("x"))
		n.blackhole(func(string, string) bool { return true })
		Expect(blackholed.(*net.TCPConn).CloseWrite()).To(Succeed())
		Expect(receivesNothing(blackholed, silenceTime)).To(BeTrue())
	}, NodeTimeout(testLimit))
})
