package demonstrator

import (
	"context"
	"io"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// echo answers what it is sent.
func echo() (address string) {
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

// roundTrip sends a word and reads it back.
func roundTrip(c net.Conn, word string) string {
	GinkgoHelper()
	_, err := c.Write([]byte(word))
	Expect(err).NotTo(HaveOccurred())
	return receive(c, len(word))
}

func receive(c net.Conn, length int) string {
	GinkgoHelper()
	answer := make([]byte, length)
	_, err := io.ReadFull(c, answer)
	Expect(err).NotTo(HaveOccurred())
	return string(answer)
}

// nothingFor reports whether nothing comes for a moment. What comes later is
// not seen: it may pass wrongly, and never fails wrongly.
func nothingFor(c net.Conn, d time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(d))
	defer c.SetReadDeadline(time.Time{})
	n, err := c.Read(make([]byte, 1))
	return n == 0 && err != nil
}

var _ = Describe("a network", func() {
	var n *network
	var address string
	const moment = 100 * time.Millisecond

	BeforeEach(func() {
		n = newNetwork()
		DeferCleanup(n.close)
		address = echo()
		n.own(address, "b")
	})
	dial := func(ctx context.Context) net.Conn {
		GinkgoHelper()
		c, err := n.dialFrom("a")(ctx, address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = c.Close() })
		return c
	}

	// Symptom of a relay that keeps a forgotten connection half alive: its
	// deployment looks better than one behind a real middle box.
	It("forgets connections that are open, and serves new ones", func(ctx SpecContext) {
		old := dial(ctx)
		Expect(roundTrip(old, "before")).To(Equal("before"))
		Expect(n.forget(func(from, to string) bool { return from == "a" && to == "b" })).To(Equal(1))
		_, err := old.Write([]byte("lost"))
		Expect(err).NotTo(HaveOccurred())
		Expect(roundTrip(dial(ctx), "new")).To(Equal("new"))
		Expect(nothingFor(old, moment)).To(BeTrue())
	}, NodeTimeout(testLimit))

	It("refuses what the host refuses", func(ctx SpecContext) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Close()).To(Succeed())
		n.own(l.Addr().String(), "down")
		_, err = n.dialFrom("a")(ctx, l.Addr().String())
		Expect(err).To(MatchError(ContainSubstring("refused")))
	}, NodeTimeout(testLimit))

	DescribeTable("holds back what a cut concerns, and delivers it late",
		func(ctx SpecContext, process string, c cut) {
			conn := dial(ctx)
			Expect(roundTrip(conn, "before")).To(Equal("before"))
			n.setCut(process, c)
			_, err := conn.Write([]byte("late"))
			Expect(err).NotTo(HaveOccurred())
			Expect(nothingFor(conn, moment)).To(BeTrue())
			short, cancel := context.WithTimeout(ctx, moment)
			defer cancel()
			_, err = n.dialFrom("a")(short, address)
			Expect(err).To(MatchError(context.DeadlineExceeded))
			n.setCut(process, cut{})
			Expect(receive(conn, len("late"))).To(Equal("late"))
		},
		Entry("of the dialler, both ways", NodeTimeout(testLimit), "a", cut{outbound: true, inbound: true}),
		Entry("of what the dialler sends", NodeTimeout(testLimit), "a", cut{outbound: true}),
		Entry("of what the dialler is sent", NodeTimeout(testLimit), "a", cut{inbound: true}),
		Entry("of the listener, both ways", NodeTimeout(testLimit), "b", cut{outbound: true, inbound: true}),
		Entry("of what the listener sends", NodeTimeout(testLimit), "b", cut{outbound: true}),
	)

	It("passes on the end of a connection, unless it was forgotten", func(ctx SpecContext) {
		c := dial(ctx)
		Expect(c.(*net.TCPConn).CloseWrite()).To(Succeed())
		_, err := c.Read(make([]byte, 1))
		Expect(err).To(MatchError(io.EOF))
		forgotten := dial(ctx)
		Expect(roundTrip(forgotten, "x")).To(Equal("x"))
		n.forget(func(string, string) bool { return true })
		Expect(forgotten.(*net.TCPConn).CloseWrite()).To(Succeed())
		Expect(nothingFor(forgotten, moment)).To(BeTrue())
	}, NodeTimeout(testLimit))
})
