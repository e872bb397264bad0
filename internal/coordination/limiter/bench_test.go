package limiter_test

import (
	"fmt"
	"testing"

	"marigoldpoint.example/marigoldpoint/internal/coordination/limiter"
)

// BenchmarkAdmit measures the admission and the end of one call while each workspace
// has one call in flight.
func BenchmarkAdmit(b *testing.B) {
	for _, n := range []int{5, 50, 500} {
		b.Run(fmt.Sprintf("Workspaces=%d", n), func(b *testing.B) {
			l := newLimiter(limiter.Settings{})
			calls := make([]limiter.Call, n)
			for i := range calls {
				calls[i] = limiter.Call{Workspace: fmt.Sprintf("workspace-%d", i), Share: 1 + i%3, Tokens: 300}
				l.Admit(start, calls[i])
			}
			b.ReportAllocs()
			for i := range b.N {
				c := calls[i%n]
				if l.Admit(start, c).Verdict == limiter.VerdictAdmitted {
					l.Done(start, c, 0)
				}
			}
		})
	}
}
