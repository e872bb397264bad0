package orderer

import (
	"io"
	"net"
	"sync"
	"testing"

	. "github.com/onsi/gomega"
)

// Symptom: "not run" is said of a call whose bytes leave afterwards. Sequence: one
// goroutine gives the call up while another is about to write it. Cause: looking
// at what was written is not enough; the look must also end all writing.
func TestSealDecidesAgainstWrite(t *testing.T) {
	g := NewWithT(t)
	for range 2000 {
		near, far := net.Pipe()
		r := &recorder{Conn: near}
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
