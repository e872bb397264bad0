package permitter_test

import (
	"fmt"
	"testing"
	"time"

	"marigoldpoint.example/marigoldpoint/internal/coordination/permitter"
)

// BenchmarkGrant measures a request, its grant and its finish by the number of waiting
// requests.
func BenchmarkGrant(b *testing.B) {
	for _, waiting := range []int{10, 300, 3000, 12000} {
		b.Run(fmt.Sprintf("Waiting=%d", waiting), func(b *testing.B) {
			t := permitter.NewTable(settings, 1, start, []string{})
			now := start
			for i := range waiting {
				t.Request(now, request(fmt.Sprintf("w%d", i%20), i, i%50))
			}
			for i := waiting; b.Loop(); i++ {
				now = now.Add(time.Second)
				t.Request(now, request(fmt.Sprintf("w%d", i%20), i, i%50))
				for _, g := range t.Grant(now) {
					t.Finish(now, permitter.Finish{Number: g.Number, Companion: g.Companion, Version: g.Version})
				}
			}
		})
	}
}
