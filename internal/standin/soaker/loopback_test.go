package soaker

import (
	"net"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a process that can't start again since a connection of another process has taken
// its port in the meantime. Connections are opened from ports of the same range of 127.0.0.1.
func TestPortIsFreeBesideConnections(t *testing.T) {
	g := NewWithT(t)
	d := &deployment{}
	address, err := d.reserve()
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { g.Expect(d.reserved[0].Close()).To(Succeed()) }()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	g.Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	from, _, err := net.SplitHostPort(conn.LocalAddr().String())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(from).To(Equal("127.0.0.1"))
	own, _, err := net.SplitHostPort(address)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(own).NotTo(Equal(from))
	g.Expect(loopback(1)).To(Equal("127.64.0.1"))
	g.Expect(loopback(4194303)).To(Equal("127.127.255.255"))
}
