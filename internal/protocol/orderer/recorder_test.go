package orderer

import (
	"io"
	"net"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
)

// TestSealDecidesAgainstWrite guards against a call that is reported as not run although
// its bytes are written afterwards. One goroutine cancels the call while another is about
// to write it, so the check whether anything was written must also prevent later writes.
func TestSealDecidesAgainstWrite(t *testing.T) {
	g := NewWithT(t)
	for range 2000 {
		near, far := net.Pipe()
		r := &sealableConn{Conn: near}
		var wrote bool
		var arrived int64
		var all sync.WaitGroup
		all.Go(func() { arrived, _ = io.Copy(io.Discard, far) })
		all.Go(func() {
			_, _ = r.Write([]byte("request"))
			_ = near.Close()
		})
		all.Go(func() { wrote = r.seal() })
		all.Wait()
		if !wrote {
			g.Expect(arrived).To(BeZero())
		}
	}
}
