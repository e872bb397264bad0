package gatekeeper_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"marigoldpoint.example/marigoldpoint/internal/protocol/messenger"
)

// BenchmarkRequest measures one request through an entry over loopback, with the caller
// and a scripted companion in the same process. The slope over the number of pieces is
// the cost of one piece at both ends of the hop.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("Pieces=%d", n), func(b *testing.B) {
			RegisterTestingT(b)
			cleanUp = func(f func()) { b.Cleanup(f) }
			c := newCompanion("engine-1")
			texts := make([]string, n)
			for i := range texts {
				texts[i] = "token "
			}
			c.dispatch = func(conn *messenger.Conn, d messenger.Dispatch) error {
				send(conn, streamedAnswer(d.Request, d.Attempt, texts...)...)
				return nil
			}
			e := newDeployment(c).entry(nil)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				if a := e.chat(streamBody); a.outcome() != "Completed" {
					b.Fatal(a.body)
				}
			}
		})
	}
}
